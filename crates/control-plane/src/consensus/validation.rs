//! Validation of received messages (design 2.9): a message that no voter of this cluster would send changes nothing,
//! gets no answer, and is logged.

use super::{AppendBody, LogTail, Message, Voter, VoterId, VoterRole};
use crate::{
    state_machine::ClusterState,
    types::{LogEntry, MAX_VOTERS, VoterInfo},
};
use common::{Index, Term, Tick};
use std::{collections::BTreeSet, fmt};

/// Limit on how far a term may be ahead of the current one: more elections than any cluster has, and far below the
/// overflow of term numbers.
const MAX_TERM_JUMP: u64 = 1 << 40;
/// Limit on indexes, which no log reaches.
const MAX_INDEX: u64 = 1 << 56;

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidMessage {
    /// It carries the state of another cluster.
    ForeignCluster,
    /// The voter set is empty, too large, or contains a number or incarnation twice.
    InvalidVoterSet,
    /// It names this voter as its sender.
    OwnIdentity,
    /// The term belongs to another voter than the sender.
    NotTermOwner,
    /// The term is too far ahead of the current one, or a log's term is newer than the election's.
    TermOutOfRange,
    /// An index is higher than any log reaches.
    IndexOutOfRange,
    /// The entries are not consecutive, or don't directly follow the stated index.
    Gap,
    /// The stated indexes contradict each other, or the entries end at another index than the stated one.
    LogEndMismatch,
    /// It acknowledges entries that this leader has not logged.
    BeyondLog,
    /// It answers a message that this voter has not sent yet.
    ReplyFromFuture,
}

impl fmt::Display for InvalidMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            InvalidMessage::ForeignCluster => "the state of another cluster",
            InvalidMessage::InvalidVoterSet => "an invalid voter set",
            InvalidMessage::OwnIdentity => "this voter's own identity as the sender",
            InvalidMessage::NotTermOwner => "a term that belongs to another voter than the sender",
            InvalidMessage::TermOutOfRange => "a term that is out of range",
            InvalidMessage::IndexOutOfRange => "an index that is out of range",
            InvalidMessage::Gap => "entries that are not consecutive",
            InvalidMessage::LogEndMismatch => {
                "an end of the log that contradicts its entries or commit index"
            }
            InvalidMessage::BeyondLog => "an acknowledgement of entries that were not logged here",
            InvalidMessage::ReplyFromFuture => "an answer to a message that was not sent yet",
        })
    }
}

impl std::error::Error for InvalidMessage {}

/// Whether a message is valid.
type Validity = Result<(), InvalidMessage>;

fn ensure(holds: bool, otherwise: InvalidMessage) -> Validity {
    if holds { Ok(()) } else { Err(otherwise) }
}

fn in_range(indexes: &[Index]) -> Validity {
    ensure(indexes.iter().all(|index| index.0 < MAX_INDEX), InvalidMessage::IndexOutOfRange)
}

/// The entries follow each other without a gap, and the first one follows `base`.
fn contiguous(base: Index, entries: &[LogEntry]) -> Validity {
    in_range(&[base])?;
    let expected = (base.0 + 1)..;
    ensure(entries.iter().zip(expected).all(|(entry, index)| entry.index.0 == index), InvalidMessage::Gap)
}

fn valid_voter_set(voters: &[VoterInfo]) -> Validity {
    let numbers: BTreeSet<u8> = voters.iter().map(|voter| voter.number).collect();
    let incarnations: BTreeSet<_> = voters.iter().map(|voter| voter.incarnation).collect();
    let distinct = numbers.len() == voters.len() && incarnations.len() == voters.len();
    let known = numbers.iter().all(|number| usize::from(*number) <= MAX_VOTERS);
    ensure(distinct && known && (1..=MAX_VOTERS).contains(&voters.len()), InvalidMessage::InvalidVoterSet)
}

impl Voter {
    /// Checks a whole message before any of it is used.
    pub(super) fn validate(&self, msg: &Message, now: Tick) -> Validity {
        match msg {
            Message::Discover { initialized: true, voters, index, .. } => {
                in_range(&[*index])?;
                valid_voter_set(voters)
            }
            Message::Bootstrap { cluster_state } => {
                ensure(cluster_state.index == Index(0), InvalidMessage::LogEndMismatch)?;
                self.validate_state(cluster_state)
            }
            Message::PreVote { by, term } | Message::StepDown { by, term } => {
                self.validate_candidate(by, *term)
            }
            Message::VoteRequest { by, term, commit_index } => {
                in_range(&[*commit_index])?;
                self.validate_candidate(by, *term)
            }
            Message::PreVoteGranted { by, term } => self.validate_sender(by, *term),
            Message::Vote { by, term, tail } => {
                self.validate_sender(by, *term)?;
                self.validate_tail(*term, tail)
            }
            Message::Append { by, term, commit_index, body, .. } => {
                in_range(&[*commit_index])?;
                self.validate_candidate(by, *term)?;
                self.validate_body(body)
            }
            Message::AppendReply { by, term, installed, last, commit_index, sent_at } => {
                self.validate_sender(by, *term)?;
                in_range(&[*last, *commit_index])?;
                ensure(commit_index <= last, InvalidMessage::LogEndMismatch)?;
                ensure(*sent_at <= now, InvalidMessage::ReplyFromFuture)?;
                let own_term = *term == self.current_term && self.is_leader();
                ensure(!(own_term && *installed && *last > self.last_index()), InvalidMessage::BeyondLog)
            }
            Message::Blank { sent_at, .. } => ensure(*sent_at <= now, InvalidMessage::ReplyFromFuture),
            Message::Discover { initialized: false, .. }
            | Message::Learner
            | Message::BlankQuery { .. }
            | Message::JoinRequest { .. }
            | Message::LeaderQuery(_)
            | Message::NotLeading(_) => Ok(()),
        }
    }

    /// Checks a message that only the voter to which the term belongs may send.
    fn validate_candidate(&self, by: &VoterId, term: Term) -> Validity {
        let owner = term.0 % (MAX_VOTERS as u64 + 1);
        ensure(owner == u64::from(by.number), InvalidMessage::NotTermOwner)?;
        self.validate_sender(by, term)
    }

    fn validate_sender(&self, by: &VoterId, term: Term) -> Validity {
        ensure(!self.initialized || *by != self.id(), InvalidMessage::OwnIdentity)?;
        ensure(term.0.saturating_sub(self.current_term.0) < MAX_TERM_JUMP, InvalidMessage::TermOutOfRange)
    }

    fn validate_state(&self, cluster_state: &ClusterState) -> Validity {
        ensure(cluster_state.cluster == self.cluster, InvalidMessage::ForeignCluster)?;
        in_range(&[cluster_state.index])?;
        valid_voter_set(&cluster_state.voters)
    }

    fn validate_body(&self, body: &AppendBody) -> Validity {
        match body {
            AppendBody::Heartbeat => Ok(()),
            AppendBody::Install { snapshot: Some(state), entries, .. } => {
                self.validate_state(state)?;
                contiguous(state.index, entries)
            }
            AppendBody::Install { truncate_to, snapshot: None, entries } => contiguous(*truncate_to, entries),
            AppendBody::Append { prev, entries } => contiguous(*prev, entries),
        }
    }

    /// Checks that the tail of another voter's log follows the commit index that this candidate stated in its vote
    /// request. A voter that is no longer a candidate in that term ignores the tail, so it is not checked.
    fn validate_tail(&self, term: Term, tail: &LogTail) -> Validity {
        let requested = matches!(&self.role, VoterRole::Candidate { term: asked, .. } if *asked == term);
        if !requested {
            return Ok(());
        }
        in_range(&[tail.last, tail.commit_index])?;
        ensure(tail.log_term <= term, InvalidMessage::TermOutOfRange)?;
        if let Some(state) = &tail.snapshot {
            self.validate_state(state)?;
        }
        let base = tail.snapshot.as_ref().map_or(self.commit_index(), |state| state.index);
        contiguous(base, &tail.entries)?;
        let end = tail.entries.last().map_or(base, |entry| entry.index);
        // A voter whose log ends before the requested index sends no entries.
        let shorter = tail.snapshot.is_none() && tail.entries.is_empty() && tail.last < end;
        ensure(
            (tail.last == end || shorter) && tail.commit_index <= tail.last,
            InvalidMessage::LogEndMismatch,
        )
    }
}
