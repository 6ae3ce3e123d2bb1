//! Slow start of replicas that warm up (design 9.5): the rate that all routers together may send, divided into parts
//! that need no messages. A few routers, by rank, each have a token bucket of their own. Pure.

use common::{NodeId, ReplicaId, Tick, rendezvous::stable_hash};

/// Share of the bound that is used: clocks and travel differ a little.
const USED: f64 = 0.8;

/// One router's part of `bound` requests a second: `None`, or the rate of its bucket.
pub fn rate(bound: f64, id: &ReplicaId, me: &NodeId, routers: &[NodeId]) -> Option<f64> {
    let most = (bound * USED / 2.0).floor().max(1.0) as usize;
    let claim = |n: &NodeId| stable_hash(&[id.as_str().as_bytes(), n.as_str().as_bytes()]);
    let own = claim(me);
    let ranked_above = routers.iter().filter(|n| *n != me && claim(n) > own).count();
    let shared = routers.len().max(1).min(most);
    // In any second: the one that was saved, and what comes in that second.
    (ranked_above < shared).then(|| (bound * USED / shared as f64 - 1.0).max(0.5))
}

/// A token bucket of one, so that no second sees more than its rate and one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    next: Tick,
}

impl Bucket {
    /// Whether its token is there.
    pub fn ready(&self, now: Tick) -> bool {
        now >= self.next
    }

    /// Takes the token; the next one comes at that rate.
    pub fn take(&mut self, per_s: f64, now: Tick) {
        self.next = now + (1000.0 / per_s.max(0.01)).ceil() as u64;
    }
}
