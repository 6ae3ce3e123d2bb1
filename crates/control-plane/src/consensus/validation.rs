//! What a voter refuses to take in, whoever sent it (design 2.9): a message that no voter of this cluster
//! would send changes nothing, is answered by nothing, and is named in the log.

use super::{Body, LogEntry, LogTail, MOST_VOTERS, Message, Voter, VoterId, VoterRole};
use crate::{change::VoterInfo, cluster_state::ClusterState};
use common::{Index, Term, Tick};
use std::{collections::BTreeSet, fmt};

/// Most that a term may be ahead of the one that was promised: more changes of term than any cluster
/// sees, and far from the end of the numbers.
const VIEW_REACH: u64 = 1 << 40;
/// Places beyond this are never reached.
const INDEX_REACH: u64 = 1 << 56;

/// Why a message was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidMessage {
    /// It carries the state of another cluster.
    ForeignCluster,
    /// A set of voters that is empty, has too many, or names one twice.
    InvalidVoterSet,
    /// It names this voter itself as its sender.
    OwnIdentity,
    /// The term belongs to another candidate than the sender.
    TermOfAnother,
    /// The term is further ahead than any change of term could bring it.
    TermOutOfRange,
    /// A place beyond all that a log reaches.
    IndexOutOfRange,
    /// The entries don't follow each other, or not what they are said to follow.
    Gap,
    /// The end of the log is said to lie elsewhere than where its entries end.
    LogEndMismatch,
    /// More is said to be held than was ever logged here.
    BeyondLog,
    /// It answers what was not sent yet.
    ReplyFromFuture,
}

impl fmt::Display for InvalidMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            InvalidMessage::ForeignCluster => "the state of another cluster",
            InvalidMessage::InvalidVoterSet => "a roster that no cluster has",
            InvalidMessage::OwnIdentity => "this seat's own name as the sender's",
            InvalidMessage::TermOfAnother => "a view that belongs to another seat",
            InvalidMessage::TermOutOfRange => "a view out of reach",
            InvalidMessage::IndexOutOfRange => "a place out of reach",
            InvalidMessage::Gap => "entries with a gap",
            InvalidMessage::LogEndMismatch => "an end of the log where its entries don't end",
            InvalidMessage::BeyondLog => "more held than was logged",
            InvalidMessage::ReplyFromFuture => "an answer to what was not sent yet",
        })
    }
}

type Checked = Result<(), InvalidMessage>;

fn ensure(holds: bool, otherwise: InvalidMessage) -> Checked {
    if holds { Ok(()) } else { Err(otherwise) }
}

fn within_reach(places: &[Index]) -> Checked {
    ensure(places.iter().all(|i| i.0 < INDEX_REACH), InvalidMessage::IndexOutOfRange)
}

/// Entries follow each other without a gap, from the place after `base` on.
fn follows(base: Index, entries: &[LogEntry]) -> Checked {
    within_reach(&[base])?;
    let due = (base.0 + 1)..;
    ensure(entries.iter().zip(due).all(|(e, due)| e.index.0 == due), InvalidMessage::Gap)
}

fn sound(voters: &[VoterInfo]) -> Checked {
    let numbers: BTreeSet<u8> = voters.iter().map(|h| h.number).collect();
    let incarnations: BTreeSet<_> = voters.iter().map(|h| h.incarnation).collect();
    let distinct = numbers.len() == voters.len() && incarnations.len() == voters.len();
    let known = numbers.iter().all(|number| usize::from(*number) <= MOST_VOTERS);
    ensure(distinct && known && (1..=MOST_VOTERS).contains(&voters.len()), InvalidMessage::InvalidVoterSet)
}

impl Voter {
    /// Looks at all of a message before any of it is taken in.
    pub(super) fn check(&self, msg: &Message, now: Tick) -> Checked {
        match msg {
            Message::Discover { initialized: true, voters, index, .. } => {
                within_reach(&[*index])?;
                sound(voters)
            }
            Message::Bootstrap { cluster_state } => {
                ensure(cluster_state.index == Index(0), InvalidMessage::LogEndMismatch)?;
                self.check_state(cluster_state)
            }
            Message::PreVote { by, term } | Message::StepDown { by, term } => self.check_candidate(by, *term),
            Message::VoteRequest { by, term, accepted } => {
                within_reach(&[*accepted])?;
                self.check_candidate(by, *term)
            }
            Message::PreVoteGranted { by, term } => self.check_answer(by, *term),
            Message::Vote { by, term, tail } => {
                self.check_answer(by, *term)?;
                self.check_tail(*term, tail)
            }
            Message::Append { by, term, accepted, body, .. } => {
                within_reach(&[*accepted])?;
                self.check_candidate(by, *term)?;
                self.check_body(body)
            }
            Message::AppendReply { by, term, installed, last, accepted, sent_at } => {
                self.check_answer(by, *term)?;
                within_reach(&[*last, *accepted])?;
                ensure(accepted <= last, InvalidMessage::LogEndMismatch)?;
                ensure(*sent_at <= now, InvalidMessage::ReplyFromFuture)?;
                let mine = *term == self.current_term && matches!(self.role, VoterRole::Leader { .. });
                ensure(!(mine && *installed && *last > self.last()), InvalidMessage::BeyondLog)
            }
            Message::Discover { initialized: false, .. }
            | Message::JoinRequest { .. }
            | Message::LeaderQuery(_)
            | Message::NotLeading(_) => Ok(()),
        }
    }

    /// A term is asked for, led and given up by the one voter whose number it bears.
    fn check_candidate(&self, by: &VoterId, term: Term) -> Checked {
        let owner = term.0 % (MOST_VOTERS as u64 + 1);
        ensure(owner == u64::from(by.number), InvalidMessage::TermOfAnother)?;
        self.check_answer(by, term)
    }

    fn check_answer(&self, by: &VoterId, term: Term) -> Checked {
        ensure(!self.initialized || *by != self.id(), InvalidMessage::OwnIdentity)?;
        ensure(term.0.saturating_sub(self.current_term.0) < VIEW_REACH, InvalidMessage::TermOutOfRange)
    }

    fn check_state(&self, cluster_state: &ClusterState) -> Checked {
        ensure(cluster_state.cluster == self.cluster, InvalidMessage::ForeignCluster)?;
        within_reach(&[cluster_state.index])?;
        sound(&cluster_state.voters)
    }

    fn check_body(&self, body: &Body) -> Checked {
        match body {
            Body::Ping => Ok(()),
            Body::Install { snapshot: Some(state), entries, .. } => {
                self.check_state(state)?;
                follows(state.index, entries)
            }
            Body::Install { cut, snapshot: None, entries } => follows(*cut, entries),
            Body::Append { prev, entries } => follows(*prev, entries),
        }
    }

    /// The end of another's log, in answer to what this candidate asked for: after its accepted place.
    /// Who asks no more takes nothing of it.
    fn check_tail(&self, term: Term, tail: &LogTail) -> Checked {
        let asked = matches!(&self.role, VoterRole::Candidate { term: mine, .. } if *mine == term);
        if !asked {
            return Ok(());
        }
        within_reach(&[tail.last, tail.accepted])?;
        ensure(tail.log_term <= term, InvalidMessage::TermOutOfRange)?;
        if let Some(state) = &tail.snapshot {
            self.check_state(state)?;
        }
        let base = tail.snapshot.as_ref().map_or(self.accepted(), |f| f.index);
        follows(base, &tail.entries)?;
        let end = tail.entries.last().map_or(base, |e| e.index);
        // One that holds less than was asked for has nothing to tell.
        let short = tail.snapshot.is_none() && tail.entries.is_empty() && tail.last < end;
        ensure((tail.last == end || short) && tail.accepted <= tail.last, InvalidMessage::LogEndMismatch)
    }
}
