//! Detects whether unreachable routers may keep serving with an outdated state, as a majority on the other side of a
//! network partition would (design 3.7).

use super::ClusterState;
use crate::types::LostMember;
use common::NodeId;

/// The unreachable members that could be a majority of the members that they last knew of, while none of them knows
/// of newer changes. `None` if they can't be a majority. Members in `silent` count as lost now.
///
/// The members that a partition separates are lost one after the other. From the first of them on, each lost member
/// may belong to the group, so each start of the list of losses is tried.
pub fn stale_majority(state: &ClusterState, silent: &[NodeId]) -> Option<Vec<NodeId>> {
    let members_before = state.members.len() as u32;
    let silent = silent.iter().map(|node| LostMember { node: node.clone(), members_before });
    let unreachable: Vec<LostMember> = state.lost.iter().cloned().chain(silent).collect();
    let is_majority =
        |first: &usize| (unreachable.len() - first) * 2 > unreachable[*first].members_before as usize;
    let first = (0..unreachable.len()).find(is_majority)?;
    Some(unreachable[first..].iter().map(|lost| lost.node.clone()).collect())
}
