//! Messages, events and effects of a seat (design 2.3).

use crate::{
    change::{Change, Holder, Verdict},
    ledger::Ledger,
};
use common::{Incarnation, Index, Tick, View};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Voter {
    pub seat: u8,
    pub inc: Incarnation,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    pub idx: Index,
    pub change: Change,
}

/// The end of a seat's log, told to a candidate.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Tail {
    pub log_view: View,
    pub last: Index,
    /// Up to here all is known to be accepted.
    pub accepted: Index,
    /// Given where the log no longer reaches back to the candidate's accepted place.
    pub frame: Option<Ledger>,
    pub entries: Vec<LogEntry>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Body {
    Ping,
    /// Trim to `cut`, or take the frame, then hold these entries in the new view.
    Install {
        cut: Index,
        frame: Option<Ledger>,
        entries: Vec<LogEntry>,
    },
    Append {
        prev: Index,
        entries: Vec<LogEntry>,
    },
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum SeatMsg {
    Census {
        holder: Holder,
        formed: bool,
        roster: Vec<Holder>,
        idx: Index,
    },
    Found {
        ledger: Ledger,
    },
    /// A newcomer asks to be fed, and names the accepted place that it holds; none where it is blank.
    Plea {
        holder: Holder,
        holds: Index,
    },
    /// A member is about to end, and asks for a newcomer in its place.
    Leave {
        by: Voter,
    },
    /// The leader has heard that; with a newcomer at hand the member should wait for it.
    LeaveHeard {
        newcomer: bool,
    },
    /// A seat that has just started asks whether the other leads.
    Asks(Tick),
    /// It does not.
    Rests(Tick),
    /// A leader that is about to stop gives up its view: the others need not wait out its silence.
    Yield {
        by: Voter,
        view: View,
    },
    Canvass {
        by: Voter,
        view: View,
    },
    Canvassed {
        by: Voter,
        view: View,
    },
    Stop {
        by: Voter,
        view: View,
        accepted: Index,
    },
    Stopped {
        by: Voter,
        view: View,
        tail: Tail,
    },
    Feed {
        by: Voter,
        to: u8,
        view: View,
        accepted: Index,
        stamp: Tick,
        body: Body,
    },
    Held {
        by: Voter,
        view: View,
        installed: bool,
        last: Index,
        accepted: Index,
        stamp: Tick,
    },
}

/// All that a slot holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Image {
    pub me: Holder,
    pub formed: bool,
    pub promised: View,
    pub log_view: View,
    pub ledger: Ledger,
    pub entries: Vec<LogEntry>,
}

/// One record of the short log between two slots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Rec {
    Image(Box<Image>),
    Promise(View),
    /// `cut` is an accepted place.
    Install {
        view: View,
        cut: Index,
        entries: Vec<LogEntry>,
    },
    /// With the place up to which all is accepted: a start goes on from there (design 2.8).
    Append {
        accepted: Index,
        entries: Vec<LogEntry>,
    },
}

impl Rec {
    /// No less than its length in the short log.
    pub fn weight(&self) -> usize {
        let of = |v: &Vec<LogEntry>| -> usize { v.iter().map(LogEntry::weight).sum() };
        match self {
            Rec::Image(_) => 0,
            Rec::Promise(_) => 64,
            Rec::Install { entries, .. } | Rec::Append { entries, .. } => 96 + of(entries),
        }
    }
}

impl Image {
    /// Brings the image forward by one record, as the seat did when it wrote it.
    pub fn replay(&mut self, rec: Rec) {
        match rec {
            Rec::Image(i) => *self = *i,
            Rec::Promise(v) => self.promised = self.promised.max(v),
            Rec::Install { view, cut, entries } => {
                self.promised = self.promised.max(view);
                self.log_view = view;
                self.entries.retain(|e| e.idx <= cut);
                let from = self.entries.last().map(|e| e.idx).unwrap_or(self.ledger.idx);
                self.entries.extend(entries.into_iter().filter(|e| e.idx > from));
                self.accept_to(cut);
            }
            Rec::Append { accepted, entries } => {
                self.entries.extend(entries);
                self.accept_to(accepted);
            }
        }
    }

    fn accept_to(&mut self, to: Index) {
        let due = self.entries.iter().take_while(|e| e.idx <= to).count();
        for e in self.entries.drain(..due) {
            self.ledger.fold(e.idx, &e.change);
        }
    }
}

#[derive(Clone, Debug)]
pub enum Ev {
    Wakeup,
    Msg(SocketAddr, SeatMsg),
    Propose(Change),
    /// The process is about to stop.
    Yield,
    Synced(u64),
    SyncFailed,
}

#[derive(Clone, Debug)]
pub enum Fx {
    Send {
        to: SocketAddr,
        msg: SeatMsg,
    },
    Persist {
        tok: u64,
        rec: Rec,
    },
    /// Logged by this leader at this place, to be accepted or lost.
    Logged {
        idx: Index,
        change: Change,
    },
    /// Not logged and never will be.
    NotLogged {
        change: Change,
        why: &'static str,
    },
    Accepted {
        entry: LogEntry,
        verdict: Verdict,
    },
    /// The whole state was replaced by a frame.
    Framed,
    Lead {
        view: View,
    },
    Out,
}
