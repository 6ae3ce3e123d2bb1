//! A voter whose disk fails a write stops taking part at once. When the disk works again, it continues without a
//! restart from the state on its disk (design 2.4).

mod file_cluster;
mod samples;

use common::{Incarnation, Index, Term, Tick, settings::Timing};
use control_plane::{
    Change,
    consensus::{AppendBody, DurableState, Effect, Event, Message, Voter, VoterId},
};
use rstest::rstest;
use samples::sent;
use tempfile::tempdir;

/// Three voters with a leader and one accepted document.
fn started_cluster(dir: &std::path::Path) -> file_cluster::FileCluster {
    let mut cluster = file_cluster::start(dir);
    cluster.run(6_000);
    cluster.propose_document(1, 200);
    cluster.run(500);
    cluster.assert_consistent();
    cluster
}

/// A vote request of `by` for a term far above that of `voter`.
fn vote_request(voter: &Voter, by: VoterId) -> Event {
    let term = Term(voter.current_term.0 + 80);
    Event::Msg(
        file_cluster::addr(usize::from(by.number)),
        Message::VoteRequest { by, term, commit_index: Index(0) },
    )
}

/// A leader whose write fails tells the others that it steps down; otherwise they would wait for their election
/// timeout.
#[test]
fn a_leader_steps_down_when_a_write_fails() {
    let dir = tempdir().unwrap();
    let mut cluster = started_cluster(dir.path());
    let (leader, now) = (cluster.leader(), cluster.now);
    let term = cluster.voters[leader].current_term;
    let effects = cluster.voters[leader].step(Event::SyncFailed, now);
    let step_downs = sent(&effects)
        .iter()
        .filter(|message| matches!(message, Message::StepDown { term: own, .. } if *own == term))
        .count();
    assert_eq!(step_downs, 2);
    assert!(
        effects.iter().any(|effect| matches!(effect, Effect::Interrupted)),
        "waiting proposals end at once"
    );
    assert!(!cluster.voters[leader].is_leader() && cluster.voters[leader].leader().is_none());
}

/// A voter with a failed disk sends no vote, answer or question, and writes nothing. A proposal is refused at once.
#[test]
fn a_voter_with_a_failed_disk_takes_part_in_nothing() {
    let dir = tempdir().unwrap();
    let mut cluster = started_cluster(dir.path());
    let leader = cluster.leader();
    let follower = (leader + 1) % 3;
    cluster.voters[follower].step(Event::SyncFailed, cluster.now);
    let (by, term) = (cluster.voters[leader].id(), cluster.voters[leader].current_term);
    let append = Message::Append {
        by,
        to: follower as u8,
        term,
        commit_index: Index(1),
        sent_at: cluster.now,
        body: AppendBody::Heartbeat,
    };
    let from = file_cluster::addr(leader);
    let late = cluster.now + 20 * Timing::default().election_timeout_ms();
    let events = [
        vote_request(&cluster.voters[follower], by),
        Event::Msg(from, append),
        Event::Msg(from, Message::PreVote { by, term: Term(term.0 + 80) }),
        Event::Msg(from, Message::LeaderQuery(Tick(1))),
        Event::Timer,
        Event::StepDown,
        Event::Synced(u64::MAX),
        Event::SyncFailed,
    ];
    for event in events {
        let description = format!("{event:?}");
        assert!(cluster.voters[follower].step(event, late).is_empty(), "{description}");
    }
    let change = Change::Evacuate { op: "o9".into(), zone: "a".into(), on: true, seen: Index(u64::MAX) };
    let effects = cluster.voters[follower].step(Event::Propose(change), late);
    assert!(matches!(effects.as_slice(), [Effect::NotLogged { .. }]), "{effects:?}");
}

/// Messages that waited for a write that failed are never sent, not even when a later sync is reported.
#[test]
fn messages_that_waited_for_a_failed_write_are_never_sent() {
    let dir = tempdir().unwrap();
    let mut cluster = started_cluster(dir.path());
    let leader = cluster.leader();
    let follower = (leader + 1) % 3;
    let late = cluster.now + 2 * Timing::default().election_timeout_ms();
    let (by, current_term) = (cluster.voters[leader].id(), cluster.voters[follower].current_term);
    let state = cluster.durable_state(follower);
    let event = vote_request(&cluster.voters[follower], by);
    let effects = cluster.voters[follower].step(event, late);
    let token = effects
        .iter()
        .find_map(|effect| if let Effect::Persist { token, .. } = effect { Some(*token) } else { None });
    let token = token.expect("a promised term is written");
    assert!(cluster.voters[follower].current_term > current_term);
    cluster.voters[follower].step(Event::SyncFailed, late);
    cluster.voters[follower].step(Event::Recovered(Box::new(state)), late);
    assert_eq!(cluster.voters[follower].current_term, current_term, "the term on its disk");
    assert!(sent(&cluster.voters[follower].step(Event::Synced(token), late)).is_empty());
    // Its next write has a new token, and the old one doesn't complete it.
    let later = late + Timing::default().election_timeout_ms();
    let event = vote_request(&cluster.voters[follower], by);
    let effects = cluster.voters[follower].step(event, later);
    let next = effects
        .iter()
        .find_map(|effect| if let Effect::Persist { token, .. } = effect { Some(*token) } else { None });
    assert!(next.is_some_and(|next| next > token));
    assert!(sent(&cluster.voters[follower].step(Event::Synced(token), later)).is_empty());
}

/// A recovered voter may have answered a leader before its disk failed. It grants no vote until that leader's lease
/// must have ended.
#[test]
fn a_recovered_voter_waits_before_it_votes() {
    let dir = tempdir().unwrap();
    let mut cluster = started_cluster(dir.path());
    let leader = cluster.leader();
    let follower = (leader + 1) % 3;
    let by = cluster.voters[leader].id();
    let state = cluster.durable_state(follower);
    let now = cluster.now + 5 * Timing::default().election_timeout_ms();
    cluster.voters[follower].step(Event::SyncFailed, now);
    cluster.voters[follower].step(Event::Recovered(Box::new(state)), now);
    let event = vote_request(&cluster.voters[follower], by);
    assert!(cluster.voters[follower].step(event, now).is_empty());
    let wait = Timing::default().election_timeout_ms();
    let event = vote_request(&cluster.voters[follower], by);
    assert!(cluster.voters[follower].step(event, now + wait - 1).is_empty());
    let event = vote_request(&cluster.voters[follower], by);
    assert!(!cluster.voters[follower].step(event, now + wait).is_empty());
}

#[test]
fn only_a_failed_disk_recovers() {
    let dir = tempdir().unwrap();
    let mut cluster = started_cluster(dir.path());
    let state = cluster.durable_state(0);
    let older = DurableState { current_term: Term(0), ..state };
    let current_term = cluster.voters[0].current_term;
    assert!(cluster.voters[0].step(Event::Recovered(Box::new(older)), cluster.now).is_empty());
    assert_eq!(cluster.voters[0].current_term, current_term);
}

/// A voter that was initialized and lost its folder must not bootstrap another cluster. One whose write failed
/// during the bootstrap may try again.
#[rstest]
#[case::damaged_folder(77, false)]
#[case::failed_bootstrap(10, true)]
fn who_may_bootstrap_after_a_recovery(#[case] incarnation: u64, #[case] may_bootstrap: bool) {
    let dir = tempdir().unwrap();
    let mut cluster = started_cluster(dir.path());
    let identity = control_plane::types::VoterInfo {
        incarnation: Incarnation(incarnation),
        ..cluster.voters[0].identity.clone()
    };
    cluster.voters[0].step(Event::SyncFailed, cluster.now);
    cluster.voters[0].step(Event::Recovered(Box::new(DurableState::blank(&identity))), cluster.now);
    assert_eq!(cluster.voters[0].may_bootstrap, may_bootstrap);
    assert!(!cluster.voters[0].initialized);
}

/// A voter whose disk failed for a short time must get its vote back. Otherwise a second such failure at another
/// voter leaves no majority, and so no leader (seen in the platform's scenario `disk-refuses-writes-once`).
#[rstest]
fn successive_disk_failures_of_two_voters_leave_a_leader(
    #[values(0, 1, 2)] first: usize,
    #[values(1, 2)] distance: usize,
) {
    let dir = tempdir().unwrap();
    let mut cluster = started_cluster(dir.path());
    let second = (first + distance) % 3;
    for (n, failing) in [first, second].into_iter().enumerate() {
        cluster.set_disk_failing(failing, true);
        let document = 10 * (n as u64 + 1);
        if cluster.serving_leader().is_some() {
            cluster.propose_document(document, 200);
        }
        cluster.run(4_000);
        cluster.set_disk_failing(failing, false);
        cluster.run(4_000);
        cluster.propose_document(document + 1, 200);
        cluster.run(1_000);
        cluster.assert_consistent();
        assert!(cluster.voters.iter().all(|voter| !voter.disk_failed));
    }
}

/// The answer to a late append of an older term states the voter's own term, so it waits until that is synced.
#[test]
fn an_answer_to_an_older_term_waits_for_the_disk() {
    let dir = tempdir().unwrap();
    let mut cluster = started_cluster(dir.path());
    let leader = cluster.leader();
    let follower = (leader + 1) % 3;
    let late = cluster.now + 2 * Timing::default().election_timeout_ms();
    let (by, term) = (cluster.voters[leader].id(), cluster.voters[leader].current_term);
    let event = vote_request(&cluster.voters[follower], by);
    let effects = cluster.voters[follower].step(event, late);
    let token = effects
        .iter()
        .find_map(|effect| if let Effect::Persist { token, .. } = effect { Some(*token) } else { None });
    let append = Message::Append {
        by,
        to: follower as u8,
        term,
        commit_index: Index(1),
        sent_at: late,
        body: AppendBody::Heartbeat,
    };
    assert!(
        sent(&cluster.voters[follower].step(Event::Msg(file_cluster::addr(leader), append), late)).is_empty()
    );
    let effects = cluster.voters[follower].step(Event::Synced(token.unwrap()), late);
    let has_newer_term =
        |message: &&&Message| matches!(message, Message::AppendReply { term: own, .. } if *own > term);
    assert_eq!(sent(&effects).iter().filter(has_newer_term).count(), 1);
}
