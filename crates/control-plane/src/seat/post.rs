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
    /// It holds a seat and hasn't said yet that it knows.
    pub learner: bool,
    /// From feeds to their answers, lately at most; none before the first answer.
    pub round_trip: u64,
}

impl Peer {
    /// What it holds counts towards a majority.
    pub(super) fn votes(&self) -> bool {
        self.installed && !self.learner
    }

    /// Takes in an answer that came just now; an older one doesn't take back what was said since.
    pub(super) fn answered(&self, answer: Peer, now: Tick) -> Peer {
        let stale = self.installed && (!answer.installed || answer.last < self.last);
        let mut new = if stale { self.clone() } else { answer.clone() };
        new.stamp = self.stamp.max(answer.stamp);
        new.learner = answer.learner;
        new.round_trip = now.since(answer.stamp).max(self.round_trip * 7 / 8);
        new.carried = self.carried.filter(|c| !c.held_by(&new));
        new
    }
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
/// A feed of more bytes goes by a connection of its own.
const LONG: usize = 64 << 10;

impl Carried {
    pub(super) fn new(at: Tick, upto: Index, weight: usize) -> Self {
        Self { at, upto, weight }
    }

    /// Its answer should have been here, over a line of that round trip: what is long goes by a
    /// connection of its own, which takes two more to be opened.
    pub(super) fn overdue(&self, t: &Timing, round_trip: u64, now: Tick) -> bool {
        let known = if round_trip == 0 { t.patience_ms() } else { round_trip + round_trip / 2 };
        let way = if self.weight > LONG { 3 * known } else { known };
        now.since(self.at) > 2 * t.beat_ms() + way + self.weight as u64 / BYTES_A_MS
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
