//! Events of the simulated data plane.

use common::{FencingToken, Region, Tick};
use control_plane::ClusterState;
use data_plane::{
    capacity_grant::{CapacityGrant, GrantUse},
    placement_table::{PlacementRow, UserKey},
};

/// An event in the queue. Routers are named by their index.
pub(super) enum DataEvent {
    /// A router restarts, or the granting region changes its health.
    Churn,
    /// A router gets a newer state.
    StateUpdate(usize, Box<ClusterState>),
    /// A router asks the owner for the placement of a user.
    RequestPlacement(usize),
    /// The request for a placement arrives at the owner.
    ResolvePlacement {
        to: usize,
        from: usize,
        fencing_token: FencingToken,
        key: UserKey,
        stale: Option<u64>,
        pick: Region,
    },
    /// Rows of a shard arrive at its follower, or at its new owner.
    ReplicateRows { to: usize, fencing_token: Option<FencingToken>, shard: u16, rows: Vec<PlacementRow> },
    /// A router observes the health of its region.
    ObserveHealth(usize),
    /// A router asks for a grant.
    RequestGrant(usize),
    /// The answer to a request for a grant arrives.
    GrantReply { to: usize, grant: Option<CapacityGrant>, requested_at: Tick },
    /// A router uses a part of a grant, if it has one.
    UseGrant(usize),
    /// The use of a grant arrives at a router of the granting region.
    RedeemGrant { at: usize, grant_use: GrantUse },
}
