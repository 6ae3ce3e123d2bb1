//! Slow start of cold replicas (design 9.5): the request rate that all routers together may send to a replica while
//! it warms up is divided between a few routers, chosen by rendezvous hashing so that no messages are needed. Each of
//! them has its own token bucket. No I/O.

use common::{NodeId, ReplicaId, Tick, rendezvous::stable_hash};

/// Fraction of the allowed rate that is used. The rest allows for clock drift and differing network delays.
const RATE_FRACTION_USED: f64 = 0.8;

/// This router's share of the `bound` requests per second that a cold replica may get: the rate of its bucket, or
/// `None` if it may send nothing.
pub fn send_rate(bound: f64, id: &ReplicaId, me: &NodeId, routers: &[NodeId]) -> Option<f64> {
    let max_senders = (bound * RATE_FRACTION_USED / 2.0).floor().max(1.0) as usize;
    let rank_hash = |n: &NodeId| stable_hash(&[id.as_str().as_bytes(), n.as_str().as_bytes()]);
    let own = rank_hash(me);
    let ranked_above = routers.iter().filter(|n| *n != me && rank_hash(n) > own).count();
    let senders = routers.len().max(1).min(max_senders);
    // Within any second a bucket yields the token that was saved up and those that accrue in that second.
    (ranked_above < senders).then(|| (bound * RATE_FRACTION_USED / senders as f64 - 1.0).max(0.5))
}

/// A token bucket that holds one token, so that within any second it yields no more than its rate plus one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    next_token_at: Tick,
}

impl Bucket {
    /// Whether the token is available.
    pub fn ready(&self, now: Tick) -> bool {
        now >= self.next_token_at
    }

    /// Takes the token; the next one is available after `1 / per_s` seconds.
    pub fn take(&mut self, per_s: f64, now: Tick) {
        self.next_token_at = now + (1000.0 / per_s.max(0.01)).ceil() as u64;
    }
}
