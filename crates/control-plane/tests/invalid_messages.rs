//! Messages that no voter of this cluster sends (design 2.9), delivered to a blank voter, a follower, a candidate and a
//! leader. Each is rejected with its reason, and the voter's state is unchanged.

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
/// A term or index out of range.
const OUT_OF_RANGE: u64 = u64::MAX;

fn address(n: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + u16::from(n)))
}

fn voter_info(n: u8) -> VoterInfo {
    VoterInfo {
        number: n,
        incarnation: Incarnation(10 + u64::from(n)),
        node: format!("s{n}").as_str().into(),
        zone: "a".into(),
        rpc_addr: address(n),
        http: address(n),
    }
}

fn voter_set() -> Vec<VoterInfo> {
    (0..3).map(voter_info).collect()
}

fn voter_id(n: u8) -> VoterId {
    VoterId { number: n, incarnation: Incarnation(10 + u64::from(n)) }
}

fn state(index: u64) -> ClusterState {
    let mut cluster_state = ClusterState::bootstrapped("c", voter_set());
    (1..=index.min(5)).for_each(|n| {
        let _ = cluster_state.apply(Index(n), &entry(n).change);
    });
    cluster_state.index = Index(index);
    cluster_state
}

fn voter_from(image: DurableState) -> Voter {
    let seeds = (0..3).map(address).collect();
    Voter::new(image.identity.clone(), "c", seeds, Timing::default(), Some(image), Tick(10_000))
}

fn blank() -> Voter {
    voter_from(DurableState::blank(&VoterInfo {
        number: u8::MAX,
        incarnation: Incarnation(90),
        ..voter_info(2)
    }))
}

/// Voter 0 with five committed changes, in its own term 8.
fn initialized() -> Voter {
    let blank = DurableState::blank(&voter_info(0));
    voter_from(DurableState {
        initialized: true,
        current_term: Term(8),
        log_term: Term(8),
        cluster_state: state(5),
        ..blank
    })
}

/// The same voter as the leader of term 16, elected by voter 1, with six entries logged and five committed.
fn leader() -> Voter {
    let mut voter = initialized();
    voter.step(Event::Timer, NOW);
    let term = Term(16);
    voter.step(Event::Msg(address(1), Message::PreVoteGranted { by: voter_id(1), term }), NOW);
    voter.step(Event::Synced(1), NOW);
    let tail = LogTail {
        log_term: Term(8),
        last: Index(5),
        commit_index: Index(5),
        snapshot: None,
        entries: Vec::new(),
    };
    voter.step(Event::Msg(address(1), Message::Vote { by: voter_id(1), term, tail }), NOW);
    voter.step(Event::Synced(2), NOW);
    voter.step(Event::Msg(address(1), append_reply(16, 5, 5, NOW)), NOW);
    assert!(voter.can_serve_reads(NOW), "{:?}", voter.role);
    voter.step(Event::Propose(entry(6).change), NOW);
    assert_eq!(voter.last_index(), Index(6));
    voter
}

/// The same voter as a candidate for term 16.
fn candidate() -> Voter {
    let mut voter = initialized();
    voter.step(Event::Timer, NOW);
    voter.step(Event::Msg(address(1), Message::PreVoteGranted { by: voter_id(1), term: Term(16) }), NOW);
    voter.step(Event::Synced(1), NOW);
    voter
}

fn append_reply(term: u64, last: u64, commit_index: u64, sent_at: Tick) -> Message {
    let (last, commit_index) = (Index(last), Index(commit_index));
    Message::AppendReply { by: voter_id(1), term: Term(term), installed: true, last, commit_index, sent_at }
}

fn append_message(term: u64, commit_index: u64, body: AppendBody) -> Message {
    let (term, commit_index) = (Term(term), Index(commit_index));
    Message::Append { by: voter_id(1), to: 0, term, commit_index, sent_at: NOW, body }
}

fn install_body(truncate_to: u64, snapshot: Option<ClusterState>, entries: &[u64]) -> AppendBody {
    AppendBody::Install {
        truncate_to: Index(truncate_to),
        snapshot,
        entries: entries.iter().copied().map(entry).collect(),
    }
}

fn append_body(prev: u64, entries: &[u64]) -> AppendBody {
    AppendBody::Append { prev: Index(prev), entries: entries.iter().copied().map(entry).collect() }
}

fn vote_message(
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

fn foreign_state(index: u64) -> ClusterState {
    ClusterState { cluster: "another".into(), ..state(index) }
}

fn with_voter_set(voters: Vec<VoterInfo>) -> ClusterState {
    ClusterState { voters, ..state(9) }
}

fn discover_message(voters: Vec<VoterInfo>, index: u64) -> Message {
    Message::Discover { voter: voter_info(1), initialized: true, voters, index: Index(index) }
}

/// The parts of a voter that an invalid message must not change.
fn describe(voter: &Voter) -> String {
    format!(
        "{} {} {} {:?} {:?} {} {} {} {} {} {:?}",
        voter.initialized,
        voter.current_term,
        voter.log_term,
        voter.cluster_state,
        voter.log,
        voter.snapshot_index,
        voter.durable_index,
        voter.disk_failed,
        voter.removed,
        voter.last_index(),
        voter.role
    )
}

/// Checks that the message is rejected for this reason, without other effects or a change of the voter.
fn assert_rejected(mut voter: Voter, msg: Message, why: InvalidMessage) {
    let before = describe(&voter);
    let effects = voter.step(Event::Msg(address(1), msg.clone()), NOW);
    let rejected =
        matches!(effects.as_slice(), [Effect::MessageRejected { why: reason, .. }] if *reason == why);
    assert!(rejected, "{msg:?}: {effects:?}");
    assert_eq!(describe(&voter), before, "{msg:?}");
}

#[rstest]
#[case::append_in_a_term_out_of_range(append_message(OUT_OF_RANGE - 6, 5, AppendBody::Heartbeat), InvalidMessage::TermOutOfRange)]
#[case::append_in_the_term_of_another(
    append_message(18, 5, AppendBody::Heartbeat),
    InvalidMessage::NotTermOwner
)]
#[case::append_with_a_commit_index_out_of_range(
    append_message(17, OUT_OF_RANGE, AppendBody::Heartbeat),
    InvalidMessage::IndexOutOfRange
)]
#[case::state_of_another_cluster(append_message(17, 9, install_body(0, Some(foreign_state(9)), &[])), InvalidMessage::ForeignCluster)]
#[case::state_with_an_index_out_of_range(append_message(17, 9, install_body(0, Some(state(OUT_OF_RANGE)), &[])), InvalidMessage::IndexOutOfRange)]
#[case::state_without_voters(append_message(17, 9, install_body(0, Some(with_voter_set(vec![])), &[])), InvalidMessage::InvalidVoterSet)]
#[case::state_with_a_voter_twice(
    append_message(17, 9, install_body(0, Some(with_voter_set(vec![voter_info(1), voter_info(1)])), &[])), InvalidMessage::InvalidVoterSet)]
#[case::entries_that_start_too_late(append_message(17, 5, install_body(5, None, &[7, 8])), InvalidMessage::Gap)]
#[case::entries_with_a_gap(append_message(17, 5, install_body(5, None, &[6, 8])), InvalidMessage::Gap)]
#[case::entries_that_repeat_an_index(append_message(17, 5, install_body(5, None, &[6, 7, 6])), InvalidMessage::Gap)]
#[case::entries_that_do_not_follow_the_state(append_message(17, 9, install_body(9, Some(state(9)), &[11])), InvalidMessage::Gap)]
#[case::appended_with_a_gap(append_message(17, 5, append_body(5, &[6, 9])), InvalidMessage::Gap)]
#[case::appended_after_another_index(append_message(17, 5, append_body(5, &[9])), InvalidMessage::Gap)]
#[case::vote_request_in_a_term_out_of_range(
    Message::VoteRequest { by: voter_id(1), term: Term(OUT_OF_RANGE - 6), commit_index: Index(0) }, InvalidMessage::TermOutOfRange)]
#[case::vote_request_in_the_term_of_another(
    Message::VoteRequest { by: voter_id(1), term: Term(24), commit_index: Index(0) }, InvalidMessage::NotTermOwner)]
#[case::pre_vote_in_a_term_out_of_range(
    Message::PreVote { by: voter_id(1), term: Term(OUT_OF_RANGE - 6) }, InvalidMessage::TermOutOfRange)]
#[case::empty_voter_set(discover_message(vec![], 99), InvalidMessage::InvalidVoterSet)]
#[case::too_many_voters(discover_message((0..9).map(voter_info).collect(), 99), InvalidMessage::InvalidVoterSet)]
#[case::voter_set_at_an_index_out_of_range(
    discover_message(voter_set(), OUT_OF_RANGE),
    InvalidMessage::IndexOutOfRange
)]
#[case::bootstrap_with_committed_changes(Message::Bootstrap { cluster_state: state(3) }, InvalidMessage::LogEndMismatch)]
#[case::bootstrap_of_another_cluster(Message::Bootstrap { cluster_state: foreign_state(0) }, InvalidMessage::ForeignCluster)]
fn every_voter_rejects_it(
    #[case] msg: Message,
    #[case] why: InvalidMessage,
    #[values(blank, initialized, candidate, leader)] make_voter: fn() -> Voter,
) {
    assert_rejected(make_voter(), msg, why);
}

#[rstest]
#[case::append(Message::Append {
    by: voter_id(0), to: 0, term: Term(24), commit_index: Index(5), sent_at: NOW, body: AppendBody::Heartbeat })]
#[case::vote_request(Message::VoteRequest { by: voter_id(0), term: Term(24), commit_index: Index(5) })]
#[case::pre_vote_granted(Message::PreVoteGranted { by: voter_id(0), term: Term(16) })]
#[case::append_reply(Message::AppendReply {
    by: voter_id(0), term: Term(16), installed: true, last: Index(6), commit_index: Index(5), sent_at: NOW })]
fn a_message_from_itself_is_rejected(
    #[case] msg: Message,
    #[values(initialized, candidate, leader)] make_voter: fn() -> Voter,
) {
    assert_rejected(make_voter(), msg, InvalidMessage::OwnIdentity);
}

#[rstest]
#[case::more_than_was_logged(append_reply(16, 7, 5, NOW), InvalidMessage::BeyondLog)]
#[case::an_index_out_of_range(append_reply(16, OUT_OF_RANGE, 5, NOW), InvalidMessage::IndexOutOfRange)]
#[case::committed_past_its_end(append_reply(16, 6, OUT_OF_RANGE / 512, NOW), InvalidMessage::LogEndMismatch)]
#[case::from_the_future(append_reply(16, 6, 5, NOW + 1), InvalidMessage::ReplyFromFuture)]
#[case::in_a_term_out_of_range(append_reply(OUT_OF_RANGE, 6, 5, NOW), InvalidMessage::TermOutOfRange)]
fn a_leader_rejects_an_impossible_reply(#[case] msg: Message, #[case] why: InvalidMessage) {
    assert_rejected(leader(), msg, why);
}

#[rstest]
#[case::longer_than_its_entries(vote_message(8, 9, 5, None, &[6, 7]), InvalidMessage::LogEndMismatch)]
#[case::longer_without_entries(vote_message(8, 9, 5, None, &[]), InvalidMessage::LogEndMismatch)]
#[case::with_a_gap(vote_message(8, 9, 5, None, &[6, 9]), InvalidMessage::Gap)]
#[case::that_starts_too_late(vote_message(8, 9, 5, None, &[8, 9]), InvalidMessage::Gap)]
#[case::of_a_later_term_than_requested(vote_message(17, 6, 5, None, &[6]), InvalidMessage::TermOutOfRange)]
#[case::committed_past_its_end(vote_message(8, 6, 7, None, &[6]), InvalidMessage::LogEndMismatch)]
#[case::of_another_cluster(vote_message(8, 9, 9, Some(foreign_state(9)), &[]), InvalidMessage::ForeignCluster)]
#[case::at_an_index_out_of_range(vote_message(8, OUT_OF_RANGE, 5, None, &[6]), InvalidMessage::IndexOutOfRange)]
fn a_candidate_rejects_an_impossible_log(#[case] msg: Message, #[case] why: InvalidMessage) {
    assert_rejected(candidate(), msg, why);
}

/// Valid messages that carry no authority: from an older term or from a removed voter.
#[rstest]
#[case::vote_request_of_an_older_term(Message::VoteRequest { by: voter_id(1), term: Term(1), commit_index: Index(0) })]
#[case::pre_vote_granted_for_an_older_term(Message::PreVoteGranted { by: voter_id(1), term: Term(8) })]
#[case::append_of_an_older_term(append_message(1, 5, append_body(5, &[6, 7])))]
#[case::vote_request_of_a_removed_voter(
    Message::VoteRequest { by: VoterId { number: 1, incarnation: Incarnation(1) }, term: Term(25), commit_index: Index(0) })]
#[case::append_of_a_removed_voter(Message::Append {
    by: VoterId { number: 1, incarnation: Incarnation(1) }, to: 0, term: Term(25), commit_index: Index(5), sent_at: NOW,
    body: append_body(5, &[6, 7]) })]
#[case::append_reply_of_a_removed_voter(Message::AppendReply {
    by: VoterId { number: 1, incarnation: Incarnation(1) }, term: Term(16), installed: true, last: Index(6),
    commit_index: Index(5), sent_at: NOW })]
#[case::step_down_of_a_removed_voter(
    Message::StepDown { by: VoterId { number: 1, incarnation: Incarnation(1) }, term: Term(17) })]
fn a_message_without_authority_changes_nothing(
    #[case] msg: Message,
    #[values(initialized, candidate, leader)] make_voter: fn() -> Voter,
) {
    let mut voter = make_voter();
    let before = describe(&voter);
    let effects = voter.step(Event::Msg(address(1), msg.clone()), NOW);
    let takes_effect = |effect: &Effect| {
        matches!(
            effect,
            Effect::Send { msg: Message::PreVoteGranted { .. } | Message::Vote { .. }, .. }
                | Effect::Committed { .. }
                | Effect::Persist { .. }
        )
    };
    assert!(!effects.iter().any(takes_effect), "{msg:?}: {effects:?}");
    assert_eq!(describe(&voter), before, "{msg:?}");
}

/// Rejected messages don't stop a leader from committing changes.
#[test]
fn a_leader_keeps_working_after_rejected_messages() {
    let mut voter = leader();
    for msg in [
        append_reply(16, OUT_OF_RANGE, 5, NOW),
        append_reply(16, 6, 5, NOW + 9_999),
        append_message(OUT_OF_RANGE - 6, 5, AppendBody::Heartbeat),
    ] {
        voter.step(Event::Msg(address(1), msg), NOW);
    }
    voter.step(Event::Synced(3), NOW);
    let effects = voter.step(Event::Msg(address(1), append_reply(16, 6, 5, NOW)), NOW);
    assert!(effects.iter().any(|effect| matches!(effect, Effect::Committed { .. })), "{effects:?}");
    assert!(!voter.can_serve_reads(NOW + 5_000), "a time in the future does not prolong the leadership");
}

/// The reply to a late append of an older term may reach a voter that leads a newer term by now, so it must not state
/// entries that are not synced.
#[test]
fn a_late_append_is_answered_only_after_the_sync() {
    let mut voter = initialized();
    let effects =
        voter.step(Event::Msg(address(1), append_message(17, 5, install_body(5, None, &[6, 7]))), NOW);
    assert!(matches!(effects.as_slice(), [Effect::Persist { .. }]), "{effects:?}");
    let late = voter.step(Event::Msg(address(1), append_message(9, 5, AppendBody::Heartbeat)), NOW);
    let is_reply = |effect: &Effect| matches!(effect, Effect::Send { msg: Message::AppendReply { .. }, .. });
    assert!(!late.iter().any(is_reply), "{late:?}");
    let released = voter.step(Event::Synced(1), NOW);
    assert!(released.iter().any(is_reply), "{released:?}");
}

/// Encoded messages are truncated, and must not decode, or have random bytes changed: those that still decode are
/// delivered to each voter. Nothing panics, no committed change is lost, and the voter keeps its cluster.
#[test]
fn corrupted_messages_lose_no_committed_change() {
    let messages = [
        append_message(17, 7, install_body(5, None, &[6, 7])),
        append_message(17, 9, install_body(0, Some(state(9)), &[10])),
        append_message(17, 6, append_body(5, &[6])),
        vote_message(8, 7, 6, None, &[6, 7]),
        vote_message(8, 9, 9, Some(state(9)), &[]),
        append_reply(16, 6, 5, NOW),
        discover_message(voter_set(), 9),
        Message::VoteRequest { by: voter_id(1), term: Term(17), commit_index: Index(5) },
        Message::PreVote { by: voter_id(1), term: Term(17) },
        Message::JoinRequest { voter: voter_info(2) },
        Message::Bootstrap { cluster_state: state(0) },
    ];
    let mut rng = SmallRng::seed_from_u64(7);
    let mut decoded = 0;
    for msg in &messages {
        let bytes = encode(msg).unwrap();
        for length in 0..bytes.len() {
            assert!(decode::<Message>(&bytes[..length]).is_err(), "truncated to {length} bytes: {msg:?}");
        }
        for _ in 0..4_000 {
            let mut bytes = bytes.clone();
            for _ in 0..rng.random_range(1..4) {
                let position = rng.random_range(0..bytes.len());
                bytes[position] = rng.random();
            }
            let Ok(msg) = decode::<Message>(&bytes) else { continue };
            decoded += 1;
            for make_voter in [blank, initialized, candidate, leader] {
                let mut voter = make_voter();
                let commit_index = voter.commit_index();
                voter.step(Event::Msg(address(1), msg.clone()), NOW);
                voter.step(Event::Synced(9), NOW);
                (0..80).for_each(|n| drop(voter.step(Event::Timer, NOW + n * 50)));
                assert!(voter.commit_index() >= commit_index, "{msg:?}");
                assert!(!voter.initialized || voter.cluster_state.cluster == "c", "{msg:?}");
            }
        }
    }
    assert!(decoded > 500, "only {decoded} corrupted messages could be decoded");
}
