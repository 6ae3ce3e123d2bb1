//! The retry budget (design 9.6): how many attempts all routers together may send to a service beyond the first one of
//! each request. Each router derives its share without messages, and has one token bucket per service. Buckets start
//! empty, so that restarting a router adds no tokens. No I/O.

use common::{NodeId, Service, Tick, lock, rendezvous::stable_hash};
use std::{collections::HashMap, sync::Mutex};

/// Fraction of the retry ratio that is used.
const RATIO_FRACTION_USED: f64 = 0.8;
/// Fraction of the surplus that is used. Less than all, since routers disagree about the membership for a moment after
/// it changes.
const SURPLUS_FRACTION_USED: f64 = 0.9;
/// Fraction of the surplus that the buckets of all routers hold, if that is at least one token each.
const CAPACITY_FRACTION: f64 = 0.5;
/// Largest fraction of the surplus that the buckets hold if there is not enough for one token per router.
const MAX_CAPACITY_FRACTION: f64 = 0.7;

/// One router's share of the surplus: the retries per window that are allowed beyond the ratio.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BudgetShare {
    /// The most tokens that the bucket holds, including those earned by requests.
    pub capacity: f64,
    /// Tokens that accrue per millisecond, whether requests arrive or not.
    pub per_ms: f64,
}

impl BudgetShare {
    /// The share of a router that ranks below `ranked_above` others. The capacities of all routers plus what accrues
    /// to them within one window sum to at most the surplus. A bucket that can't hold a whole token is useless: if
    /// equal parts are smaller than that, the routers that rank highest get one token each.
    pub fn of(surplus: f64, window_ms: u64, ranked_above: usize, routers: usize) -> Self {
        let whole_tokens = (surplus * MAX_CAPACITY_FRACTION).floor().max(surplus.floor().min(1.0)) as usize;
        let holders = routers.clamp(1, whole_tokens.max(1));
        if whole_tokens == 0 || ranked_above >= holders {
            return Self::default();
        }
        let capacity = (surplus * CAPACITY_FRACTION / holders as f64).max(1.0);
        let accrues = (surplus * SURPLUS_FRACTION_USED / holders as f64 - capacity).max(0.0);
        Self { capacity, per_ms: accrues / window_ms.max(1) as f64 }
    }
}

/// How many routers rank above this one in getting a share for a service, by rendezvous hashing: all routers compute
/// the same order.
pub fn ranked_above(service: &Service, me: &NodeId, routers: &[NodeId]) -> usize {
    let rank_key =
        |n: &NodeId| (stable_hash(&[service.as_str().as_bytes(), n.as_str().as_bytes()]), n.clone());
    let own = rank_key(me);
    routers.iter().filter(|n| rank_key(n) > own).count()
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    capacity: f64,
    updated_at: Tick,
}

/// One router's retry tokens for each service.
#[derive(Debug)]
pub struct RetryBudget {
    /// When this router started; tokens accrue from then on.
    started: Tick,
    buckets: Mutex<HashMap<Service, Bucket>>,
}

impl RetryBudget {
    /// The budget of a router that starts now: no tokens.
    pub fn started(now: Tick) -> Self {
        Self { started: now, buckets: Mutex::default() }
    }

    /// Adds the tokens for a new request to the service, and those that accrued since the previous one.
    pub fn earn(&self, service: &Service, ratio: f64, share: BudgetShare, now: Tick) {
        let mut buckets = lock(&self.buckets);
        let first = || Bucket { tokens: 0.0, capacity: 0.0, updated_at: self.started };
        let bucket = buckets.entry(service.clone()).or_insert_with(first);
        let accrued = share.per_ms * now.since(bucket.updated_at) as f64;
        bucket.tokens = (bucket.tokens + accrued + ratio * RATIO_FRACTION_USED).min(share.capacity);
        bucket.capacity = share.capacity;
        bucket.updated_at = now;
    }

    /// Takes the token for one retry; `false` if there is none.
    pub fn spend(&self, service: &Service) -> bool {
        let mut buckets = lock(&self.buckets);
        let Some(bucket) = buckets.get_mut(service).filter(|bucket| bucket.tokens >= 1.0) else {
            return false;
        };
        bucket.tokens -= 1.0;
        true
    }

    /// Refunds the token of a retry that reached no replica.
    pub fn give_back(&self, service: &Service) {
        if let Some(bucket) = lock(&self.buckets).get_mut(service) {
            bucket.tokens = (bucket.tokens + 1.0).min(bucket.capacity);
        }
    }
}
