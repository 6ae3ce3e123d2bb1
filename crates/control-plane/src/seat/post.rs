//! A seat's part in its view (design 2.3).

use super::{Body, Tail, Voter};
use common::{Incarnation, Index, Tick, View, settings::Timing};
use std::{collections::BTreeMap, net::SocketAddr};

#[derive(Clone, Debug, Default)]
pub struct Peer {
    pub installed: bool,
    pub last: Index,
    pub accepted: Index,
    /// Send time, on our clock, of the newest feed that it answered.
    pub stamp: Tick,
    /// What it was fed and has not said that it holds.
    pub carried: Option<Carried>,
}

/// A feed with entries or a frame, on its way.
#[derive(Clone, Copy, Debug)]
pub struct Carried {
    at: Tick,
    upto: Index,
    weight: usize,
}

/// Milliseconds over which a long feed may be on its way, as a part of its bytes.
const BYTES_A_MS: u64 = 1_024;

impl Carried {
    pub(super) fn new(at: Tick, upto: Index, weight: usize) -> Self {
        Self { at, upto, weight }
    }

    /// Its answer should have been here.
    pub(super) fn overdue(&self, t: &Timing, now: Tick) -> bool {
        now.since(self.at) > 2 * t.beat_ms() + self.weight as u64 / BYTES_A_MS
    }

    pub(super) fn held_by(&self, p: &Peer) -> bool {
        p.installed && p.last >= self.upto
    }
}

/// A leader's feed as it arrived.
pub(crate) struct Feed {
    pub from: SocketAddr,
    pub by: Voter,
    pub to: u8,
    pub view: View,
    pub accepted: Index,
    pub stamp: Tick,
    pub body: Body,
}

#[derive(Clone, Debug)]
pub enum Post {
    Follower {
        leader: Option<Voter>,
        heard: Tick,
    },
    Canvass {
        view: View,
        ayes: Vec<u8>,
        since: Tick,
    },
    Candidate {
        view: View,
        got: BTreeMap<Incarnation, Tail>,
        since: Tick,
    },
    /// Speaks for the whole order only once all up to `floor` is accepted in its own view.
    Leader {
        peers: BTreeMap<u8, Peer>,
        since: Tick,
        floor: Index,
    },
}
