//! Whether routers that are out of reach may be serving on by an older state (design 3.7).

use super::ClusterState;
use crate::types::LostMember;
use common::NodeId;

/// The unreachable members that could be a majority of the members that they knew last, without one among
/// them that knows of newer changes. `silent` members count as lost now.
///
/// A group that was partitioned off began with its first loss; whatever was lost from there on may be part
/// of it.
pub fn stale_majority(state: &ClusterState, silent: &[NodeId]) -> Option<Vec<NodeId>> {
    let members_before = state.members.len() as u32;
    let silent = silent.iter().map(|node| LostMember { node: node.clone(), members_before });
    let unreachable: Vec<LostMember> = state.lost.iter().cloned().chain(silent).collect();
    let is_majority =
        |first: &usize| (unreachable.len() - first) * 2 > unreachable[*first].members_before as usize;
    let first = (0..unreachable.len()).find(is_majority)?;
    Some(unreachable[first..].iter().map(|lost| lost.node.clone()).collect())
}
