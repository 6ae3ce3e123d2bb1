//! What a seat refuses to take in, whoever sent it (design 2.9): a message that no seat of this cluster
//! would send changes nothing, is answered by nothing, and is named in the log.

use super::{Body, LogEntry, MOST_SEATS, Post, Seat, SeatMsg, Tail, Voter};
use crate::{change::Holder, ledger::Ledger};
use common::{Index, Tick, View};
use std::{collections::BTreeSet, fmt};

/// Most that a view may be ahead of the one that was promised: more changes of view than any cluster
/// sees, and far from the end of the numbers.
const VIEW_REACH: u64 = 1 << 40;
/// Places beyond this are never reached.
const INDEX_REACH: u64 = 1 << 56;

/// Why a message was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It carries the state of another cluster.
    ForeignCluster,
    /// A roster without seats, with too many, or with one that stands there twice.
    UnsoundRoster,
    /// It names this seat itself as its sender.
    OwnName,
    /// The view belongs to another candidate than the sender.
    ViewOfAnother,
    /// The view is further ahead than any change of view could bring it.
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
    ensure(entries.iter().zip(due).all(|(e, due)| e.idx.0 == due), Refusal::Gap)
}

fn sound(roster: &[Holder]) -> Checked {
    let seats: BTreeSet<u8> = roster.iter().map(|h| h.seat).collect();
    let incarnations: BTreeSet<_> = roster.iter().map(|h| h.inc).collect();
    let distinct = seats.len() == roster.len() && incarnations.len() == roster.len();
    let known = seats.iter().all(|s| usize::from(*s) <= MOST_SEATS);
    ensure(distinct && known && (1..=MOST_SEATS).contains(&roster.len()), Refusal::UnsoundRoster)
}

impl Seat {
    /// Looks at all of a message before any of it is taken in.
    pub(super) fn check(&self, msg: &SeatMsg, now: Tick) -> Checked {
        match msg {
            SeatMsg::Census { formed: true, roster, idx, .. } => {
                within_reach(&[*idx])?;
                sound(roster)
            }
            SeatMsg::Found { ledger } => {
                ensure(ledger.idx == Index(0), Refusal::WrongEnd)?;
                self.check_state(ledger)
            }
            SeatMsg::Canvass { by, view } | SeatMsg::Yield { by, view } => self.check_candidate(by, *view),
            SeatMsg::Stop { by, view, accepted } => {
                within_reach(&[*accepted])?;
                self.check_candidate(by, *view)
            }
            SeatMsg::Canvassed { by, view } => self.check_answer(by, *view),
            SeatMsg::Stopped { by, view, tail } => {
                self.check_answer(by, *view)?;
                self.check_tail(*view, tail)
            }
            SeatMsg::Feed { by, view, accepted, body, .. } => {
                within_reach(&[*accepted])?;
                self.check_candidate(by, *view)?;
                self.check_body(body)
            }
            SeatMsg::Held { by, view, installed, last, accepted, stamp } => {
                self.check_answer(by, *view)?;
                within_reach(&[*last, *accepted])?;
                ensure(accepted <= last, Refusal::WrongEnd)?;
                ensure(*stamp <= now, Refusal::AnswerFromFuture)?;
                let mine = *view == self.promised && matches!(self.post, Post::Leader { .. });
                ensure(!(mine && *installed && *last > self.last()), Refusal::HoldsMore)
            }
            SeatMsg::Census { formed: false, .. }
            | SeatMsg::Plea { .. }
            | SeatMsg::Asks(_)
            | SeatMsg::Rests(_) => Ok(()),
        }
    }

    /// A view is asked for, led and given up by the one seat whose number it bears.
    fn check_candidate(&self, by: &Voter, view: View) -> Checked {
        let owner = view.0 % (MOST_SEATS as u64 + 1);
        ensure(owner == u64::from(by.seat), Refusal::ViewOfAnother)?;
        self.check_answer(by, view)
    }

    fn check_answer(&self, by: &Voter, view: View) -> Checked {
        ensure(!self.formed || *by != self.voter(), Refusal::OwnName)?;
        ensure(view.0.saturating_sub(self.promised.0) < VIEW_REACH, Refusal::ViewOutOfReach)
    }

    fn check_state(&self, ledger: &Ledger) -> Checked {
        ensure(ledger.cluster == self.cluster, Refusal::ForeignCluster)?;
        within_reach(&[ledger.idx])?;
        sound(&ledger.roster)
    }

    fn check_body(&self, body: &Body) -> Checked {
        match body {
            Body::Ping => Ok(()),
            Body::Install { frame: Some(state), entries, .. } => {
                self.check_state(state)?;
                follows(state.idx, entries)
            }
            Body::Install { cut, frame: None, entries } => follows(*cut, entries),
            Body::Append { prev, entries } => follows(*prev, entries),
        }
    }

    /// The end of another's log, in answer to what this candidate asked for: after its accepted place.
    /// Who asks no more takes nothing of it.
    fn check_tail(&self, view: View, tail: &Tail) -> Checked {
        let asked = matches!(&self.post, Post::Candidate { view: mine, .. } if *mine == view);
        if !asked {
            return Ok(());
        }
        within_reach(&[tail.last, tail.accepted])?;
        ensure(tail.log_view <= view, Refusal::ViewOutOfReach)?;
        if let Some(state) = &tail.frame {
            self.check_state(state)?;
        }
        let base = tail.frame.as_ref().map_or(self.accepted(), |f| f.idx);
        follows(base, &tail.entries)?;
        let end = tail.entries.last().map_or(base, |e| e.idx);
        // One that holds less than was asked for has nothing to tell.
        let short = tail.frame.is_none() && tail.entries.is_empty() && tail.last < end;
        ensure((tail.last == end || short) && tail.accepted <= tail.last, Refusal::WrongEnd)
    }
}
