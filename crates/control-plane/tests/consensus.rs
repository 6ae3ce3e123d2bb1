//! Conformance of a voter with design 2.3 to 2.5, message by message.

mod samples;

use common::{Incarnation, Index, Term, Tick, settings::Timing};
use control_plane::{
    Change, ClusterState,
    consensus::{AppendBody, DurableState, Effect, Event, LogTail, Message, Record, Voter, VoterId},
    types::VoterInfo,
};
use rstest::rstest;
use samples::{introduce_blank, sent};
use std::net::SocketAddr;

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + u16::from(n)))
}

fn holder(n: u8, incarnation: u64) -> VoterInfo {
    VoterInfo {
        number: n,
        incarnation: Incarnation(incarnation),
        node: format!("s{n}").as_str().into(),
        zone: "a".into(),
        rpc_addr: addr(n),
        http: addr(n),
    }
}

fn voters() -> Vec<VoterInfo> {
    (0..3).map(|n| holder(n, 10 + u64::from(n))).collect()
}

fn initialized(n: u8) -> Voter {
    let image = DurableState {
        me: holder(n, 10 + u64::from(n)),
        initialized: true,
        current_term: Term(0),
        log_term: Term(0),
        cluster_state: ClusterState::bootstrapped("c", voters()),
        entries: vec![],
    };
    Voter::new(holder(n, 0), "c", (0..3).map(addr).collect(), Timing::default(), Some(image), Tick(10_000))
}

fn blank(n: u8) -> Voter {
    let image = DurableState::blank(&holder(n, 90 + u64::from(n)));
    Voter::new(holder(n, 0), "c", (0..3).map(addr).collect(), Timing::default(), Some(image), Tick(10_000))
}

fn answers_that_it_is_blank(s: &mut Voter, n: u8, now: Tick) {
    introduce_blank(s, addr(n), holder(n, 90 + u64::from(n)), now);
}

fn voter(n: u8) -> VoterId {
    VoterId { number: n, incarnation: Incarnation(10 + u64::from(n)) }
}

/// Tells the voter that all its writes are synced; what that releases.
fn durable_index(s: &mut Voter, effects: &[Effect], now: Tick) -> Vec<Effect> {
    let mut last = effects.iter().filter_map(|f| match f {
        Effect::Persist { token, .. } => Some(*token),
        _ => None,
    });
    last.next_back().map(|token| s.step(Event::Synced(token), now)).unwrap_or_default()
}

fn held(n: u8, term: Term, last: u64, sent_at: Tick, installed: bool) -> Event {
    let m = Message::AppendReply {
        by: voter(n),
        term,
        installed,
        last: Index(last),
        commit_index: Index(0),
        sent_at,
    };
    Event::Msg(addr(n), m)
}

/// Voter 0, brought to the lead with the help of voter 1.
fn leader() -> (Voter, Tick) {
    let mut s = initialized(0);
    let now = Tick(13_000);
    s.step(Event::Timer, now);
    let term = Term(8);
    let effects = s.step(Event::Msg(addr(1), Message::PreVoteGranted { by: voter(1), term }), now);
    assert!(sent(&effects).is_empty(), "stop is not said before the own promise is synced");
    let out = durable_index(&mut s, &effects, now);
    assert!(matches!(sent(&out)[0], Message::VoteRequest { .. }));
    let tail = LogTail {
        log_term: Term(0),
        last: Index(0),
        commit_index: Index(0),
        snapshot: None,
        entries: vec![],
    };
    let effects = s.step(Event::Msg(addr(1), Message::Vote { by: voter(1), term, tail }), now);
    assert!(
        effects.iter().any(|f| matches!(f, Effect::BecameLeader { .. })),
        "the lead is told in the step that takes it"
    );
    durable_index(&mut s, &effects, now);
    (s, now)
}

#[test]
fn less_than_a_majority_never_accepts() {
    let (mut s, now) = leader();
    s.step(held(1, Term(8), 0, now, true), now);
    let effects = s.step(Event::Propose(evac("a")), now);
    let fx2 = durable_index(&mut s, &effects, now);
    let committed = |effects: &[Effect]| effects.iter().any(|f| matches!(f, Effect::Committed { .. }));
    assert!(!committed(&effects) && !committed(&fx2) && s.commit_index() == Index(0));
    // Neither a holder that is no more in the voters nor an older term's answer counts.
    let saw_other_cluster = Message::AppendReply {
        by: VoterId { number: 2, incarnation: Incarnation(99) },
        term: Term(8),
        installed: true,
        last: Index(1),
        commit_index: Index(0),
        sent_at: now,
    };
    assert!(!committed(&s.step(Event::Msg(addr(2), saw_other_cluster), now)));
    assert!(!committed(&s.step(held(2, Term(0), 1, now, true), now)));
    assert!(committed(&s.step(held(1, Term(8), 1, now, true), now)));
}

fn evac(a: &str) -> Change {
    Change::Evacuate { op: a.into(), zone: a.into(), on: true, seen: common::Index(u64::MAX) }
}

#[test]
fn an_overdue_sync_costs_the_lead() {
    let (mut s, now) = leader();
    s.step(held(1, Term(8), 0, now, true), now);
    assert!(s.has_leadership(now));
    s.step(Event::Propose(evac("a")), now);
    let late = now + Timing::default().sync_timeout_ms() + 1;
    s.step(held(1, Term(8), 0, late, true), late);
    assert!(!s.has_leadership(late), "its own disk has not answered");
    s.step(Event::Timer, late);
    assert!(!s.is_leader());
}

#[test]
fn a_failed_sync_ends_the_vote() {
    let mut s = initialized(0);
    s.step(Event::SyncFailed, Tick(12_000));
    let ask = Message::PreVote { by: voter(1), term: Term(9) };
    assert!(s.step(Event::Msg(addr(1), ask), Tick(20_000)).is_empty());
    assert!(s.step(Event::Timer, Tick(20_000)).is_empty());
}

/// A voter that heard a leader lately, or has just started, promises nothing to another.
#[rstest]
#[case::just_started(10_500, false)]
#[case::long_silent(12_500, true)]
fn promises_wait(#[case] now: u64, #[case] want: bool) {
    let mut s = initialized(1);
    let stop = Message::VoteRequest { by: voter(0), term: Term(8), commit_index: Index(0) };
    let effects = s.step(Event::Msg(addr(0), stop), Tick(now));
    assert!(sent(&effects).is_empty());
    assert_eq!(effects.iter().any(|f| matches!(f, Effect::Persist { .. })), want);
    let out = durable_index(&mut s, &effects, Tick(now));
    assert_eq!(sent(&out).len(), usize::from(want), "the answer follows the sync");
}

/// Found by the simulator (seed 633): a swap logged while the other survivor was gone could be
/// neither accepted nor undone, and barred the old holder for good.
#[test]
fn a_swap_waits_for_the_survivors_word() {
    let (mut s, now) = leader();
    s.step(held(1, Term(8), 0, now, true), now);
    let later = now + 500;
    s.step(held(1, Term(8), 0, later, true), later);
    let join_request = Message::JoinRequest { voter: holder(2, 77) };
    let swap = |effects: &[Effect]| {
        effects.iter().any(|f| matches!(f, Effect::Logged { change: Change::ReplaceVoter(_), .. }))
    };
    assert!(!swap(&s.step(Event::Msg(addr(2), join_request), later)), "not on an old word");
    assert!(!swap(&s.step(held(1, Term(8), 0, later - 1, true), later + 5)));
    assert!(swap(&s.step(held(1, Term(8), 0, later + 1, true), later + 6)));
    // From here on the old incarnation counts no more.
    assert!(!s.is_voter(&voter(2)));
}

/// Found by the simulator (seed 10543): word that a seed was blank some time ago let two blank
/// voters found a second cluster beside the one that had moved on.
#[rstest]
#[case::fresh(100, true)]
#[case::old(5_000, false)]
fn only_fresh_word_of_three_blank_seats_founds(#[case] gap: u64, #[case] want: bool) {
    let mut s = blank(0);
    answers_that_it_is_blank(&mut s, 1, Tick(11_000));
    answers_that_it_is_blank(&mut s, 2, Tick(11_000 + gap));
    s.step(Event::Timer, Tick(11_000 + gap));
    assert_eq!(s.initialized, want);
}

#[test]
fn nothing_with_state_is_founded_over() {
    let other = ClusterState::bootstrapped("c", (0..3).map(|n| holder(n, 90 + u64::from(n))).collect());
    let mut s = initialized(0);
    let before = s.cluster_state.clone();
    s.step(Event::Msg(addr(1), Message::Bootstrap { cluster_state: other.clone() }), Tick(12_000));
    assert_eq!(s.cluster_state, before);
    // A blank voter that has seen a cluster without it is not founded either.
    let mut b = blank(0);
    let seen =
        Message::Discover { voter: holder(1, 11), initialized: true, voters: voters(), index: Index(4) };
    b.step(Event::Msg(addr(1), seen), Tick(12_000));
    b.step(Event::Msg(addr(1), Message::Bootstrap { cluster_state: other }), Tick(12_001));
    assert!(!b.initialized);
}

/// A blank voter neither votes nor promises; it says that it holds nothing.
#[test]
fn a_blank_seat_never_votes() {
    let mut s = blank(2);
    let now = Tick(20_000);
    let pre_vote = Message::PreVote { by: voter(1), term: Term(9) };
    let stop = Message::VoteRequest { by: voter(1), term: Term(9), commit_index: Index(0) };
    assert!(s.step(Event::Msg(addr(1), pre_vote), now).is_empty());
    assert!(s.step(Event::Msg(addr(1), stop), now).is_empty());
    let send_append = Message::Append {
        by: voter(1),
        to: 2,
        term: Term(9),
        commit_index: Index(3),
        sent_at: now,
        body: AppendBody::Heartbeat,
    };
    let effects = s.step(Event::Msg(addr(1), send_append), now);
    assert!(matches!(sent(&effects)[..], [Message::AppendReply { installed: false, last: Index(0), .. }]));
}

/// One that a committed voter set names votes before it holds a state: durably, once a term, for a voter only, and with
/// nothing (design 2.5).
#[test]
fn an_admitted_blank_voter_votes_with_nothing() {
    let now = Tick(20_000);
    let request = |n: u8, term: u64| {
        Event::Msg(addr(n), Message::VoteRequest { by: voter(n), term: Term(term), commit_index: Index(4) })
    };
    let named = |incarnation: u64| {
        let voters = vec![holder(0, 10), holder(1, 11), holder(2, incarnation)];
        let voter = holder(1, 11);
        Event::Msg(addr(1), Message::Discover { voter, initialized: true, voters, index: Index(4) })
    };
    let own = blank(2).me.incarnation.0;
    let mut s = blank(2);
    s.step(named(own + 1), now);
    assert!(s.step(request(1, 9), now).is_empty(), "another one was admitted in its place");
    let mut s = blank(2);
    s.step(named(own), now);
    assert!(s.step(request(3, 11), now).is_empty(), "not one of the voters");
    let effects = s.step(request(1, 9), now);
    let [Effect::Persist { token, record: Record::Promise(Term(9)) }] = effects[..] else {
        panic!("{effects:?}")
    };
    let effects = s.step(Event::Synced(token), now);
    let [Message::Vote { by, term: Term(9), tail }] = &sent(&effects)[..] else { panic!("{effects:?}") };
    assert_eq!(*by, VoterId { number: 2, incarnation: s.me.incarnation });
    assert!(tail.last == Index(0) && tail.snapshot.is_none() && tail.entries.is_empty());
    assert!(s.step(request(0, 8), now).is_empty(), "it promised a newer term");
    s.step(named(own + 1), now);
    assert!(s.step(request(0, 16), now).is_empty(), "it is no voter any more");
}

/// A leader that is about to stop hands over: the others stand at once, and it leads no more.
#[test]
fn a_planned_stop_hands_the_lead_over() {
    let (mut s, now) = leader();
    s.step(held(1, Term(8), 0, now, true), now);
    assert!(s.has_leadership(now));
    let effects = s.step(Event::StepDown, now);
    assert!(
        !s.has_leadership(now)
            && matches!(sent(&effects)[..], [Message::StepDown { .. }, Message::StepDown { .. }])
    );
    for (term, stands) in [(Term(8), true), (Term(3), false)] {
        let mut f = initialized(1);
        let send_append = Message::Append {
            by: voter(0),
            to: 1,
            term: Term(8),
            commit_index: Index(0),
            sent_at: now,
            body: AppendBody::Heartbeat,
        };
        f.step(Event::Msg(addr(0), send_append), now);
        f.step(Event::Msg(addr(0), Message::StepDown { by: voter(0), term }), now);
        let effects = f.step(Event::Timer, now + 1);
        assert_eq!(sent(&effects).iter().any(|m| matches!(m, Message::PreVote { .. })), stands);
    }
}

/// Found by the model test: a machine was wiped right after it founded a core and committed a change
/// with a second one, while the third was still blank. What the second had said before it was formed
/// came late, and the wiped machine founded a second core over it. So an introduction founds nothing, and neither does
/// an answer that was given to another incarnation or long ago, however young the process is that hears it.
#[test]
fn what_was_said_before_a_process_started_founds_nothing() {
    let introduction = |n: u8| {
        let (holder, voters) = (holder(n, 90 + u64::from(n)), Vec::new());
        Event::Msg(addr(n), Message::Discover { voter: holder, initialized: false, voters, index: Index(0) })
    };
    let answer = |n: u8, asker: u64, sent_at: Tick| {
        let voter = holder(n, 90 + u64::from(n));
        Event::Msg(addr(n), Message::Blank { voter, asker: Incarnation(asker), sent_at })
    };
    let mut s = blank(0);
    let start = Tick(60_000);
    let timer = |s: &mut Voter, now: Tick| {
        s.step(Event::Timer, now);
        s.initialized
    };
    for n in [1, 2] {
        s.step(introduction(n), start);
    }
    assert!(!timer(&mut s, start + 100), "introductions may be old");
    for n in [1, 2] {
        s.step(answer(n, 10, start + 100), start + 200);
    }
    assert!(!timer(&mut s, start + 200), "answers to the machine before it lost its disk");
    for n in [1, 2] {
        s.step(answer(n, 90, start - 5_000), start + 300);
    }
    assert!(!timer(&mut s, start + 300), "answers to questions of long ago");
    let effects = s.step(answer(1, 90, start + 10_000), start + 400);
    assert!(
        matches!(effects[..], [Effect::Refused { .. }]),
        "an answer to what was not asked yet: {effects:?}"
    );
    for n in [1, 2] {
        answers_that_it_is_blank(&mut s, n, start + 400);
    }
    assert!(timer(&mut s, start + 500));
}

/// Who holds a state, or knows of a cluster, does not say that it is blank.
#[test]
fn only_a_blank_voter_says_that_it_is() {
    let query = |now| Event::Msg(addr(0), Message::BlankQuery { asker: Incarnation(90), sent_at: now });
    let now = Tick(60_000);
    assert!(initialized(1).step(query(now), now).is_empty());
    let mut s = blank(1);
    assert!(matches!(sent(&s.step(query(now), now))[..], [Message::Blank { asker: Incarnation(90), .. }]));
    let seen =
        Message::Discover { voter: holder(1, 11), initialized: true, voters: voters(), index: Index(4) };
    s.step(Event::Msg(addr(1), seen), now);
    assert!(s.step(query(now), now).is_empty());
}

/// A voter in whose place another one was committed starts over as a blank one (design 2.5): under a new identity, silent
/// until that is synced, without a vote by what it knew; and it asks to be admitted.
#[test]
fn a_replaced_voter_becomes_a_spare() {
    let now = Tick(60_000);
    let identity = || Event::BecomeSpare(Box::new(holder(2, 77)));
    let others = vec![holder(0, 10), holder(1, 11), holder(2, 13)];
    let told = |index| {
        let (voter, voters) = (holder(0, 10), others.clone());
        Event::Msg(addr(0), Message::Discover { voter, initialized: true, voters, index: Index(index) })
    };
    let mut s = initialized(2);
    assert!(s.step(identity(), now).is_empty() && s.me.incarnation == Incarnation(12), "it is not out");
    assert!(matches!(s.step(told(4), now)[..], [Effect::Removed]));
    let effects = s.step(identity(), now);
    let [Effect::Interrupted, Effect::Persist { token, record: Record::DurableState(image) }] = &effects[..]
    else {
        panic!("{effects:?}")
    };
    assert!(!image.initialized && image.me.incarnation == Incarnation(77));
    assert!(!s.initialized && s.commit_index() == Index(0));
    assert!(s.step(Event::Timer, now + 1_000).is_empty(), "nothing is said before the identity is synced");
    assert!(s.step(told(5), now + 1_000).is_empty(), "nor is anything answered");
    let restarted = Voter::new(
        holder(2, 0),
        "c",
        (0..3).map(addr).collect(),
        Timing::default(),
        Some(DurableState::clone(image)),
        now,
    );
    s.step(Event::Synced(*token), now + 1_000);
    for mut s in [s.clone(), restarted] {
        // Whatever its seeds say and whoever offers it: it knows of a cluster.
        let query = Message::BlankQuery { asker: Incarnation(90), sent_at: now };
        assert!(s.step(Event::Msg(addr(0), query), now + 1_000).is_empty());
        let other = ClusterState::bootstrapped("c", vec![holder(0, 90), holder(1, 91), holder(2, 77)]);
        s.step(Event::Msg(addr(0), Message::Bootstrap { cluster_state: other }), now + 1_000);
        assert!(!s.initialized);
    }
    let effects = s.step(Event::Timer, now + 1_100);
    let said = sent(&effects);
    assert!(
        said.iter().all(|m| matches!(m, Message::Discover { initialized: false, .. })) && said.len() == 2
    );
    let effects = s.step(told(5), now + 1_200);
    let said = sent(&effects);
    assert!(said.iter().any(|m| matches!(m, Message::JoinRequest { voter } if voter.incarnation.0 == 77)));
    let request = Message::VoteRequest { by: voter(1), term: Term(9), commit_index: Index(0) };
    assert!(s.step(Event::Msg(addr(1), request), now + 5_000).is_empty());
}
