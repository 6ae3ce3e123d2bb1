//! Messages, events and effects of a voter (design 2.3).

use super::InvalidMessage;
use crate::{
    change::{ApplyOutcome, Change, VoterInfo},
    cluster_state::ClusterState,
};
use common::{Incarnation, Index, Term, Tick};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterId {
    pub number: u8,
    #[serde(rename = "inc")]
    pub incarnation: Incarnation,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    #[serde(rename = "idx")]
    pub index: Index,
    pub change: Change,
}

/// The end of a voter's log, told to a candidate.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogTail {
    pub log_term: Term,
    pub last: Index,
    /// Up to here all is known to be accepted.
    pub accepted: Index,
    /// Given where the log no longer reaches back to the candidate's accepted place.
    pub snapshot: Option<ClusterState>,
    pub entries: Vec<LogEntry>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Body {
    Ping,
    /// Trim to `cut`, or take the snapshot, then hold these entries in the new term.
    Install {
        cut: Index,
        snapshot: Option<ClusterState>,
        entries: Vec<LogEntry>,
    },
    Append {
        prev: Index,
        entries: Vec<LogEntry>,
    },
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    Discover {
        holder: VoterInfo,
        #[serde(rename = "formed")]
        initialized: bool,
        voters: Vec<VoterInfo>,
        #[serde(rename = "idx")]
        index: Index,
    },
    Bootstrap {
        #[serde(rename = "ledger")]
        cluster_state: ClusterState,
    },
    /// A blank voter asks to be readmitted.
    JoinRequest {
        holder: VoterInfo,
    },
    /// A voter that has just started asks whether the other leads.
    LeaderQuery(Tick),
    /// It does not.
    NotLeading(Tick),
    /// A leader that is about to stop gives up its term: the others need not wait out its silence.
    StepDown {
        by: VoterId,
        term: Term,
    },
    PreVote {
        by: VoterId,
        term: Term,
    },
    PreVoteGranted {
        by: VoterId,
        term: Term,
    },
    VoteRequest {
        by: VoterId,
        term: Term,
        accepted: Index,
    },
    Vote {
        by: VoterId,
        term: Term,
        tail: LogTail,
    },
    Append {
        by: VoterId,
        to: u8,
        term: Term,
        accepted: Index,
        #[serde(rename = "stamp")]
        sent_at: Tick,
        body: Body,
    },
    AppendReply {
        by: VoterId,
        term: Term,
        installed: bool,
        last: Index,
        accepted: Index,
        #[serde(rename = "stamp")]
        sent_at: Tick,
    },
}

impl Body {
    /// No less than its length on the wire, but for what is the same in each feed.
    pub fn weight(&self) -> usize {
        match self {
            Body::Ping => 0,
            Body::Install { snapshot, entries, .. } => state(snapshot, entries),
            Body::Append { entries, .. } => state(&None, entries),
        }
    }
}

fn state(snapshot: &Option<ClusterState>, entries: &[LogEntry]) -> usize {
    snapshot.as_ref().map_or(0, ClusterState::weight) + entries.iter().map(LogEntry::weight).sum::<usize>()
}

impl Message {
    /// Bytes of state that it carries, at most.
    pub fn weight(&self) -> usize {
        match self {
            Message::Bootstrap { cluster_state } => cluster_state.weight(),
            Message::Vote { tail, .. } => state(&tail.snapshot, &tail.entries),
            Message::Append { body, .. } => body.weight(),
            _ => 0,
        }
    }
}

/// All that a slot holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DurableState {
    pub me: VoterInfo,
    #[serde(rename = "formed")]
    pub initialized: bool,
    #[serde(rename = "promised")]
    pub current_term: Term,
    pub log_term: Term,
    #[serde(rename = "ledger")]
    pub cluster_state: ClusterState,
    pub entries: Vec<LogEntry>,
}

/// One record of the short log between two slots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    DurableState(Box<DurableState>),
    Promise(Term),
    /// `cut` is an accepted place.
    Install {
        term: Term,
        cut: Index,
        entries: Vec<LogEntry>,
    },
    /// With the place up to which all is accepted: a start goes on from there (design 2.8).
    Append {
        accepted: Index,
        entries: Vec<LogEntry>,
    },
}

impl Record {
    /// No less than its length in the short log.
    pub fn weight(&self) -> usize {
        let of = |v: &Vec<LogEntry>| -> usize { v.iter().map(LogEntry::weight).sum() };
        match self {
            Record::DurableState(_) => 0,
            Record::Promise(_) => 64,
            Record::Install { entries, .. } | Record::Append { entries, .. } => 96 + of(entries),
        }
    }
}

#[derive(Clone, Debug)]
pub enum Event {
    Timer,
    Msg(SocketAddr, Message),
    Propose(Change),
    /// The process is about to stop.
    StepDown,
    Synced(u64),
    /// A write or its sync failed; nothing written since the last sync may be trusted.
    SyncFailed,
    /// The disk works again, and this is what it holds: read from it anew, written anew and synced.
    Recovered(Box<DurableState>),
}

#[derive(Clone, Debug)]
pub enum Effect {
    Send {
        to: SocketAddr,
        msg: Message,
    },
    Persist {
        token: u64,
        record: Record,
    },
    /// Logged by this leader at this place, to be accepted or lost.
    Logged {
        index: Index,
        change: Change,
    },
    /// Not logged and never will be.
    NotLogged {
        change: Change,
        why: &'static str,
    },
    Committed {
        entry: LogEntry,
        outcome: ApplyOutcome,
    },
    /// The whole state was replaced by a snapshot.
    SnapshotInstalled,
    /// The disk failed, or works again: what waits here for a outcome is not told one by one.
    Interrupted,
    BecameLeader {
        term: Term,
    },
    Removed,
    /// A message that no voter of this cluster sends; nothing of it was taken in.
    Refused {
        from: SocketAddr,
        why: InvalidMessage,
    },
}
