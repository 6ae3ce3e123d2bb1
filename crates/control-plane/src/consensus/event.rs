//! Events and effects of one voter (design 2.3).

use super::{DurableState, InvalidMessage, Message, Record};
use crate::{
    state_machine::ClusterState,
    types::{ApplyOutcome, Change, LogEntry, VoterInfo},
};
use common::{Index, Term};
use std::{fmt, net::SocketAddr};

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
    /// The voter that was told [`Effect::Removed`] takes up this new identity, of a blank voter.
    BecomeSpare(Box<VoterInfo>),
    /// A learner's own membership holds this committed state.
    CommittedState {
        /// The state.
        cluster_state: Box<ClusterState>,
        /// RPC address of the leader, as far as it is known.
        leader: Option<SocketAddr>,
    },
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
    /// Another holder has this voter's place. The caller offers it a new identity.
    Removed,
    /// A learner was told who the voters are: its membership may ask them.
    VotersDiscovered(Vec<VoterInfo>),
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
    /// This node has no disk: it is no voter.
    NotVoter,
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
            NotLogged::NotVoter => "not a voter",
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
