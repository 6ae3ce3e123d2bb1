//! A voter's part in its term (design 2.3).

use super::{Body, LogTail, VoterId};
use common::{Incarnation, Index, Term, Tick, settings::Timing};
use std::{collections::BTreeMap, net::SocketAddr};

#[derive(Clone, Debug, Default)]
pub struct Progress {
    pub installed: bool,
    pub last: Index,
    pub accepted: Index,
    /// Send time, on our clock, of the newest feed that it answered.
    pub sent_at: Tick,
    /// What it was fed and has not said that it holds.
    pub in_flight: Option<InFlight>,
}

/// A feed with entries or a snapshot, on its way.
#[derive(Clone, Copy, Debug)]
pub struct InFlight {
    at: Tick,
    last_sent: Index,
    weight: usize,
}

/// Milliseconds over which a long feed may be on its way, as a part of its bytes.
const BYTES_A_MS: u64 = 1_024;

impl InFlight {
    pub(super) fn new(at: Tick, last_sent: Index, weight: usize) -> Self {
        Self { at, last_sent, weight }
    }

    /// Its answer should have been here.
    pub(super) fn overdue(&self, t: &Timing, now: Tick) -> bool {
        now.since(self.at) > 2 * t.heartbeat_ms() + self.weight as u64 / BYTES_A_MS
    }

    pub(super) fn held_by(&self, p: &Progress) -> bool {
        p.installed && p.last >= self.last_sent
    }
}

/// A leader's feed as it arrived.
pub(crate) struct AppendRequest {
    pub from: SocketAddr,
    pub by: VoterId,
    pub to: u8,
    pub term: Term,
    pub accepted: Index,
    pub sent_at: Tick,
    pub body: Body,
}

#[derive(Clone, Debug)]
pub enum VoterRole {
    Follower {
        leader: Option<VoterId>,
        last_contact: Tick,
    },
    PreCandidate {
        term: Term,
        granted: Vec<u8>,
        since: Tick,
    },
    Candidate {
        term: Term,
        got: BTreeMap<Incarnation, LogTail>,
        since: Tick,
    },
    /// Speaks for the whole order only once all up to `term_start` is accepted in its own term.
    Leader {
        peers: BTreeMap<u8, Progress>,
        since: Tick,
        term_start: Index,
    },
}
