//! Tests of `control_plane::partition_risk`.

use common::{Epoch, Incarnation, NodeId};
use control_plane::{
    ClusterState, Member, Role, state_machine::partition_risk::stale_majority, types::LostMember,
    types::NodeInfo,
};
use rstest::rstest;

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
    let mut l = ClusterState::bootstrapped("c", vec![]);
    for n in 0..members {
        l.members.insert(info(n).node, Member { info: info(n), epoch: Epoch(1) });
    }
    l.lost = lost
        .iter()
        .enumerate()
        .map(|(n, of)| LostMember { node: format!("x{n}").as_str().into(), members_before: *of })
        .collect();
    l
}

/// Conformance, design 3.7: twelve members; who is lost, how many there were before each loss,
/// and how many are silent.
#[rstest]
#[case::all_there(12, &[], 0, None)]
#[case::half_of_twelve_is_no_majority(12, &[], 6, None)]
#[case::seven_of_twelve_are(12, &[], 7, Some(7))]
#[case::an_area_is_not(8, &[12, 11, 10, 9], 0, None)]
#[case::an_area_and_three_more_are(5, &[12, 11, 10, 9, 8, 7, 6], 0, Some(7))]
#[case::old_losses_do_not_hide_a_later_group(4, &[12, 11, 10, 9, 8, 7, 6, 5], 0, Some(8))]
#[case::later_joins_do_not_outvote_them(12, &[12, 11, 10, 9, 8, 7, 6], 0, Some(7))]
#[case::five_of_nine_after_a_lost_area(4, &[12, 11, 10], 5, Some(8))]
fn who_may_serve_on(
    #[case] members: usize,
    #[case] lost: &[u32],
    #[case] silent: usize,
    #[case] found: Option<usize>,
) {
    let silent: Vec<NodeId> = (0..silent).map(|n| format!("p{n}").as_str().into()).collect();
    assert_eq!(stale_majority(&cluster_state(members, lost), &silent).map(|v| v.len()), found);
}
