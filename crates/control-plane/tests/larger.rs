//! Cores of more than three voters (design 2.2, 2.3, 2.5), message by message.

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

fn holder(n: u8, incarnation: u64) -> VoterInfo {
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

fn voter(n: u8, incarnation: u64) -> VoterId {
    VoterId { number: n, incarnation: Incarnation(incarnation) }
}

fn initialized(n: u8, of: u8, current_term: u64) -> Voter {
    let voters = (0..of).map(|n| holder(n, 10 + u64::from(n))).collect();
    let image = DurableState {
        initialized: true,
        current_term: Term(current_term),
        cluster_state: ClusterState::bootstrapped("c", voters),
        ..DurableState::blank(&holder(n, 10 + u64::from(n)))
    };
    Voter::new(
        image.me.clone(),
        "c",
        (0..3).map(addr).collect(),
        Timing::default(),
        Some(image),
        Tick(10_000),
    )
}

fn pre_vote_granted(s: &mut Voter, now: Tick) -> Option<Term> {
    s.step(Event::Timer, now).iter().find_map(|f| match f {
        Effect::Send { msg: Message::PreVote { term, .. }, .. } => Some(*term),
        _ => None,
    })
}

/// No two voters ever stand for the same term, whatever each has promised.
#[test]
fn views_are_their_candidates_own() {
    let mut whose: BTreeMap<Term, u8> = BTreeMap::new();
    for current_term in 0..60 {
        for n in 0..MAX_VOTERS as u8 {
            let mut s = initialized(n, MAX_VOTERS as u8, current_term);
            let term = pre_vote_granted(&mut s, Tick(60_000)).expect("it stands");
            assert!(term > Term(current_term));
            assert_eq!(*whose.entry(term).or_insert(n), n, "{term} is another's too");
        }
    }
}

/// A founder waits for those that it was told to expect, but not for long.
#[rstest]
#[case::all_there(2, 100, Some(5))]
#[case::one_is_missing(1, 100, None)]
#[case::one_never_comes(1, 4_500, Some(4))]
#[case::none_comes(0, 4_500, Some(3))]
fn a_founder_waits_for_the_others(#[case] other_voters: u8, #[case] ms: u64, #[case] voters: Option<usize>) {
    let me = holder(0, 90);
    let image = DurableState::blank(&me);
    let mut s = Voter::new(me, "c", (0..3).map(addr).collect(), Timing::default(), Some(image), Tick(10_000));
    s.expected_voters = 5;
    let mut now = Tick(11_000);
    let end = now + ms;
    while now < end && !s.initialized {
        now = now + 50;
        for n in (1..3).chain(3..3 + other_voters) {
            introduce_blank(&mut s, addr(n), holder(n, 90 + u64::from(n)), now);
        }
        s.step(Event::Timer, now);
    }
    assert_eq!(s.initialized.then_some(s.cluster_state.voters.len()), voters);
}

/// Found by the simulator (five voters, seed 616): a voter that did not know of a swap led with the
/// votes of the replaced holder and of one more, while the others had accepted under the newer voters.
#[rstest]
#[case::with_the_replaced_holder(&[(0, 10), (3, 13)], false)]
#[case::with_two_that_still_hold_seats(&[(3, 13), (4, 14)], true)]
fn votes_count_by_the_roster_of_the_log_that_is_taken(
    #[case] from: &[(u8, u64)],
    #[case] has_leadership: bool,
) {
    let mut s = initialized(2, 5, 0);
    let now = Tick(60_000);
    let term = pre_vote_granted(&mut s, now).expect("it stands");
    for (n, incarnation) in [(0, 10), (3, 13)] {
        s.step(Event::Msg(addr(n), Message::PreVoteGranted { by: voter(n, incarnation), term }), now);
    }
    let swap = LogEntry { index: Index(1), change: Change::ReplaceVoter(holder(0, 77)) };
    let mut led = false;
    for (n, incarnation) in from {
        let is_voter = *n != 0;
        let tail = LogTail {
            log_term: Term(u64::from(is_voter)),
            last: Index(u64::from(is_voter)),
            commit_index: Index(0),
            snapshot: None,
            entries: if is_voter { vec![swap.clone()] } else { vec![] },
        };
        let stopped = Message::Vote { by: voter(*n, *incarnation), term, tail };
        let effects = s.step(Event::Msg(addr(*n), stopped), now);
        led |= effects.iter().any(|f| matches!(f, Effect::BecameLeader { .. }));
    }
    assert_eq!(led, has_leadership);
}
