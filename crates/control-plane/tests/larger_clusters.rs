//! Clusters of more than three voters, driven message by message (design 2.2, 2.3, 2.5).

mod samples;

use common::{Incarnation, Index, Term, Tick, settings::Timing};
use control_plane::{
    Change, ClusterState,
    consensus::{DurableState, Effect, Event, LogTail, Message, Voter, VoterId},
    types::{LogEntry, MAX_VOTERS, VoterInfo},
};
use rstest::rstest;
use samples::introduce_blank;
use std::{collections::BTreeMap, net::SocketAddr};

fn addr(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + u16::from(n)))
}

fn voter_info(n: u8, incarnation: u64) -> VoterInfo {
    let node = format!("s{n}");
    VoterInfo {
        number: n,
        incarnation: Incarnation(incarnation),
        node: node.as_str().into(),
        zone: "a".into(),
        rpc_addr: addr(n),
        http: addr(n),
    }
}

fn voter_id(n: u8, incarnation: u64) -> VoterId {
    VoterId { number: n, incarnation: Incarnation(incarnation) }
}

fn initialized(n: u8, voters: u8, current_term: u64) -> Voter {
    initialized_with(n, voters, current_term, Vec::new())
}

fn initialized_with(n: u8, voters: u8, current_term: u64, entries: Vec<LogEntry>) -> Voter {
    let voters = (0..voters).map(|n| voter_info(n, 10 + u64::from(n))).collect();
    let image = DurableState {
        initialized: true,
        current_term: Term(current_term),
        cluster_state: ClusterState::bootstrapped("c", voters),
        entries,
        ..DurableState::blank(&voter_info(n, 10 + u64::from(n)))
    };
    Voter::new(
        image.identity.clone(),
        "c",
        (0..3).map(addr).collect(),
        Timing::default(),
        Some(image),
        Tick(10_000),
    )
}

/// The term for which the voter sends a pre-vote, if the timer makes it stand for election.
fn pre_vote_term(voter: &mut Voter, now: Tick) -> Option<Term> {
    voter.step(Event::Timer, now).iter().find_map(|effect| match effect {
        Effect::Send { msg: Message::PreVote { term, .. }, .. } => Some(*term),
        _ => None,
    })
}

/// No two voters ever stand for the same term, whatever their current terms.
#[test]
fn each_term_has_one_possible_candidate() {
    let mut candidates: BTreeMap<Term, u8> = BTreeMap::new();
    for current_term in 0..60 {
        for n in 0..MAX_VOTERS as u8 {
            let mut voter = initialized(n, MAX_VOTERS as u8, current_term);
            let term = pre_vote_term(&mut voter, Tick(60_000)).expect("it stands for election");
            assert!(term > Term(current_term));
            assert_eq!(*candidates.entry(term).or_insert(n), n, "{term} has two candidates");
        }
    }
}

/// A bootstrap waits a limited time for the expected number of voters.
#[rstest]
#[case::all_present(2, 100, Some(5))]
#[case::one_is_missing(1, 100, None)]
#[case::one_never_appears(1, 4_500, Some(4))]
#[case::only_the_seeds_appear(0, 4_500, Some(3))]
fn a_bootstrap_waits_for_the_expected_voters(
    #[case] other_voters: u8,
    #[case] ms: u64,
    #[case] voters: Option<usize>,
) {
    let identity = voter_info(0, 90);
    let image = DurableState::blank(&identity);
    let mut voter =
        Voter::new(identity, "c", (0..3).map(addr).collect(), Timing::default(), Some(image), Tick(10_000));
    voter.expected_voters = 5;
    let mut now = Tick(11_000);
    let end = now + ms;
    while now < end && !voter.initialized {
        now = now + 50;
        for n in (1..3).chain(3..3 + other_voters) {
            introduce_blank(&mut voter, addr(n), voter_info(n, 90 + u64::from(n)), now);
        }
        voter.step(Event::Timer, now);
    }
    assert_eq!(voter.initialized.then_some(voter.cluster_state.voters.len()), voters);
}

/// Guards against two leaders: a voter that did not know of a replacement was elected with the votes of the replaced
/// voter and one other, while the others had committed changes under the newer voter set. Found by the simulator (five
/// voters, seed 616).
#[rstest]
#[case::with_the_replaced_voter(&[(0, 10), (3, 13)], false)]
#[case::with_two_current_voters(&[(3, 13), (4, 14)], true)]
fn votes_count_by_the_voter_set_of_the_installed_log(#[case] from: &[(u8, u64)], #[case] elected: bool) {
    let mut voter = initialized(2, 5, 0);
    let now = Tick(60_000);
    let term = pre_vote_term(&mut voter, now).expect("it stands for election");
    for (n, incarnation) in [(0, 10), (3, 13)] {
        voter.step(Event::Msg(addr(n), Message::PreVoteGranted { by: voter_id(n, incarnation), term }), now);
    }
    let replacement = LogEntry { index: Index(1), change: Change::ReplaceVoter(voter_info(0, 77)) };
    let mut leads = false;
    for (n, incarnation) in from {
        let knows_replacement = *n != 0;
        let tail = LogTail {
            log_term: Term(u64::from(knows_replacement)),
            last: Index(u64::from(knows_replacement)),
            commit_index: Index(0),
            snapshot: None,
            entries: if knows_replacement { vec![replacement.clone()] } else { vec![] },
        };
        let vote = Message::Vote { by: voter_id(*n, *incarnation), term, tail };
        let effects = voter.step(Event::Msg(addr(*n), vote), now);
        leads |= effects.iter().any(|effect| matches!(effect, Effect::BecameLeader { .. }));
    }
    assert_eq!(leads, elected);
}

/// Guards against a cluster that elects no leader any more: two voters had logged the replacement of a third one and
/// excluded it, and two others lost their disks. Until the replacement is committed, a candidate needs a majority of the
/// voters with the replaced one and a majority with the new one, which may be blank.
#[rstest]
#[case::with_the_replaced_and_the_new_voter(&[(1, 11), (2, 12), (2, 77)], true)]
#[case::without_the_replaced_voter(&[(1, 11), (2, 77)], false)]
#[case::without_the_new_voter(&[(1, 11), (2, 12)], false)]
#[case::without_both(&[(1, 11), (3, 13)], true)]
fn an_uncommitted_replacement_needs_a_majority_of_both_voter_sets(
    #[case] from: &[(u8, u64)],
    #[case] elected: bool,
) {
    let replacement = LogEntry { index: Index(1), change: Change::ReplaceVoter(voter_info(2, 77)) };
    let mut voter = initialized_with(0, 5, 0, vec![replacement]);
    let now = Tick(60_000);
    let term = pre_vote_term(&mut voter, now).expect("it stands for election");
    let empty = LogTail {
        log_term: Term(0),
        last: Index(0),
        commit_index: Index(0),
        snapshot: None,
        entries: Vec::new(),
    };
    let mut leads = false;
    for (n, incarnation) in from {
        let granted = Message::PreVoteGranted { by: voter_id(*n, *incarnation), term };
        voter.step(Event::Msg(addr(*n), granted), now);
    }
    for (n, incarnation) in from {
        let vote = Message::Vote { by: voter_id(*n, *incarnation), term, tail: empty.clone() };
        let effects = voter.step(Event::Msg(addr(*n), vote), now);
        leads |= effects.iter().any(|effect| matches!(effect, Effect::BecameLeader { .. }));
    }
    assert_eq!(leads, elected);
}

/// A voter that missed a replacement refuses the new voter as a candidate until it is told of the newer voter set: with
/// two disks lost, its vote may be needed to elect the only voter that knows of the replacement.
#[test]
fn a_voter_that_missed_a_replacement_votes_for_the_new_voter_once_it_knows_of_it() {
    let mut voter = initialized(1, 5, 0);
    let now = Tick(60_000);
    let candidate = VoterInfo { node: "s9".into(), rpc_addr: addr(9), ..voter_info(0, 77) };
    let pre_vote = || Event::Msg(addr(9), Message::PreVote { by: voter_id(0, 77), term: Term(16) });
    let grants = |effects: &[Effect]| {
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::Send { msg: Message::PreVoteGranted { .. }, .. }))
    };
    let refusal = voter.step(pre_vote(), now);
    let own_set = |effect: &Effect| {
        matches!(effect, Effect::Send { msg: Message::Discover { initialized: true, .. }, .. })
    };
    assert!(!grants(&refusal) && refusal.iter().any(own_set), "{refusal:?}");
    let mut voters: Vec<VoterInfo> = (0..5).map(|n| voter_info(n, 10 + u64::from(n))).collect();
    voters[0] = candidate.clone();
    let newer = Message::Discover { voter: candidate, initialized: true, voters, index: Index(3) };
    voter.step(Event::Msg(addr(9), newer), now);
    assert!(grants(&voter.step(pre_vote(), now)));
}

/// Guards against a newcomer that is replaced at once: a second spare asked to join before the first one had answered the
/// leader, which took it for silent since its own election. The second spare must replace the voter that is silent.
#[test]
fn a_second_spare_replaces_the_silent_voter_and_not_the_newcomer() {
    let (mut voter, mut now) = leader_of_five();
    let lease_ms = Timing::default().lease_ms;
    let mut logged = Vec::new();
    for _ in 0..40 {
        now = now + lease_ms / 20;
        let mut effects = voter.step(Event::Timer, now);
        for (n, incarnation) in [(8, 78), (9, 79)] {
            let spare = VoterInfo { node: format!("s{n}").as_str().into(), ..voter_info(n, incarnation) };
            effects.extend(voter.step(Event::Msg(addr(n), Message::JoinRequest { voter: spare }), now));
        }
        for n in [1, 2] {
            effects.extend(synced(&mut voter, now));
            effects.extend(voter.step(append_reply(n, voter.last_index(), now), now));
        }
        logged.extend(effects.into_iter().filter_map(|effect| match effect {
            Effect::Logged { change: Change::ReplaceVoter(new), .. } => Some((new.number, new.incarnation.0)),
            _ => None,
        }));
    }
    // Each replacement is logged a second time once it is committed.
    assert_eq!(logged, [(3, 78), (3, 78), (4, 79), (4, 79)]);
}

/// Voter 0 of five as the leader of term 8, elected by voters 1 and 2.
fn leader_of_five() -> (Voter, Tick) {
    let mut voter = initialized(0, 5, 0);
    let now = Tick(60_000);
    let term = pre_vote_term(&mut voter, now).expect("it stands for election");
    let tail = LogTail {
        log_term: Term(0),
        last: Index(0),
        commit_index: Index(0),
        snapshot: None,
        entries: Vec::new(),
    };
    for n in [1, 2] {
        let by = voter_id(n, 10 + u64::from(n));
        voter.step(Event::Msg(addr(n), Message::PreVoteGranted { by, term }), now);
    }
    for n in [1, 2] {
        let by = voter_id(n, 10 + u64::from(n));
        voter.step(Event::Msg(addr(n), Message::Vote { by, term, tail: tail.clone() }), now);
    }
    assert!(voter.is_leader());
    (voter, now)
}

/// Reports all writes as synced.
fn synced(voter: &mut Voter, now: Tick) -> Vec<Effect> {
    const AFTER_ALL_WRITES: u64 = 1_000;
    voter.step(Event::Synced(AFTER_ALL_WRITES), now)
}

fn append_reply(n: u8, last: Index, sent_at: Tick) -> Event {
    let by = voter_id(n, 10 + u64::from(n));
    let reply =
        Message::AppendReply { by, term: Term(8), installed: true, last, commit_index: Index(0), sent_at };
    Event::Msg(addr(n), reply)
}
