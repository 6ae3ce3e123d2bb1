//! Voters that have just started (design 2.3).

mod file_cluster;

use common::{Tick, settings::Timing};
use control_plane::consensus::{Effect, Event, Message};
use rstest::rstest;
use tempfile::tempdir;

/// Found on the users' platform (inc-4141): after the loss of all processes each voter waited out the
/// election time-out of leaders that were gone. They need not, once each other says that it does not lead.
#[rstest]
fn all_that_wake_together_lead_within_their_patience(#[values(None, Some(0), Some(2))] blank: Option<usize>) {
    let dir = tempdir().unwrap();
    let mut r = file_cluster::start(dir.path());
    r.run(6_000);
    r.propose_document(1, 200);
    r.run(500);
    (0..3).for_each(|n| r.restart(n, (blank == Some(n)).then_some(99)));
    r.run(Timing::default().election_timeout_ms() - 200);
    assert!(r.serving_leader().is_some());
    r.run(8_000);
    r.assert_consistent();
}

/// With one of them out of reach the others wait: it may lead by an answer of an earlier life.
#[test]
fn one_that_does_not_answer_is_waited_for() {
    let dir = tempdir().unwrap();
    let mut r = file_cluster::start(dir.path());
    r.run(6_000);
    let lead = r.leader();
    r.isolated = Some(lead);
    (0..3).filter(|n| *n != lead).for_each(|n| r.restart(n, None));
    r.run(Timing::default().election_timeout_ms() - 200);
    assert!((0..3).filter(|n| *n != lead).all(|n| !r.voters[n].is_leader()));
    r.run(8_000);
    assert!((0..3).any(|n| n != lead && r.voters[n].is_leader()));
}

/// A leader does not say that it rests, and what was asked by another life counts for nothing.
#[test]
fn who_leads_does_not_rest() {
    let dir = tempdir().unwrap();
    let mut r = file_cluster::start(dir.path());
    r.run(6_000);
    let (lead, now) = (r.leader(), r.now);
    let asks = |process_started| {
        Event::Msg(file_cluster::addr((lead + 1) % 3), Message::LeaderQuery(process_started))
    };
    let rests = |effects: Vec<Effect>| {
        effects.iter().any(|f| matches!(f, Effect::Send { msg: Message::NotLeading(_), .. }))
    };
    assert!(!rests(r.voters[lead].step(asks(Tick(1)), now)));
    assert!(rests(r.voters[(lead + 2) % 3].step(asks(Tick(1)), now)));
    r.restart(lead, None);
    for n in (0..3).filter(|n| *n != lead) {
        r.voters[lead].step(Event::Msg(file_cluster::addr(n), Message::NotLeading(Tick(1))), now);
    }
    let effects = r.voters[lead].step(Event::Timer, now + 250);
    assert!(!effects.iter().any(|f| matches!(f, Effect::Send { msg: Message::PreVote { .. }, .. })));
}
