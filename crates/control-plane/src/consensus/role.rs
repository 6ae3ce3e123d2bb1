//! A voter's part in its term (design 2.3), and what a leader knows of each follower.

use super::{AppendBody, LogTail, VoterId};
use common::{Incarnation, Index, Term, Tick, settings::Timing};
use std::{collections::BTreeMap, net::SocketAddr};

/// What a follower holds, as its newest reply says.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    /// Its log is the one of the current term.
    pub installed: bool,
    /// Index of the last entry of its log, synced.
    pub last: Index,
    /// What it knows to be committed.
    pub commit_index: Index,
    /// Send time, on this leader's clock, of the newest append that it answered.
    pub sent_at: Tick,
    /// The append with entries that it has not acknowledged.
    pub in_flight: Option<InFlight>,
}

/// An append with entries or a snapshot, on its way.
#[derive(Clone, Copy, Debug)]
pub struct InFlight {
    sent_at: Tick,
    last_index: Index,
    weight: usize,
}

/// Slowest rate at which a long append is taken to travel, in bytes a millisecond.
const BYTES_PER_MS: u64 = 1_024;

impl InFlight {
    pub(super) fn new(sent_at: Tick, last_index: Index, weight: usize) -> Self {
        Self { sent_at, last_index, weight }
    }

    /// Its reply should have arrived: two heartbeats, and the time that its bytes take.
    pub(super) fn overdue(&self, timing: &Timing, now: Tick) -> bool {
        let travel_ms = self.weight as u64 / BYTES_PER_MS;
        now.since(self.sent_at) > 2 * timing.heartbeat_ms() + travel_ms
    }

    pub(super) fn acknowledged_by(&self, progress: &Progress) -> bool {
        progress.installed && progress.last >= self.last_index
    }
}

/// An append as it arrived.
pub(crate) struct AppendRequest {
    pub from: SocketAddr,
    pub by: VoterId,
    pub to: u8,
    pub term: Term,
    pub commit_index: Index,
    pub sent_at: Tick,
    pub body: AppendBody,
}

/// A voter's part in its term.
#[derive(Clone, Debug)]
pub enum VoterRole {
    /// Takes appends from a leader, or waits for one.
    Follower {
        /// The leader of the current term, once it made contact.
        leader: Option<VoterId>,
        /// When it last had contact with the leader.
        last_contact: Tick,
    },
    /// Asks whether a vote would be granted.
    PreCandidate {
        /// The term that it would ask for.
        term: Term,
        /// Numbers of the voters that would grant it.
        granted: Vec<u8>,
        /// When it began.
        since: Tick,
    },
    /// Asks for votes.
    Candidate {
        /// The term that it asks for.
        term: Term,
        /// Votes, each with the end of the voter's log.
        votes: BTreeMap<Incarnation, LogTail>,
        /// When it began.
        since: Tick,
    },
    /// Appends to the followers' logs.
    Leader {
        /// What each follower holds, by number.
        peers: BTreeMap<u8, Progress>,
        /// When it was elected.
        since: Tick,
        /// End of its log when it was elected: reads are served only once all up to there is committed in its
        /// own term.
        term_start: Index,
    },
}
