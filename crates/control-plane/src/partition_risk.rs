//! Whether routers that the core cannot reach may be serving on by older state updates (design 3.7): pure,
//! over the cluster state and who is silent now.

use crate::{change::Change, change::ReplicaMove, cluster_state::ClusterState};
use common::NodeId;
use serde::{Deserialize, Serialize};

/// A member whose lease expired without its leaving, and how many members there were before that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostMember {
    pub node: NodeId,
    pub of: u32,
}

impl Change {
    /// Takes something away from traffic, so that whoever does not hear of it does wrong.
    pub fn narrows(&self) -> bool {
        match self {
            Change::Apply { .. } | Change::Evacuate { on: true, .. } => true,
            Change::Replica { what, .. } => !matches!(what, ReplicaMove::List { .. }),
            _ => false,
        }
    }
}

/// Those that could be a majority of the members that they knew last, without one among them that
/// has newer state updates. A group that was cut off began with its first loss; all that is lost from there
/// on may be part of it. `silent` counts as lost now.
pub fn stale_majority(l: &ClusterState, silent: &[NodeId]) -> Option<Vec<NodeId>> {
    let of = l.members.len() as u32;
    let now = silent.iter().map(|node| LostMember { node: node.clone(), of });
    let all: Vec<LostMember> = l.lost.iter().cloned().chain(now).collect();
    (0..all.len())
        .find(|n| (all.len() - n) * 2 > all[*n].of as usize)
        .map(|n| all[n..].iter().map(|x| x.node.clone()).collect())
}
