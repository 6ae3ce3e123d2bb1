//! What all routers together may send to a cold replica (design 9.5), cut into parts that need no
//! talk: a few routers by rank, each with its own bucket. Pure.

use common::{NodeId, ReplicaId, Tick, rendezvous::stable_hash};

/// Share of the bound that is used: clocks and travel differ a little.
const USED: f64 = 0.8;

/// The part of one router: nothing, or a bucket of one with its rate a second.
pub fn rate(bound: f64, id: &ReplicaId, me: &NodeId, routers: &[NodeId]) -> Option<f64> {
    let most = (bound * USED / 2.0).floor().max(1.0) as usize;
    let claim = |n: &NodeId| stable_hash(&[id.as_str().as_bytes(), n.as_str().as_bytes()]);
    let own = claim(me);
    let ranked_above = routers.iter().filter(|n| *n != me && claim(n) > own).count();
    let shared = routers.len().max(1).min(most);
    // In any second: the one that was saved, and what comes in that second.
    (ranked_above < shared).then(|| (bound * USED / shared as f64 - 1.0).max(0.5))
}

/// One saved at most, so that a second never sees more than its rate and one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    next: Tick,
}

impl Bucket {
    pub fn ready(&self, now: Tick) -> bool {
        now >= self.next
    }

    pub fn take(&mut self, per_s: f64, now: Tick) {
        self.next = now + (1000.0 / per_s.max(0.01)).ceil() as u64;
    }
}
