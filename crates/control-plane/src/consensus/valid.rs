//! What a voter refuses to take in, whoever sent it (design 2.9): a message that no voter of this cluster
//! would send changes nothing, is answered by nothing, and is named in the log.

use super::{Body, LogEntry, LogTail, MOST_VOTERS, Message, Voter, VoterId, VoterRole};
use crate::{change::VoterInfo, ledger::Ledger};
use common::{Index, Term, Tick};
use std::{collections::BTreeSet, fmt};

/// Most that a term may be ahead of the one that was promised: more changes of term than any cluster
/// sees, and far from the end of the numbers.
const VIEW_REACH: u64 = 1 << 40;
/// Places beyond this are never reached.
const INDEX_REACH: u64 = 1 << 56;

/// Why a message was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It carries the state of another cluster.
    ForeignCluster,
    /// A set of voters that is empty, has too many, or names one twice.
    UnsoundRoster,
    /// It names this voter itself as its sender.
    OwnName,
    /// The term belongs to another candidate than the sender.
    ViewOfAnother,
    /// The term is further ahead than any change of term could bring it.
    ViewOutOfReach,
    /// A place beyond all that a log reaches.
    IndexOutOfReach,
    /// The entries don't follow each other, or not what they are said to follow.
    Gap,
    /// The end of the log is said to lie elsewhere than where its entries end.
    WrongEnd,
    /// More is said to be held than was ever logged here.
    HoldsMore,
    /// It answers what was not sent yet.
    AnswerFromFuture,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refusal::ForeignCluster => "the state of another cluster",
            Refusal::UnsoundRoster => "a roster that no cluster has",
            Refusal::OwnName => "this seat's own name as the sender's",
            Refusal::ViewOfAnother => "a view that belongs to another seat",
            Refusal::ViewOutOfReach => "a view out of reach",
            Refusal::IndexOutOfReach => "a place out of reach",
            Refusal::Gap => "entries with a gap",
            Refusal::WrongEnd => "an end of the log where its entries don't end",
            Refusal::HoldsMore => "more held than was logged",
            Refusal::AnswerFromFuture => "an answer to what was not sent yet",
        })
    }
}

type Checked = Result<(), Refusal>;

fn ensure(holds: bool, otherwise: Refusal) -> Checked {
    if holds { Ok(()) } else { Err(otherwise) }
}

fn within_reach(places: &[Index]) -> Checked {
    ensure(places.iter().all(|i| i.0 < INDEX_REACH), Refusal::IndexOutOfReach)
}

/// Entries follow each other without a gap, from the place after `base` on.
fn follows(base: Index, entries: &[LogEntry]) -> Checked {
    within_reach(&[base])?;
    let due = (base.0 + 1)..;
    ensure(entries.iter().zip(due).all(|(e, due)| e.index.0 == due), Refusal::Gap)
}

fn sound(voters: &[VoterInfo]) -> Checked {
    let numbers: BTreeSet<u8> = voters.iter().map(|h| h.number).collect();
    let incarnations: BTreeSet<_> = voters.iter().map(|h| h.incarnation).collect();
    let distinct = numbers.len() == voters.len() && incarnations.len() == voters.len();
    let known = numbers.iter().all(|number| usize::from(*number) <= MOST_VOTERS);
    ensure(distinct && known && (1..=MOST_VOTERS).contains(&voters.len()), Refusal::UnsoundRoster)
}

impl Voter {
    /// Looks at all of a message before any of it is taken in.
    pub(super) fn check(&self, msg: &Message, now: Tick) -> Checked {
        match msg {
            Message::Discover { formed: true, voters, index, .. } => {
                within_reach(&[*index])?;
                sound(voters)
            }
            Message::Bootstrap { ledger } => {
                ensure(ledger.index == Index(0), Refusal::WrongEnd)?;
                self.check_state(ledger)
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
            Message::AppendReply { by, term, installed, last, accepted, stamp } => {
                self.check_answer(by, *term)?;
                within_reach(&[*last, *accepted])?;
                ensure(accepted <= last, Refusal::WrongEnd)?;
                ensure(*stamp <= now, Refusal::AnswerFromFuture)?;
                let mine = *term == self.promised && matches!(self.role, VoterRole::Leader { .. });
                ensure(!(mine && *installed && *last > self.last()), Refusal::HoldsMore)
            }
            Message::Discover { formed: false, .. }
            | Message::JoinRequest { .. }
            | Message::LeaderQuery(_)
            | Message::NotLeading(_) => Ok(()),
        }
    }

    /// A term is asked for, led and given up by the one voter whose number it bears.
    fn check_candidate(&self, by: &VoterId, term: Term) -> Checked {
        let owner = term.0 % (MOST_VOTERS as u64 + 1);
        ensure(owner == u64::from(by.number), Refusal::ViewOfAnother)?;
        self.check_answer(by, term)
    }

    fn check_answer(&self, by: &VoterId, term: Term) -> Checked {
        ensure(!self.formed || *by != self.id(), Refusal::OwnName)?;
        ensure(term.0.saturating_sub(self.promised.0) < VIEW_REACH, Refusal::ViewOutOfReach)
    }

    fn check_state(&self, ledger: &Ledger) -> Checked {
        ensure(ledger.cluster == self.cluster, Refusal::ForeignCluster)?;
        within_reach(&[ledger.index])?;
        sound(&ledger.voters)
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
        ensure(tail.log_term <= term, Refusal::ViewOutOfReach)?;
        if let Some(state) = &tail.snapshot {
            self.check_state(state)?;
        }
        let base = tail.snapshot.as_ref().map_or(self.accepted(), |f| f.index);
        follows(base, &tail.entries)?;
        let end = tail.entries.last().map_or(base, |e| e.index);
        // One that holds less than was asked for has nothing to tell.
        let short = tail.snapshot.is_none() && tail.entries.is_empty() && tail.last < end;
        ensure((tail.last == end || short) && tail.accepted <= tail.last, Refusal::WrongEnd)
    }
}
