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
        /// The owner.
        to: usize,
        /// The asking router.
        from: usize,
        /// Fencing token that the asking router knows.
        fencing_token: FencingToken,
        /// The user.
        key: UserKey,
        /// The stored version that the asking router rejects, if it has cause to move the user.
        stale: Option<u64>,
        /// The region that the asking router suggests.
        pick: Region,
    },
    /// Rows of a shard arrive at its follower, or at its new owner.
    ReplicateRows {
        /// The receiving router.
        to: usize,
        /// Fencing token of the request that wrote the row; none for rows that a new owner fetched.
        fencing_token: Option<FencingToken>,
        /// The shard.
        shard: u16,
        /// Its rows.
        rows: Vec<PlacementRow>,
    },
    /// A router observes the health of its region.
    ObserveHealth(usize),
    /// A router asks for a grant.
    RequestGrant(usize),
    /// The answer to a request for a grant arrives.
    GrantReply {
        /// The router that asked.
        to: usize,
        /// The grant; none if it was refused.
        grant: Option<CapacityGrant>,
        /// When the router asked.
        requested_at: Tick,
    },
    /// A router uses a part of a grant, if it has one.
    UseGrant(usize),
    /// The use of a grant arrives at a router of the granting region.
    RedeemGrant {
        /// The receiving router.
        at: usize,
        /// The use of the grant.
        grant_use: GrantUse,
    },
}
