//! Events of the simulated data plane.

use common::{FencingToken, Region, Tick};
use control_plane::ClusterState;
use data_plane::{
    capacity_grant::{CapacityGrant, GrantUse},
    placement_table::{PlacementRow, UserKey},
};

/// What happens at a point in time.
pub(super) enum What {
    Churn,
    StateUpdate(usize, Box<ClusterState>),
    Ask(usize),
    Settle {
        to: usize,
        from: usize,
        fencing_token: FencingToken,
        key: UserKey,
        stale: Option<u64>,
        pick: Region,
    },
    Rows {
        to: usize,
        fencing_token: Option<FencingToken>,
        shard: u16,
        rows: Vec<PlacementRow>,
    },
    Look(usize),
    AskPass(usize),
    CapacityGrant {
        to: usize,
        pass: Option<CapacityGrant>,
        asked: Tick,
    },
    Spend(usize),
    Redeem {
        at: usize,
        spent: GrantUse,
    },
}
