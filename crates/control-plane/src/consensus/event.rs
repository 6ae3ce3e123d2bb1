//! The events that a voter handles and the effects that it returns (design 2.3).

use super::{DurableState, InvalidMessage, Message, Record};
use crate::{
    state_machine::ClusterState,
    types::{ApplyOutcome, Change, LogEntry, VoterInfo},
};
use common::{Index, Term};
use std::{fmt, net::SocketAddr};

/// Input to a voter.
#[derive(Clone, Debug)]
pub enum Event {
    /// Periodic tick, several times per heartbeat interval.
    Timer,
    /// A message was received from this address.
    Msg(SocketAddr, Message),
    /// Request to log a change, if this voter is the leader.
    Propose(Change),
    /// The process is about to stop: a leader gives up its term.
    StepDown,
    /// The new identity of a blank voter, given to a voter that returned [`Effect::Removed`].
    BecomeSpare(Box<VoterInfo>),
    /// A newer committed state that a learner's membership received.
    CommittedState {
        /// The state.
        cluster_state: Box<ClusterState>,
        /// RPC address of the leader, if known.
        leader: Option<SocketAddr>,
    },
    /// The write with this token and all earlier ones are synced.
    Synced(u64),
    /// A write or its sync failed; nothing written since the last successful sync may be relied on.
    SyncFailed,
    /// The disk works again. It holds this state, which was read back, rewritten and synced.
    Recovered(Box<DurableState>),
}

/// Output of a voter: what the caller must do or is informed of.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Send a message, without retries; it may be lost.
    Send {
        /// RPC address of the receiver.
        to: SocketAddr,
        /// The message.
        msg: Message,
    },
    /// Write and sync a record, then report this with [`Event::Synced`].
    Persist {
        /// Identifies the write.
        token: u64,
        /// The record to write.
        record: Record,
    },
    /// A proposed change was logged by this leader; it will be committed or lost.
    Logged {
        /// Index of its entry.
        index: Index,
        /// The proposed change.
        change: Change,
    },
    /// A proposed change was rejected: it is not in the log and never will be.
    NotLogged {
        /// The proposed change.
        change: Change,
        /// Why it was rejected.
        why: NotLogged,
    },
    /// An entry was committed and applied.
    Committed {
        /// The entry.
        entry: LogEntry,
        /// The result of applying it.
        outcome: ApplyOutcome,
    },
    /// A snapshot replaced the whole state: the entries that it covers are not reported one by one.
    SnapshotInstalled,
    /// The voter stopped because its disk failed, or started over: the outcome of pending proposals is not reported.
    Interrupted,
    /// This voter was elected leader.
    BecameLeader {
        /// The term that it leads.
        term: Term,
    },
    /// Another incarnation has replaced this voter. The caller offers it a new identity with [`Event::BecomeSpare`].
    Removed,
    /// A learner received the voter set, so that its membership can query these voters.
    VotersDiscovered(Vec<VoterInfo>),
    /// A message was rejected as invalid: it changed nothing and is not answered.
    MessageRejected {
        /// Address of the sender.
        from: SocketAddr,
        /// Why it is invalid.
        why: InvalidMessage,
    },
}

/// Why a proposed change was not logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotLogged {
    /// This voter is not the leader, or is not certain to be.
    NotLeader,
    /// This node is a learner, which never logs changes.
    NotVoter,
    /// A replacement of a voter is logged and not committed; no other change is logged meanwhile.
    ReplacingVoter,
    /// A write to this voter's disk failed.
    DiskFailed,
    /// A name in the change is too long.
    NameTooLong,
    /// The compressed document is too long.
    DocumentTooLong,
    /// The uncommitted entries would be too long.
    TooMuchPending,
    /// The whole state would not fit into a snapshot file.
    StateTooLarge,
}

impl fmt::Display for NotLogged {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            NotLogged::NotLeader => "not the leader",
            NotLogged::NotVoter => "not a voter",
            NotLogged::ReplacingVoter => "a voter is being replaced",
            NotLogged::DiskFailed => "this voter's disk refuses writes",
            NotLogged::NameTooLong => "a name is longer than 64 bytes",
            NotLogged::DocumentTooLong => "the document is too long",
            NotLogged::TooMuchPending => "too many bytes of changes wait to be committed",
            NotLogged::StateTooLarge => "the whole state would not fit into a snapshot file",
        })
    }
}

impl std::error::Error for NotLogged {}
