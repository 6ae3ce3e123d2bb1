//! The roles of a voter, and what a leader knows of each follower (design 2.3).

use super::{AppendBody, LogTail, VoterId};
use common::{Incarnation, Index, Term, Tick, settings::Timing};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// The state of a follower's log according to its newest reply.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Whether it has installed the log of the current term.
    pub installed: bool,
    /// Index of the last entry of its log; synced.
    pub last: Index,
    /// Index up to which it knows entries to be committed.
    pub commit_index: Index,
    /// Send time, on the leader's clock, of the newest append that it answered.
    pub sent_at: Tick,
    /// When this leader committed its admission; unset for the voters that it found when it was elected.
    pub admitted_at: Tick,
    /// The append with entries or a snapshot that it has not acknowledged.
    pub in_flight: Option<InFlight>,
}

/// An append with entries or a snapshot that was sent and not acknowledged.
#[derive(Clone, Copy, Debug)]
pub struct InFlight {
    sent_at: Tick,
    last_index: Index,
    /// Upper bound on the encoded length of its payload, in bytes.
    payload_len: usize,
}

/// Lowest link speed assumed for the transfer of a long append, in bytes per millisecond.
const MIN_LINK_BYTES_PER_MS: u64 = 1_024;

impl InFlight {
    pub(super) fn new(sent_at: Tick, last_index: Index, payload_len: usize) -> Self {
        Self { sent_at, last_index, payload_len }
    }

    /// Whether its reply is overdue, after two heartbeat intervals plus the transfer time.
    pub(super) fn overdue(&self, timing: &Timing, now: Tick) -> bool {
        let transfer_ms = self.payload_len as u64 / MIN_LINK_BYTES_PER_MS;
        now.since(self.sent_at) > 2 * timing.heartbeat_ms() + transfer_ms
    }

    pub(super) fn acknowledged_by(&self, progress: &Progress) -> bool {
        progress.installed && progress.last >= self.last_index
    }
}

/// A received append; the fields are those of `Message::Append`, with the sender's address.
pub(crate) struct AppendRequest {
    pub from: SocketAddr,
    pub by: VoterId,
    pub to: u8,
    pub term: Term,
    pub commit_index: Index,
    pub sent_at: Tick,
    pub body: AppendBody,
}

/// The role of a voter in its term.
#[derive(Clone, Debug)]
pub enum VoterRole {
    /// Accepts appends from a leader, or waits for one.
    Follower {
        /// The leader of the current term, once it has sent an append.
        leader: Option<VoterId>,
        /// When the leader last made contact; after a restart or a vote, from when the election timeout counts.
        last_contact: Tick,
    },
    /// Asks whether the others would grant it a vote.
    PreCandidate {
        /// The term that it would stand for.
        term: Term,
        /// The voters that would grant a vote.
        granted: BTreeSet<Incarnation>,
        /// When the pre-vote began.
        since: Tick,
    },
    /// Asks for votes.
    Candidate {
        /// The term that it stands for.
        term: Term,
        /// Votes received, each with the tail of that voter's log.
        votes: BTreeMap<Incarnation, LogTail>,
        /// When the candidacy began.
        since: Tick,
    },
    /// Replicates its log to the followers.
    Leader {
        /// Replication progress of each follower.
        peers: BTreeMap<Incarnation, Progress>,
        /// When it was elected.
        since: Tick,
        /// Last index of its log when it was elected: it serves reads only once all entries up to here are
        /// committed in its own term.
        term_start: Index,
    },
}
