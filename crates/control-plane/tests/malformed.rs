//! Messages that no voter of this cluster sends (design 2.9): thrown at a blank voter, a follower and a
//! leader. Each is refused by name, takes no vote and no state, and the voter goes on as before.

mod samples;

use common::{
    Incarnation, Index, Term, Tick,
    settings::Timing,
    wire::{decode, encode},
};
use control_plane::{
    ClusterState,
    consensus::{AppendBody, DurableState, Effect, Event, InvalidMessage, LogTail, Message, Voter, VoterId},
    types::VoterInfo,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use samples::entry;
use std::net::SocketAddr;

const NOW: Tick = Tick(20_000);
const MOST: u64 = u64::MAX;

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + u16::from(n)))
}

fn holder(n: u8) -> VoterInfo {
    VoterInfo {
        number: n,
        incarnation: Incarnation(10 + u64::from(n)),
        node: format!("s{n}").as_str().into(),
        zone: "a".into(),
        rpc_addr: address(n),
        http: address(n),
    }
}

fn voters() -> Vec<VoterInfo> {
    (0..3).map(holder).collect()
}

fn voter_id(n: u8) -> VoterId {
    VoterId { number: n, incarnation: Incarnation(10 + u64::from(n)) }
}

fn state(index: u64) -> ClusterState {
    let mut cluster_state = ClusterState::bootstrapped("c", voters());
    (1..=index.min(5)).for_each(|n| {
        let _ = cluster_state.apply(Index(n), &entry(n).change);
    });
    cluster_state.index = Index(index);
    cluster_state
}

fn voter(image: DurableState) -> Voter {
    let seeds = (0..3).map(address).collect();
    Voter::new(image.me.clone(), "c", seeds, Timing::default(), Some(image), Tick(10_000))
}

fn blank() -> Voter {
    voter(DurableState::blank(&VoterInfo { number: u8::MAX, incarnation: Incarnation(90), ..holder(2) }))
}

/// Voter 0 with five accepted changes, in the term 8 that it leads or once led.
fn initialized() -> Voter {
    let blank = DurableState::blank(&holder(0));
    voter(DurableState {
        initialized: true,
        current_term: Term(8),
        log_term: Term(8),
        cluster_state: state(5),
        ..blank
    })
}

/// The same, as the leader of term 16 by the vote of voter 1, with six logged and five accepted.
fn leader() -> Voter {
    let mut s = initialized();
    s.step(Event::Timer, NOW);
    let term = Term(16);
    s.step(Event::Msg(address(1), Message::PreVoteGranted { by: voter_id(1), term }), NOW);
    s.step(Event::Synced(1), NOW);
    let tail = LogTail {
        log_term: Term(8),
        last: Index(5),
        commit_index: Index(5),
        snapshot: None,
        entries: Vec::new(),
    };
    s.step(Event::Msg(address(1), Message::Vote { by: voter_id(1), term, tail }), NOW);
    s.step(Event::Synced(2), NOW);
    s.step(Event::Msg(address(1), holds(16, 5, 5, NOW)), NOW);
    assert!(s.can_serve_reads(NOW), "{:?}", s.role);
    s.step(Event::Propose(entry(6).change), NOW);
    assert_eq!(s.last_index(), Index(6));
    s
}

/// Voter 0 as it gathers the ends of the others' logs for term 16.
fn candidate() -> Voter {
    let mut s = initialized();
    s.step(Event::Timer, NOW);
    s.step(Event::Msg(address(1), Message::PreVoteGranted { by: voter_id(1), term: Term(16) }), NOW);
    s.step(Event::Synced(1), NOW);
    s
}

fn holds(term: u64, last: u64, commit_index: u64, sent_at: Tick) -> Message {
    let (last, commit_index) = (Index(last), Index(commit_index));
    Message::AppendReply { by: voter_id(1), term: Term(term), installed: true, last, commit_index, sent_at }
}

fn send_append(term: u64, commit_index: u64, body: AppendBody) -> Message {
    let (term, commit_index) = (Term(term), Index(commit_index));
    Message::Append { by: voter_id(1), to: 0, term, commit_index, sent_at: NOW, body }
}

fn install(cut: u64, snapshot: Option<ClusterState>, entries: &[u64]) -> AppendBody {
    AppendBody::Install {
        truncate_to: Index(cut),
        snapshot,
        entries: entries.iter().copied().map(entry).collect(),
    }
}

fn append(prev: u64, entries: &[u64]) -> AppendBody {
    AppendBody::Append { prev: Index(prev), entries: entries.iter().copied().map(entry).collect() }
}

fn stopped(
    log_term: u64,
    last: u64,
    commit_index: u64,
    snapshot: Option<ClusterState>,
    entries: &[u64],
) -> Message {
    let entries = entries.iter().copied().map(entry).collect();
    let tail = LogTail {
        log_term: Term(log_term),
        last: Index(last),
        commit_index: Index(commit_index),
        snapshot,
        entries,
    };
    Message::Vote { by: voter_id(1), term: Term(16), tail }
}

fn saw_other_cluster(index: u64) -> ClusterState {
    ClusterState { cluster: "another".into(), ..state(index) }
}

fn with_roster(voters: Vec<VoterInfo>) -> ClusterState {
    ClusterState { voters, ..state(9) }
}

fn discovered_voters(voters: Vec<VoterInfo>, index: u64) -> Message {
    Message::Discover { voter: holder(1), initialized: true, voters, index: Index(index) }
}

/// All of a voter that a message could change and that must outlive it.
fn shown(s: &Voter) -> String {
    format!(
        "{} {} {} {:?} {:?} {} {} {} {} {} {:?}",
        s.initialized,
        s.current_term,
        s.log_term,
        s.cluster_state,
        s.log,
        s.snapshot_index,
        s.durable_index,
        s.disk_failed,
        s.removed,
        s.last_index(),
        s.role
    )
}

/// Refused by that name, with no other effect, and nothing of the voter changed.
fn refused(mut s: Voter, msg: Message, why: InvalidMessage) {
    let before = shown(&s);
    let effects = s.step(Event::Msg(address(1), msg.clone()), NOW);
    let named = matches!(effects.as_slice(), [Effect::Refused { why: w, .. }] if *w == why);
    assert!(named, "{msg:?}: {effects:?}");
    assert_eq!(shown(&s), before, "{msg:?}");
}

#[rstest]
#[case::feed_of_a_view_out_of_reach(send_append(MOST - 6, 5, AppendBody::Heartbeat), InvalidMessage::TermOutOfRange)]
#[case::feed_in_the_view_of_another(send_append(18, 5, AppendBody::Heartbeat), InvalidMessage::NotTermOwner)]
#[case::feed_of_a_place_out_of_reach(
    send_append(17, MOST, AppendBody::Heartbeat),
    InvalidMessage::IndexOutOfRange
)]
#[case::state_of_another_cluster(send_append(17, 9, install(0, Some(saw_other_cluster(9)), &[])), InvalidMessage::ForeignCluster)]
#[case::state_at_a_place_out_of_reach(send_append(17, 9, install(0, Some(state(MOST)), &[])), InvalidMessage::IndexOutOfRange)]
#[case::state_without_a_roster(send_append(17, 9, install(0, Some(with_roster(vec![])), &[])), InvalidMessage::InvalidVoterSet)]
#[case::state_with_a_seat_twice(
    send_append(17, 9, install(0, Some(with_roster(vec![holder(1), holder(1)])), &[])), InvalidMessage::InvalidVoterSet)]
#[case::entries_that_begin_late(send_append(17, 5, install(5, None, &[7, 8])), InvalidMessage::Gap)]
#[case::entries_with_a_gap(send_append(17, 5, install(5, None, &[6, 8])), InvalidMessage::Gap)]
#[case::entries_that_go_back(send_append(17, 5, install(5, None, &[6, 7, 6])), InvalidMessage::Gap)]
#[case::entries_that_do_not_follow_the_state(send_append(17, 9, install(9, Some(state(9)), &[11])), InvalidMessage::Gap)]
#[case::appended_with_a_gap(send_append(17, 5, append(5, &[6, 9])), InvalidMessage::Gap)]
#[case::appended_elsewhere(send_append(17, 5, append(5, &[9])), InvalidMessage::Gap)]
#[case::stop_of_a_view_out_of_reach(
    Message::VoteRequest { by: voter_id(1), term: Term(MOST - 6), commit_index: Index(0) }, InvalidMessage::TermOutOfRange)]
#[case::stop_in_the_view_of_another(
    Message::VoteRequest { by: voter_id(1), term: Term(24), commit_index: Index(0) }, InvalidMessage::NotTermOwner)]
#[case::canvass_of_a_view_out_of_reach(
    Message::PreVote { by: voter_id(1), term: Term(MOST - 6) }, InvalidMessage::TermOutOfRange)]
#[case::roster_of_nobody(discovered_voters(vec![], 99), InvalidMessage::InvalidVoterSet)]
#[case::roster_of_too_many(discovered_voters((0..9).map(holder).collect(), 99), InvalidMessage::InvalidVoterSet)]
#[case::roster_at_a_place_out_of_reach(discovered_voters(voters(), MOST), InvalidMessage::IndexOutOfRange)]
#[case::founding_with_a_history(Message::Bootstrap { cluster_state: state(3) }, InvalidMessage::LogEndMismatch)]
#[case::founding_of_another_cluster(Message::Bootstrap { cluster_state: saw_other_cluster(0) }, InvalidMessage::ForeignCluster)]
fn no_seat_takes_it(
    #[case] msg: Message,
    #[case] why: InvalidMessage,
    #[values(blank, initialized, candidate, leader)] at: fn() -> Voter,
) {
    refused(at(), msg, why);
}

#[rstest]
#[case::send_append(Message::Append {
    by: voter_id(0), to: 0, term: Term(24), commit_index: Index(5), sent_at: NOW, body: AppendBody::Heartbeat })]
#[case::stop(Message::VoteRequest { by: voter_id(0), term: Term(24), commit_index: Index(5) })]
#[case::vote(Message::PreVoteGranted { by: voter_id(0), term: Term(16) })]
#[case::held(Message::AppendReply {
    by: voter_id(0), term: Term(16), installed: true, last: Index(6), commit_index: Index(5), sent_at: NOW })]
fn its_own_name_is_no_sender(
    #[case] msg: Message,
    #[values(initialized, candidate, leader)] at: fn() -> Voter,
) {
    refused(at(), msg, InvalidMessage::OwnIdentity);
}

#[rstest]
#[case::more_than_was_logged(holds(16, 7, 5, NOW), InvalidMessage::BeyondLog)]
#[case::a_place_out_of_reach(holds(16, MOST, 5, NOW), InvalidMessage::IndexOutOfRange)]
#[case::accepted_past_its_end(holds(16, 6, MOST / 512, NOW), InvalidMessage::LogEndMismatch)]
#[case::from_the_future(holds(16, 6, 5, NOW + 1), InvalidMessage::ReplyFromFuture)]
#[case::in_a_view_out_of_reach(holds(MOST, 6, 5, NOW), InvalidMessage::TermOutOfRange)]
fn a_leader_counts_no_absurd_answer(#[case] msg: Message, #[case] why: InvalidMessage) {
    refused(leader(), msg, why);
}

#[rstest]
#[case::longer_than_its_entries(stopped(8, 9, 5, None, &[6, 7]), InvalidMessage::LogEndMismatch)]
#[case::longer_without_entries(stopped(8, 9, 5, None, &[]), InvalidMessage::LogEndMismatch)]
#[case::with_a_gap(stopped(8, 9, 5, None, &[6, 9]), InvalidMessage::Gap)]
#[case::that_begins_late(stopped(8, 9, 5, None, &[8, 9]), InvalidMessage::Gap)]
#[case::of_a_later_view_than_asked(stopped(17, 6, 5, None, &[6]), InvalidMessage::TermOutOfRange)]
#[case::accepted_past_its_end(stopped(8, 6, 7, None, &[6]), InvalidMessage::LogEndMismatch)]
#[case::of_another_cluster(stopped(8, 9, 9, Some(saw_other_cluster(9)), &[]), InvalidMessage::ForeignCluster)]
#[case::at_a_place_out_of_reach(stopped(8, MOST, 5, None, &[6]), InvalidMessage::IndexOutOfRange)]
fn a_candidate_takes_no_absurd_log(#[case] msg: Message, #[case] why: InvalidMessage) {
    refused(candidate(), msg, why);
}

/// Sound messages of those who have no say: an older term, a removed member, nobody it knows.
#[rstest]
#[case::stop_of_an_older_view(Message::VoteRequest { by: voter_id(1), term: Term(1), commit_index: Index(0) })]
#[case::vote_for_an_older_view(Message::PreVoteGranted { by: voter_id(1), term: Term(8) })]
#[case::feed_of_an_older_view(send_append(1, 5, append(5, &[6, 7])))]
#[case::stop_of_a_removed_member(
    Message::VoteRequest { by: VoterId { number: 1, incarnation: Incarnation(1) }, term: Term(25), commit_index: Index(0) })]
#[case::feed_of_a_removed_member(Message::Append {
    by: VoterId { number: 1, incarnation: Incarnation(1) }, to: 0, term: Term(25), commit_index: Index(5), sent_at: NOW,
    body: append(5, &[6, 7]) })]
#[case::held_by_a_removed_member(Message::AppendReply {
    by: VoterId { number: 1, incarnation: Incarnation(1) }, term: Term(16), installed: true, last: Index(6),
    commit_index: Index(5), sent_at: NOW })]
#[case::yield_of_a_removed_member(
    Message::StepDown { by: VoterId { number: 1, incarnation: Incarnation(1) }, term: Term(17) })]
fn who_has_no_say_changes_nothing(
    #[case] msg: Message,
    #[values(initialized, candidate, leader)] at: fn() -> Voter,
) {
    let mut s = at();
    let before = shown(&s);
    let effects = s.step(Event::Msg(address(1), msg.clone()), NOW);
    let vote = |f: &Effect| {
        matches!(
            f,
            Effect::Send { msg: Message::PreVoteGranted { .. } | Message::Vote { .. }, .. }
                | Effect::Committed { .. }
                | Effect::Persist { .. }
        )
    };
    assert!(!effects.iter().any(vote), "{msg:?}: {effects:?}");
    assert_eq!(shown(&s), before, "{msg:?}");
}

/// What has no say does not keep a leader from its work.
#[test]
fn a_leader_goes_on_behind_all_of_it() {
    let mut s = leader();
    for msg in [
        holds(16, MOST, 5, NOW),
        holds(16, 6, 5, NOW + 9_999),
        send_append(MOST - 6, 5, AppendBody::Heartbeat),
    ] {
        s.step(Event::Msg(address(1), msg), NOW);
    }
    s.step(Event::Synced(3), NOW);
    let effects = s.step(Event::Msg(address(1), holds(16, 6, 5, NOW)), NOW);
    assert!(effects.iter().any(|f| matches!(f, Effect::Committed { .. })), "{effects:?}");
    assert!(!s.can_serve_reads(NOW + 5_000), "a stamp of the future does not lengthen the lead");
}

/// A feed of an older term that comes late: its answer goes to a voter that leads the newer one by now, so
/// it may not name what is not synced.
#[test]
fn a_late_feed_is_not_answered_by_what_is_not_synced() {
    let mut s = initialized();
    let effects = s.step(Event::Msg(address(1), send_append(17, 5, install(5, None, &[6, 7]))), NOW);
    assert!(matches!(effects.as_slice(), [Effect::Persist { .. }]), "{effects:?}");
    let late = s.step(Event::Msg(address(1), send_append(9, 5, AppendBody::Heartbeat)), NOW);
    let held = |f: &Effect| matches!(f, Effect::Send { msg: Message::AppendReply { .. }, .. });
    assert!(!late.iter().any(held), "{late:?}");
    let told = s.step(Event::Synced(1), NOW);
    assert!(told.iter().any(held), "{told:?}");
}

/// Encoded messages with bytes changed, cut off or repeated: what can still be read is thrown at each voter.
/// Nothing panics, no accepted change is lost, and the voter stays of its cluster.
#[test]
fn random_bytes_lose_nothing() {
    let whole = [
        send_append(17, 7, install(5, None, &[6, 7])),
        send_append(17, 9, install(0, Some(state(9)), &[10])),
        send_append(17, 6, append(5, &[6])),
        stopped(8, 7, 6, None, &[6, 7]),
        stopped(8, 9, 9, Some(state(9)), &[]),
        holds(16, 6, 5, NOW),
        discovered_voters(voters(), 9),
        Message::VoteRequest { by: voter_id(1), term: Term(17), commit_index: Index(5) },
        Message::PreVote { by: voter_id(1), term: Term(17) },
        Message::JoinRequest { voter: holder(2) },
        Message::Bootstrap { cluster_state: state(0) },
    ];
    let mut rng = SmallRng::seed_from_u64(7);
    let mut read = 0;
    for msg in &whole {
        let bytes = encode(msg).unwrap();
        for cut in 0..bytes.len() {
            assert!(decode::<Message>(&bytes[..cut]).is_err(), "cut off at {cut}: {msg:?}");
        }
        for _ in 0..4_000 {
            let mut bytes = bytes.clone();
            for _ in 0..rng.random_range(1..4) {
                let at = rng.random_range(0..bytes.len());
                bytes[at] = rng.random();
            }
            let Ok(msg) = decode::<Message>(&bytes) else { continue };
            read += 1;
            for at in [blank, initialized, candidate, leader] {
                let mut s = at();
                let commit_index = s.commit_index();
                s.step(Event::Msg(address(1), msg.clone()), NOW);
                s.step(Event::Synced(9), NOW);
                (0..80).for_each(|n| drop(s.step(Event::Timer, NOW + n * 50)));
                assert!(s.commit_index() >= commit_index, "{msg:?}");
                assert!(!s.initialized || s.cluster_state.cluster == "c", "{msg:?}");
            }
        }
    }
    assert!(read > 500, "{read} of them could still be read");
}
