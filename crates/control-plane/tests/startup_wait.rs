//! The wait of voters that have just started (design 2.3).

mod file_cluster;

use common::{Tick, settings::Timing};
use control_plane::consensus::{Effect, Event, Message};
use rstest::rstest;
use tempfile::tempdir;

/// Guards against a slow start of the whole cluster: after the loss of all processes each voter waited out the election
/// timeout of leaders that no longer existed. It need not, once all others answer that they do not lead. Found on the
/// users' platform (inc-4141).
#[rstest]
fn voters_that_start_together_elect_a_leader_early(#[values(None, Some(0), Some(2))] wiped: Option<usize>) {
    let dir = tempdir().unwrap();
    let mut cluster = file_cluster::start(dir.path());
    cluster.run(6_000);
    cluster.propose_document(1, 200);
    cluster.run(500);
    (0..3).for_each(|n| cluster.restart(n, (wiped == Some(n)).then_some(99)));
    cluster.run(Timing::default().election_timeout_ms() - 200);
    assert!(cluster.serving_leader().is_some());
    cluster.run(8_000);
    cluster.assert_consistent();
}

/// With one voter out of reach the others wait: it may be a leader that counts on an answer of their former run.
#[test]
fn voters_wait_for_one_that_does_not_answer() {
    let dir = tempdir().unwrap();
    let mut cluster = file_cluster::start(dir.path());
    cluster.run(6_000);
    let leader = cluster.leader();
    cluster.isolated = Some(leader);
    (0..3).filter(|n| *n != leader).for_each(|n| cluster.restart(n, None));
    cluster.run(Timing::default().election_timeout_ms() - 200);
    assert!((0..3).filter(|n| *n != leader).all(|n| !cluster.voters[n].is_leader()));
    cluster.run(8_000);
    assert!((0..3).any(|n| n != leader && cluster.voters[n].is_leader()));
}

/// A leader does not answer that it does not leader, and answers to another run of the process don't count.
#[test]
fn a_leader_does_not_answer_a_leader_query() {
    let dir = tempdir().unwrap();
    let mut cluster = file_cluster::start(dir.path());
    cluster.run(6_000);
    let (leader, now) = (cluster.leader(), cluster.now);
    let query = |process_started| {
        Event::Msg(file_cluster::addr((leader + 1) % 3), Message::LeaderQuery(process_started))
    };
    let answers_not_leading = |effects: Vec<Effect>| {
        effects.iter().any(|effect| matches!(effect, Effect::Send { msg: Message::NotLeading(_), .. }))
    };
    assert!(!answers_not_leading(cluster.voters[leader].step(query(Tick(1)), now)));
    assert!(answers_not_leading(cluster.voters[(leader + 2) % 3].step(query(Tick(1)), now)));
    cluster.restart(leader, None);
    for n in (0..3).filter(|n| *n != leader) {
        cluster.voters[leader].step(Event::Msg(file_cluster::addr(n), Message::NotLeading(Tick(1))), now);
    }
    let effects = cluster.voters[leader].step(Event::Timer, now + 250);
    assert!(
        !effects.iter().any(|effect| matches!(effect, Effect::Send { msg: Message::PreVote { .. }, .. }))
    );
}
