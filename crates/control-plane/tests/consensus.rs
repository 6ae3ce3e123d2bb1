//! Single voters, driven message by message: elections, commits, replacement and bootstrap (design 2.3 to 2.5).

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

fn voter_info(n: u8, incarnation: u64) -> VoterInfo {
    VoterInfo {
        number: n,
        incarnation: Incarnation(incarnation),
        node: format!("s{n}").as_str().into(),
        zone: "a".into(),
        rpc_addr: addr(n),
        http: addr(n),
    }
}

fn voter_set() -> Vec<VoterInfo> {
    (0..3).map(|n| voter_info(n, 10 + u64::from(n))).collect()
}

fn initialized(n: u8) -> Voter {
    let image = DurableState {
        identity: voter_info(n, 10 + u64::from(n)),
        initialized: true,
        current_term: Term(0),
        log_term: Term(0),
        cluster_state: ClusterState::bootstrapped("c", voter_set()),
        entries: vec![],
    };
    Voter::new(
        voter_info(n, 0),
        "c",
        (0..3).map(addr).collect(),
        Timing::default(),
        Some(image),
        Tick(10_000),
    )
}

fn blank(n: u8) -> Voter {
    let image = DurableState::blank(&voter_info(n, 90 + u64::from(n)));
    Voter::new(
        voter_info(n, 0),
        "c",
        (0..3).map(addr).collect(),
        Timing::default(),
        Some(image),
        Tick(10_000),
    )
}

fn introduce_blank_voter(voter: &mut Voter, n: u8, now: Tick) {
    introduce_blank(voter, addr(n), voter_info(n, 90 + u64::from(n)), now);
}

fn voter_id(n: u8) -> VoterId {
    VoterId { number: n, incarnation: Incarnation(10 + u64::from(n)) }
}

/// Reports the newest write among the effects as synced; returns the effects that waited for it.
fn sync(voter: &mut Voter, effects: &[Effect], now: Tick) -> Vec<Effect> {
    let mut tokens = effects.iter().filter_map(|effect| match effect {
        Effect::Persist { token, .. } => Some(*token),
        _ => None,
    });
    tokens.next_back().map(|token| voter.step(Event::Synced(token), now)).unwrap_or_default()
}

fn append_reply(n: u8, term: Term, last: u64, sent_at: Tick, installed: bool) -> Event {
    let message = Message::AppendReply {
        by: voter_id(n),
        term,
        installed,
        last: Index(last),
        commit_index: Index(0),
        sent_at,
    };
    Event::Msg(addr(n), message)
}

/// Voter 0 as the leader of term 8, elected by its own vote and that of voter 1.
fn leader() -> (Voter, Tick) {
    let mut voter = initialized(0);
    let now = Tick(13_000);
    voter.step(Event::Timer, now);
    let term = Term(8);
    let effects = voter.step(Event::Msg(addr(1), Message::PreVoteGranted { by: voter_id(1), term }), now);
    assert!(sent(&effects).is_empty(), "no vote request is sent before the own vote is synced");
    let released = sync(&mut voter, &effects, now);
    assert!(matches!(sent(&released)[0], Message::VoteRequest { .. }));
    let tail = LogTail {
        log_term: Term(0),
        last: Index(0),
        commit_index: Index(0),
        snapshot: None,
        entries: vec![],
    };
    let effects = voter.step(Event::Msg(addr(1), Message::Vote { by: voter_id(1), term, tail }), now);
    assert!(
        effects.iter().any(|effect| matches!(effect, Effect::BecameLeader { .. })),
        "the election is reported in the step that decides it"
    );
    sync(&mut voter, &effects, now);
    (voter, now)
}

#[test]
fn less_than_a_majority_never_commits() {
    let (mut voter, now) = leader();
    voter.step(append_reply(1, Term(8), 0, now, true), now);
    let effects = voter.step(Event::Propose(evacuate("a")), now);
    let released = sync(&mut voter, &effects, now);
    let committed =
        |effects: &[Effect]| effects.iter().any(|effect| matches!(effect, Effect::Committed { .. }));
    assert!(!committed(&effects) && !committed(&released) && voter.commit_index() == Index(0));
    // Replies of a replaced voter or from an older term don't count.
    let from_replaced_voter = Message::AppendReply {
        by: VoterId { number: 2, incarnation: Incarnation(99) },
        term: Term(8),
        installed: true,
        last: Index(1),
        commit_index: Index(0),
        sent_at: now,
    };
    assert!(!committed(&voter.step(Event::Msg(addr(2), from_replaced_voter), now)));
    assert!(!committed(&voter.step(append_reply(2, Term(0), 1, now, true), now)));
    assert!(committed(&voter.step(append_reply(1, Term(8), 1, now, true), now)));
}

fn evacuate(zone: &str) -> Change {
    Change::Evacuate { op: zone.into(), zone: zone.into(), on: true, seen: common::Index(u64::MAX) }
}

#[test]
fn an_overdue_sync_ends_the_leadership() {
    let (mut voter, now) = leader();
    voter.step(append_reply(1, Term(8), 0, now, true), now);
    assert!(voter.has_leadership(now));
    voter.step(Event::Propose(evacuate("a")), now);
    let late = now + Timing::default().sync_timeout_ms() + 1;
    voter.step(append_reply(1, Term(8), 0, late, true), late);
    assert!(!voter.has_leadership(late), "its own disk is overdue");
    voter.step(Event::Timer, late);
    assert!(!voter.is_leader());
}

#[test]
fn a_voter_whose_sync_failed_takes_no_part() {
    let mut voter = initialized(0);
    voter.step(Event::SyncFailed, Tick(12_000));
    let pre_vote = Message::PreVote { by: voter_id(1), term: Term(9) };
    assert!(voter.step(Event::Msg(addr(1), pre_vote), Tick(20_000)).is_empty());
    assert!(voter.step(Event::Timer, Tick(20_000)).is_empty());
}

/// A voter that has just started grants no vote. Later it does, and sends the vote once it is synced.
#[rstest]
#[case::just_started(10_500, false)]
#[case::after_the_startup_wait(12_500, true)]
fn a_vote_waits_after_a_start_and_for_the_sync(#[case] now: u64, #[case] granted: bool) {
    let mut voter = initialized(1);
    let request = Message::VoteRequest { by: voter_id(0), term: Term(8), commit_index: Index(0) };
    let effects = voter.step(Event::Msg(addr(0), request), Tick(now));
    assert!(sent(&effects).is_empty());
    assert_eq!(effects.iter().any(|effect| matches!(effect, Effect::Persist { .. })), granted);
    let released = sync(&mut voter, &effects, Tick(now));
    assert_eq!(sent(&released).len(), usize::from(granted), "the vote follows the sync");
}

/// Guards against a replacement that is logged while no majority without the replaced voter can be reached: it could
/// be neither committed nor undone, and excluded the replaced voter for good. Found by the simulator (seed 633).
#[test]
fn a_replacement_waits_for_contact_with_the_remaining_voters() {
    let (mut voter, now) = leader();
    voter.step(append_reply(1, Term(8), 0, now, true), now);
    let later = now + 500;
    voter.step(append_reply(1, Term(8), 0, later, true), later);
    let join_request = Message::JoinRequest { voter: voter_info(2, 77) };
    let logs_replacement = |effects: &[Effect]| {
        effects.iter().any(|effect| matches!(effect, Effect::Logged { change: Change::ReplaceVoter(_), .. }))
    };
    assert!(
        !logs_replacement(&voter.step(Event::Msg(addr(2), join_request), later)),
        "the last contact is older than the request"
    );
    assert!(!logs_replacement(&voter.step(append_reply(1, Term(8), 0, later - 1, true), later + 5)));
    assert!(logs_replacement(&voter.step(append_reply(1, Term(8), 0, later + 1, true), later + 6)));
    // From here on the replaced incarnation no longer counts.
    assert!(!voter.is_voter(&voter_id(2)));
}

/// Guards against a bootstrap on old answers of seeds that they are blank: two blank voters bootstrapped a second
/// cluster beside an existing one. Found by the simulator (seed 10543).
#[rstest]
#[case::fresh(100, true)]
#[case::old(5_000, false)]
fn bootstrap_needs_fresh_answers_of_three_blank_voters(#[case] gap: u64, #[case] bootstraps: bool) {
    let mut voter = blank(0);
    introduce_blank_voter(&mut voter, 1, Tick(11_000));
    introduce_blank_voter(&mut voter, 2, Tick(11_000 + gap));
    voter.step(Event::Timer, Tick(11_000 + gap));
    assert_eq!(voter.initialized, bootstraps);
}

#[test]
fn a_bootstrap_never_overwrites_state() {
    let other = ClusterState::bootstrapped("c", (0..3).map(|n| voter_info(n, 90 + u64::from(n))).collect());
    let mut voter = initialized(0);
    let before = voter.cluster_state.clone();
    voter.step(Event::Msg(addr(1), Message::Bootstrap { cluster_state: other.clone() }), Tick(12_000));
    assert_eq!(voter.cluster_state, before);
    // A blank voter that has seen a cluster without it is not bootstrapped either.
    let mut blank = blank(0);
    let discover = Message::Discover {
        voter: voter_info(1, 11),
        initialized: true,
        voters: voter_set(),
        index: Index(4),
    };
    blank.step(Event::Msg(addr(1), discover), Tick(12_000));
    blank.step(Event::Msg(addr(1), Message::Bootstrap { cluster_state: other }), Tick(12_001));
    assert!(!blank.initialized);
}

/// A blank voter grants no pre-vote and no vote; it answers an append that its log is empty.
#[test]
fn a_blank_voter_never_votes() {
    let mut voter = blank(2);
    let now = Tick(20_000);
    let pre_vote = Message::PreVote { by: voter_id(1), term: Term(9) };
    let request = Message::VoteRequest { by: voter_id(1), term: Term(9), commit_index: Index(0) };
    assert!(voter.step(Event::Msg(addr(1), pre_vote), now).is_empty());
    assert!(voter.step(Event::Msg(addr(1), request), now).is_empty());
    let append = Message::Append {
        by: voter_id(1),
        to: 2,
        term: Term(9),
        commit_index: Index(3),
        sent_at: now,
        body: AppendBody::Heartbeat,
    };
    let effects = voter.step(Event::Msg(addr(1), append), now);
    assert!(matches!(sent(&effects)[..], [Message::AppendReply { installed: false, last: Index(0), .. }]));
}

/// A blank voter that a committed voter set includes votes before it is initialized (design 2.5): durably, once per
/// term, only for a voter of that set, and with an empty log.
#[test]
fn an_admitted_blank_voter_votes_with_an_empty_log() {
    let now = Tick(20_000);
    let request = |n: u8, term: u64| {
        Event::Msg(
            addr(n),
            Message::VoteRequest { by: voter_id(n), term: Term(term), commit_index: Index(4) },
        )
    };
    let membership_with = |incarnation: u64| {
        let voters = vec![voter_info(0, 10), voter_info(1, 11), voter_info(2, incarnation)];
        let voter = voter_info(1, 11);
        Event::Msg(addr(1), Message::Discover { voter, initialized: true, voters, index: Index(4) })
    };
    let own = blank(2).identity.incarnation.0;
    let mut voter = blank(2);
    voter.step(membership_with(own + 1), now);
    assert!(voter.step(request(1, 9), now).is_empty(), "another incarnation was admitted in its place");
    let mut voter = blank(2);
    voter.step(membership_with(own), now);
    assert!(voter.step(request(3, 11), now).is_empty(), "not one of the voters");
    let effects = voter.step(request(1, 9), now);
    let [Effect::Persist { token, record: Record::Promise(Term(9)) }] = effects[..] else {
        panic!("{effects:?}")
    };
    let effects = voter.step(Event::Synced(token), now);
    let [Message::Vote { by, term: Term(9), tail }] = &sent(&effects)[..] else { panic!("{effects:?}") };
    assert_eq!(*by, VoterId { number: 2, incarnation: voter.identity.incarnation });
    assert!(tail.last == Index(0) && tail.snapshot.is_none() && tail.entries.is_empty());
    assert!(voter.step(request(0, 8), now).is_empty(), "it has voted in a newer term");
    voter.step(membership_with(own + 1), now);
    assert!(voter.step(request(0, 16), now).is_empty(), "it is no longer a voter");
}

/// A leader that steps down before it stops no longer leads, and the others stand for election at once; a step-down
/// message of another term is ignored.
#[test]
fn a_planned_stop_hands_over_the_leadership() {
    let (mut voter, now) = leader();
    voter.step(append_reply(1, Term(8), 0, now, true), now);
    assert!(voter.has_leadership(now));
    let effects = voter.step(Event::StepDown, now);
    assert!(
        !voter.has_leadership(now)
            && matches!(sent(&effects)[..], [Message::StepDown { .. }, Message::StepDown { .. }])
    );
    for (term, stands) in [(Term(8), true), (Term(3), false)] {
        let mut follower = initialized(1);
        let append = Message::Append {
            by: voter_id(0),
            to: 1,
            term: Term(8),
            commit_index: Index(0),
            sent_at: now,
            body: AppendBody::Heartbeat,
        };
        follower.step(Event::Msg(addr(0), append), now);
        follower.step(Event::Msg(addr(0), Message::StepDown { by: voter_id(0), term }), now);
        let effects = follower.step(Event::Timer, now + 1);
        assert_eq!(sent(&effects).iter().any(|message| matches!(message, Message::PreVote { .. })), stands);
    }
}

/// Guards against a second bootstrap on delayed messages. A machine was wiped after it had bootstrapped a cluster and
/// committed a change with a second voter, while the third was still blank. An announcement that the second had sent
/// while it was blank arrived late, and the wiped machine bootstrapped another cluster. So neither announcements nor
/// answers to another incarnation or to old queries count. Found by the model test.
#[test]
fn messages_from_before_the_start_cause_no_bootstrap() {
    let announcement = |n: u8| {
        let (voter, voters) = (voter_info(n, 90 + u64::from(n)), Vec::new());
        Event::Msg(addr(n), Message::Discover { voter, initialized: false, voters, index: Index(0) })
    };
    let answer = |n: u8, asker: u64, sent_at: Tick| {
        let voter = voter_info(n, 90 + u64::from(n));
        Event::Msg(addr(n), Message::Blank { voter, asker: Incarnation(asker), sent_at })
    };
    let mut voter = blank(0);
    let start = Tick(60_000);
    let timer = |voter: &mut Voter, now: Tick| {
        voter.step(Event::Timer, now);
        voter.initialized
    };
    for n in [1, 2] {
        voter.step(announcement(n), start);
    }
    assert!(!timer(&mut voter, start + 100), "announcements may be old");
    for n in [1, 2] {
        voter.step(answer(n, 10, start + 100), start + 200);
    }
    assert!(!timer(&mut voter, start + 200), "answers to the incarnation before the disk was lost");
    for n in [1, 2] {
        voter.step(answer(n, 90, start - 5_000), start + 300);
    }
    assert!(!timer(&mut voter, start + 300), "answers to old queries");
    let effects = voter.step(answer(1, 90, start + 10_000), start + 400);
    assert!(
        matches!(effects[..], [Effect::MessageRejected { .. }]),
        "an answer to a query that was not sent yet: {effects:?}"
    );
    for n in [1, 2] {
        introduce_blank_voter(&mut voter, n, start + 400);
    }
    assert!(timer(&mut voter, start + 500));
}

/// A voter that is initialized or knows of a cluster does not answer that it is blank.
#[test]
fn only_a_blank_voter_answers_a_blank_query() {
    let query = |now| Event::Msg(addr(0), Message::BlankQuery { asker: Incarnation(90), sent_at: now });
    let now = Tick(60_000);
    assert!(initialized(1).step(query(now), now).is_empty());
    let mut voter = blank(1);
    assert!(matches!(
        sent(&voter.step(query(now), now))[..],
        [Message::Blank { asker: Incarnation(90), .. }]
    ));
    let discover = Message::Discover {
        voter: voter_info(1, 11),
        initialized: true,
        voters: voter_set(),
        index: Index(4),
    };
    voter.step(Event::Msg(addr(1), discover), now);
    assert!(voter.step(query(now), now).is_empty());
}

/// A voter whose replacement is committed starts over as a blank voter with a new identity (design 2.5). It sends
/// nothing until the identity is synced, no longer votes by its earlier state, and asks to be admitted.
#[test]
fn a_replaced_voter_becomes_a_spare() {
    let now = Tick(60_000);
    let identity = || Event::BecomeSpare(Box::new(voter_info(2, 77)));
    let others = vec![voter_info(0, 10), voter_info(1, 11), voter_info(2, 13)];
    let membership_at = |index| {
        let (voter, voters) = (voter_info(0, 10), others.clone());
        Event::Msg(addr(0), Message::Discover { voter, initialized: true, voters, index: Index(index) })
    };
    let mut voter = initialized(2);
    assert!(
        voter.step(identity(), now).is_empty() && voter.identity.incarnation == Incarnation(12),
        "it has not been replaced"
    );
    assert!(matches!(voter.step(membership_at(4), now)[..], [Effect::Removed]));
    let effects = voter.step(identity(), now);
    let [Effect::Interrupted, Effect::Persist { token, record: Record::DurableState(image) }] = &effects[..]
    else {
        panic!("{effects:?}")
    };
    assert!(!image.initialized && image.identity.incarnation == Incarnation(77));
    assert!(!voter.initialized && voter.commit_index() == Index(0));
    assert!(
        voter.step(Event::Timer, now + 1_000).is_empty(),
        "nothing is sent before the identity is synced"
    );
    assert!(voter.step(membership_at(5), now + 1_000).is_empty(), "no message is answered either");
    let restarted = Voter::new(
        voter_info(2, 0),
        "c",
        (0..3).map(addr).collect(),
        Timing::default(),
        Some(DurableState::clone(image)),
        now,
    );
    voter.step(Event::Synced(*token), now + 1_000);
    for mut voter in [voter.clone(), restarted] {
        // It knows that a cluster exists: it does not answer that it is blank, and ignores a bootstrap.
        let query = Message::BlankQuery { asker: Incarnation(90), sent_at: now };
        assert!(voter.step(Event::Msg(addr(0), query), now + 1_000).is_empty());
        let other =
            ClusterState::bootstrapped("c", vec![voter_info(0, 90), voter_info(1, 91), voter_info(2, 77)]);
        voter.step(Event::Msg(addr(0), Message::Bootstrap { cluster_state: other }), now + 1_000);
        assert!(!voter.initialized);
    }
    let effects = voter.step(Event::Timer, now + 1_100);
    let messages = sent(&effects);
    assert!(
        messages.iter().all(|message| matches!(message, Message::Discover { initialized: false, .. }))
            && messages.len() == 2
    );
    let effects = voter.step(membership_at(5), now + 1_200);
    let messages = sent(&effects);
    assert!(
        messages
            .iter()
            .any(|message| matches!(message, Message::JoinRequest { voter } if voter.incarnation.0 == 77))
    );
    let request = Message::VoteRequest { by: voter_id(1), term: Term(9), commit_index: Index(0) };
    assert!(voter.step(Event::Msg(addr(1), request), now + 5_000).is_empty());
}
