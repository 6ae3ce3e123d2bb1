//! A voter whose disk refuses a write steps aside at once, and recovers in its own process by what its
//! disk holds (design 2.4).

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
fn settled(dir: &std::path::Path) -> file_cluster::FileCluster {
    let mut r = file_cluster::start(dir);
    r.run(6_000);
    r.propose_document(1, 200);
    r.run(500);
    r.assert_consistent();
    r
}

fn stop(voter: &Voter, by: VoterId) -> Event {
    let term = Term(voter.current_term.0 + 80);
    Event::Msg(
        file_cluster::addr(usize::from(by.number)),
        Message::VoteRequest { by, term, commit_index: Index(0) },
    )
}

/// Before: a leader whose write failed said nothing, and the others waited out its silence.
#[test]
fn a_leader_gives_up_its_view_with_the_failed_write() {
    let dir = tempdir().unwrap();
    let mut r = settled(dir.path());
    let (lead, now) = (r.leader(), r.now);
    let term = r.voters[lead].current_term;
    let effects = r.voters[lead].step(Event::SyncFailed, now);
    let yields = sent(&effects)
        .iter()
        .filter(|m| matches!(m, Message::StepDown { term: v, .. } if *v == term))
        .count();
    assert_eq!(yields, 2);
    assert!(effects.iter().any(|f| matches!(f, Effect::Interrupted)), "what waits here is told at once");
    assert!(!r.voters[lead].is_leader() && r.voters[lead].leader().is_none());
}

/// Neither a vote nor a promise, an answer, a question or a write; and an order is refused at once.
#[test]
fn a_seat_whose_disk_refuses_takes_part_in_nothing() {
    let dir = tempdir().unwrap();
    let mut r = settled(dir.path());
    let lead = r.leader();
    let at = (lead + 1) % 3;
    r.voters[at].step(Event::SyncFailed, r.now);
    let (by, term) = (r.voters[lead].id(), r.voters[lead].current_term);
    let send_append = Message::Append {
        by,
        to: at as u8,
        term,
        commit_index: Index(1),
        sent_at: r.now,
        body: AppendBody::Heartbeat,
    };
    let from = file_cluster::addr(lead);
    let late = r.now + 20 * Timing::default().election_timeout_ms();
    let events = [
        stop(&r.voters[at], by),
        Event::Msg(from, send_append),
        Event::Msg(from, Message::PreVote { by, term: Term(term.0 + 80) }),
        Event::Msg(from, Message::LeaderQuery(Tick(1))),
        Event::Timer,
        Event::StepDown,
        Event::Synced(u64::MAX),
        Event::SyncFailed,
    ];
    for event in events {
        let shown = format!("{event:?}");
        assert!(r.voters[at].step(event, late).is_empty(), "{shown}");
    }
    let change = Change::Evacuate { op: "o9".into(), zone: "a".into(), on: true, seen: Index(u64::MAX) };
    let effects = r.voters[at].step(Event::Propose(change), late);
    assert!(matches!(effects.as_slice(), [Effect::NotLogged { .. }]), "{effects:?}");
}

/// What waited for a write that was refused is never said, not even when a later sync is told of.
#[test]
fn words_that_waited_for_the_disk_are_never_said() {
    let dir = tempdir().unwrap();
    let mut r = settled(dir.path());
    let lead = r.leader();
    let at = (lead + 1) % 3;
    let late = r.now + 2 * Timing::default().election_timeout_ms();
    let (by, current_term) = (r.voters[lead].id(), r.voters[at].current_term);
    let image = r.durable_state(at);
    let event = stop(&r.voters[at], by);
    let effects = r.voters[at].step(event, late);
    let token =
        effects.iter().find_map(|f| if let Effect::Persist { token, .. } = f { Some(*token) } else { None });
    let token = token.expect("a promise is written");
    assert!(r.voters[at].current_term > current_term);
    r.voters[at].step(Event::SyncFailed, late);
    r.voters[at].step(Event::Recovered(Box::new(image)), late);
    assert_eq!(r.voters[at].current_term, current_term, "it believes its disk");
    assert!(sent(&r.voters[at].step(Event::Synced(token), late)).is_empty());
    // Its next write is told of by a token of its own.
    let later = late + Timing::default().election_timeout_ms();
    let event = stop(&r.voters[at], by);
    let effects = r.voters[at].step(event, later);
    let next =
        effects.iter().find_map(|f| if let Effect::Persist { token, .. } = f { Some(*token) } else { None });
    assert!(next.is_some_and(|t| t > token));
    assert!(sent(&r.voters[at].step(Event::Synced(token), later)).is_empty());
}

/// It may have answered a leader before its disk failed: it promises nothing until that lead is over.
#[test]
fn a_recovered_seat_waits_before_it_promises() {
    let dir = tempdir().unwrap();
    let mut r = settled(dir.path());
    let lead = r.leader();
    let at = (lead + 1) % 3;
    let by = r.voters[lead].id();
    let image = r.durable_state(at);
    let now = r.now + 5 * Timing::default().election_timeout_ms();
    r.voters[at].step(Event::SyncFailed, now);
    r.voters[at].step(Event::Recovered(Box::new(image)), now);
    let event = stop(&r.voters[at], by);
    assert!(r.voters[at].step(event, now).is_empty());
    let wait = Timing::default().election_timeout_ms();
    let event = stop(&r.voters[at], by);
    assert!(r.voters[at].step(event, now + wait - 1).is_empty());
    let event = stop(&r.voters[at], by);
    assert!(!r.voters[at].step(event, now + wait).is_empty());
}

#[test]
fn only_a_failed_disk_recovers() {
    let dir = tempdir().unwrap();
    let mut r = settled(dir.path());
    let image = r.durable_state(0);
    let older = DurableState { current_term: Term(0), ..image };
    let current_term = r.voters[0].current_term;
    assert!(r.voters[0].step(Event::Recovered(Box::new(older)), r.now).is_empty());
    assert_eq!(r.voters[0].current_term, current_term);
}

/// A voter that was formed and lost its folder knows of a cluster: it must not found another. One whose
/// founding was refused may found again.
#[rstest]
#[case::the_folder_was_damaged(77, false)]
#[case::the_founding_was_refused(10, true)]
fn who_may_found_after_a_recovery(#[case] incarnation: u64, #[case] may_bootstrap: bool) {
    let dir = tempdir().unwrap();
    let mut r = settled(dir.path());
    let me =
        control_plane::types::VoterInfo { incarnation: Incarnation(incarnation), ..r.voters[0].me.clone() };
    r.voters[0].step(Event::SyncFailed, r.now);
    r.voters[0].step(Event::Recovered(Box::new(DurableState::blank(&me))), r.now);
    assert_eq!(r.voters[0].may_bootstrap, may_bootstrap);
    assert!(!r.voters[0].initialized);
}

/// Found on the users' platform (`disk-refuses-writes-once`): one short refusal cost a vote for ever, and
/// a second one elsewhere the majority. Before: nobody led after the second.
#[rstest]
fn two_refusals_one_after_the_other_leave_a_lead(
    #[values(0, 1, 2)] first: usize,
    #[values(1, 2)] apart: usize,
) {
    let dir = tempdir().unwrap();
    let mut r = settled(dir.path());
    let second = (first + apart) % 3;
    for (n, at) in [first, second].into_iter().enumerate() {
        r.set_disk_failing(at, true);
        let doc = 10 * (n as u64 + 1);
        if r.serving_leader().is_some() {
            r.propose_document(doc, 200);
        }
        r.run(4_000);
        r.set_disk_failing(at, false);
        r.run(4_000);
        r.propose_document(doc + 1, 200);
        r.run(1_000);
        r.assert_consistent();
        assert!(r.voters.iter().all(|s| !s.disk_failed));
    }
}

/// A late feed of an older term is answered with what is held, so not before that is synced.
#[test]
fn an_answer_to_an_older_view_waits_for_the_disk() {
    let dir = tempdir().unwrap();
    let mut r = settled(dir.path());
    let lead = r.leader();
    let at = (lead + 1) % 3;
    let late = r.now + 2 * Timing::default().election_timeout_ms();
    let (by, term) = (r.voters[lead].id(), r.voters[lead].current_term);
    let event = stop(&r.voters[at], by);
    let effects = r.voters[at].step(event, late);
    let token =
        effects.iter().find_map(|f| if let Effect::Persist { token, .. } = f { Some(*token) } else { None });
    let send_append = Message::Append {
        by,
        to: at as u8,
        term,
        commit_index: Index(1),
        sent_at: late,
        body: AppendBody::Heartbeat,
    };
    assert!(sent(&r.voters[at].step(Event::Msg(file_cluster::addr(lead), send_append), late)).is_empty());
    let said = r.voters[at].step(Event::Synced(token.unwrap()), late);
    let held = |m: &&&Message| matches!(m, Message::AppendReply { term: v, .. } if *v > term);
    assert_eq!(sent(&said).iter().filter(held).count(), 1);
}
