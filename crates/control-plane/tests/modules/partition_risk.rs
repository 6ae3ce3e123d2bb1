//! Tests of `control_plane::state_machine::partition_risk`.

use common::{Epoch, Incarnation, NodeId};
use control_plane::{
    ClusterState, Member, Role, state_machine::partition_risk::stale_majority, types::LostMember,
    types::NodeInfo,
};
use rstest::rstest;

/// A state with `members` members. `lost` has the number of members before each loss.
fn cluster_state(members: usize, lost: &[u32]) -> ClusterState {
    let addr = "127.0.0.1:1".parse().unwrap();
    let info = |n: usize| NodeInfo {
        node: format!("p{n}").as_str().into(),
        incarnation: Incarnation(1),
        role: Role::Router,
        lang: 1,
        zone: "a".into(),
        rpc_addr: addr,
        http: addr,
    };
    let mut state = ClusterState::bootstrapped("c", vec![]);
    for n in 0..members {
        state.members.insert(info(n).node, Member { info: info(n), epoch: Epoch(1) });
    }
    state.lost = lost
        .iter()
        .enumerate()
        .map(|(n, members_before)| LostMember {
            node: format!("x{n}").as_str().into(),
            members_before: *members_before,
        })
        .collect();
    state
}

/// Of twelve members, some are lost and some are silent: how many may form a majority with an outdated state, if any
/// (design 3.7).
#[rstest]
#[case::all_reachable(12, &[], 0, None)]
#[case::half_of_twelve_are_no_majority(12, &[], 6, None)]
#[case::seven_of_twelve_are_a_majority(12, &[], 7, Some(7))]
#[case::a_lost_zone_is_no_majority(8, &[12, 11, 10, 9], 0, None)]
#[case::a_lost_zone_and_three_more_are_a_majority(5, &[12, 11, 10, 9, 8, 7, 6], 0, Some(7))]
#[case::old_losses_do_not_hide_a_later_group(4, &[12, 11, 10, 9, 8, 7, 6, 5], 0, Some(8))]
#[case::later_joins_do_not_reduce_the_risk(12, &[12, 11, 10, 9, 8, 7, 6], 0, Some(7))]
#[case::five_of_nine_after_a_lost_zone(4, &[12, 11, 10], 5, Some(8))]
fn members_that_may_form_a_stale_majority(
    #[case] members: usize,
    #[case] lost: &[u32],
    #[case] silent: usize,
    #[case] expected: Option<usize>,
) {
    let silent: Vec<NodeId> = (0..silent).map(|n| format!("p{n}").as_str().into()).collect();
    assert_eq!(stale_majority(&cluster_state(members, lost), &silent).map(|members| members.len()), expected);
}
