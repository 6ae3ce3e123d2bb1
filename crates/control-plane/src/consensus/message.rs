//! Messages between voters, and the events and effects of one voter (design 2.3).

use super::{DurableState, InvalidMessage, Record};
use crate::{
    state_machine::ClusterState,
    types::{ApplyOutcome, Change, LogEntry, VoterInfo},
};
use common::{Incarnation, Index, Term, Tick};
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr};

/// A voter's name in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterId {
    /// Its position in the voter set.
    pub number: u8,
    /// Tells apart the holders of that position.
    #[serde(rename = "inc")]
    pub incarnation: Incarnation,
}

/// The end of a voter's log, sent to a candidate with a vote.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogTail {
    /// The term in which the log was installed.
    pub log_term: Term,
    /// Index of its last entry.
    pub last: Index,
    /// Up to here the voter knows all to be committed.
    #[serde(rename = "accepted")]
    pub commit_index: Index,
    /// Sent where the log no longer reaches back to the candidate's commit index.
    pub snapshot: Option<ClusterState>,
    /// Entries after the candidate's commit index, or after the snapshot.
    pub entries: Vec<LogEntry>,
}

/// What an append carries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Body {
    /// Nothing: the leader is there.
    #[serde(rename = "Ping")]
    Heartbeat,
    /// The log of a new term: truncate to `truncate_to`, or take the snapshot, then append the entries.
    Install {
        /// A committed index.
        #[serde(rename = "cut")]
        truncate_to: Index,
        /// Sent where the leader's log no longer reaches back to `truncate_to`.
        snapshot: Option<ClusterState>,
        /// What follows.
        entries: Vec<LogEntry>,
    },
    /// Entries that follow `prev` in the log of the current term.
    Append {
        /// Index that the entries follow.
        prev: Index,
        /// What follows.
        entries: Vec<LogEntry>,
    },
}

/// A message between voters.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// A blank voter introduces itself to the seeds; an initialized one answers with the voter set.
    Discover {
        /// The sender.
        #[serde(rename = "holder")]
        voter: VoterInfo,
        /// Whether the sender holds the state of a cluster.
        #[serde(rename = "formed")]
        initialized: bool,
        /// The voter set, from an initialized sender.
        voters: Vec<VoterInfo>,
        /// The commit index to which the voter set belongs.
        #[serde(rename = "idx")]
        index: Index,
    },
    /// The initial state of a new cluster.
    Bootstrap {
        /// With nothing applied yet.
        #[serde(rename = "ledger")]
        cluster_state: ClusterState,
    },
    /// A blank voter asks to be admitted.
    JoinRequest {
        /// The sender.
        #[serde(rename = "holder")]
        voter: VoterInfo,
    },
    /// A voter that has just started asks whether the other leads; the time names this run of its process.
    LeaderQuery(Tick),
    /// It does not.
    NotLeading(Tick),
    /// A leader that is about to stop gives up its term, so that nobody waits for its election time-out.
    StepDown {
        /// The leader.
        by: VoterId,
        /// Its term.
        term: Term,
    },
    /// Asks whether a vote in that term would be granted; promises nothing.
    PreVote {
        /// The candidate.
        by: VoterId,
        /// The term that it would ask for.
        term: Term,
    },
    /// It would be granted.
    PreVoteGranted {
        /// The voter.
        by: VoterId,
        /// The term asked for.
        term: Term,
    },
    /// Asks for a vote in a new term.
    VoteRequest {
        /// The candidate.
        by: VoterId,
        /// The new term.
        term: Term,
        /// What the candidate knows to be committed.
        #[serde(rename = "accepted")]
        commit_index: Index,
    },
    /// A vote: the voter takes part in no older term from now on.
    Vote {
        /// The voter.
        by: VoterId,
        /// The new term.
        term: Term,
        /// The end of its log.
        tail: LogTail,
    },
    /// From the leader to a follower.
    Append {
        /// The leader.
        by: VoterId,
        /// Number of the follower.
        to: u8,
        /// The leader's term.
        term: Term,
        /// What the leader knows to be committed.
        #[serde(rename = "accepted")]
        commit_index: Index,
        /// When it was sent, on the leader's clock.
        #[serde(rename = "stamp")]
        sent_at: Tick,
        /// What it carries.
        body: Body,
    },
    /// What the follower holds, synced.
    AppendReply {
        /// The follower.
        by: VoterId,
        /// Its term.
        term: Term,
        /// Its log is the one of that term.
        installed: bool,
        /// Index of the last entry of its log.
        last: Index,
        /// What it knows to be committed.
        #[serde(rename = "accepted")]
        commit_index: Index,
        /// The time in the append that it answers.
        #[serde(rename = "stamp")]
        sent_at: Tick,
    },
}

impl Body {
    /// Upper bound on the state that it carries, in bytes.
    pub fn weight(&self) -> usize {
        match self {
            Body::Heartbeat => 0,
            Body::Install { snapshot, entries, .. } => state_weight(snapshot.as_ref(), entries),
            Body::Append { entries, .. } => state_weight(None, entries),
        }
    }
}

impl Message {
    /// Upper bound on the state that it carries, in bytes.
    pub fn weight(&self) -> usize {
        match self {
            Message::Bootstrap { cluster_state } => cluster_state.weight(),
            Message::Vote { tail, .. } => state_weight(tail.snapshot.as_ref(), &tail.entries),
            Message::Append { body, .. } => body.weight(),
            _ => 0,
        }
    }
}

fn state_weight(snapshot: Option<&ClusterState>, entries: &[LogEntry]) -> usize {
    snapshot.map_or(0, ClusterState::weight) + entries.iter().map(LogEntry::weight).sum::<usize>()
}

/// What a voter reacts to.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; several times within a heartbeat.
    Timer,
    /// A message arrived from that address.
    Msg(SocketAddr, Message),
    /// A change is to be logged, if this voter leads.
    Propose(Change),
    /// The process is about to stop.
    StepDown,
    /// The write with that token is synced.
    Synced(u64),
    /// A write or its sync failed; nothing written since the last sync may be trusted.
    SyncFailed,
    /// The disk works again, and this is what it holds: read from it anew, written anew and synced.
    Recovered(Box<DurableState>),
}

/// What the caller is to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message; it may get lost.
    Send {
        /// RPC address of the receiver.
        to: SocketAddr,
        /// The message.
        msg: Message,
    },
    /// Write and sync a record, then say so with its token.
    Persist {
        /// Names the write.
        token: u64,
        /// What is to be written.
        record: Record,
    },
    /// Logged by this leader; it will be committed or lost.
    Logged {
        /// Its index.
        index: Index,
        /// The proposed change.
        change: Change,
    },
    /// Not logged, and never will be.
    NotLogged {
        /// The proposed change.
        change: Change,
        /// Why not.
        why: NotLogged,
    },
    /// An entry was committed and applied.
    Committed {
        /// The entry.
        entry: LogEntry,
        /// What came of it.
        outcome: ApplyOutcome,
    },
    /// The whole state was replaced by a snapshot: entries in between are not reported one by one.
    SnapshotInstalled,
    /// The disk failed, or works again: pending proposals are not reported one by one.
    Interrupted,
    /// This voter leads from now on.
    BecameLeader {
        /// In this term.
        term: Term,
    },
    /// Another holder was committed in this voter's place.
    Removed,
    /// A message was refused: it changed nothing and is not answered.
    Refused {
        /// Who sent it.
        from: SocketAddr,
        /// What is wrong with it.
        why: InvalidMessage,
    },
}

/// Why a proposed change was not logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotLogged {
    /// This voter does not lead, or not for certain.
    NotLeader,
    /// A voter is being replaced; one change of the voter set at a time.
    ReplacingVoter,
    /// This voter's disk refuses writes.
    DiskFailed,
    /// A name in the change is too long.
    NameTooLong,
    /// The document is too long, packed.
    DocumentTooLong,
    /// Too many bytes wait to be committed.
    TooMuchPending,
    /// The whole state would not fit into a slot.
    StateTooLarge,
}

impl fmt::Display for NotLogged {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NotLogged::NotLeader => "not the leader",
            NotLogged::ReplacingVoter => "a voter is being replaced",
            NotLogged::DiskFailed => "this voter's disk refuses writes",
            NotLogged::NameTooLong => "a name of more than 64 bytes",
            NotLogged::DocumentTooLong => "the document is too long",
            NotLogged::TooMuchPending => "too much waits to be committed",
            NotLogged::StateTooLarge => "the whole state would not fit into a slot",
        })
    }
}

impl std::error::Error for NotLogged {}
