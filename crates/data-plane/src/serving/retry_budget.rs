//! The budget of further tries (design 9.6): what all routers together may send to a service beyond
//! each request's first arrival, divided into shares that need no messages. A token bucket for each
//! service, which starts empty, so that starting a router adds nothing. Pure but for one lock.

use common::{NodeId, Service, Tick, lock, rendezvous::stable_hash};
use std::{collections::HashMap, sync::Mutex};

/// Share of the ratio that is used.
const RATIO_USED: f64 = 0.8;
/// Share of the surplus that is used: views of the membership differ for a moment.
const SURPLUS_USED: f64 = 0.9;
/// Share of the surplus that all routers together save up, where each then holds a whole token.
const SAVED: f64 = 0.5;
/// Share of the surplus that goes into whole tokens at most, where few routers can hold one.
const MAX_SAVED: f64 = 0.7;

/// One router's share of the surplus that is granted beyond the ratio.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BudgetShare {
    /// Most tokens that may be saved up, whatever earned them.
    pub capacity: f64,
    /// Tokens that accrue in a millisecond, with or without requests.
    pub per_ms: f64,
}

impl BudgetShare {
    /// The share of the router that `ranked_above` others precede. The capacities of all routers and what
    /// accrues to them within one window sum to the surplus at most. A bucket must hold a whole token
    /// to be of use: where an equal part is less, the first in rank hold one each.
    pub fn of(surplus: f64, window_ms: u64, ranked_above: usize, routers: usize) -> Self {
        let whole = (surplus * MAX_SAVED).floor().max(surplus.floor().min(1.0)) as usize;
        let holders = routers.clamp(1, whole.max(1));
        if whole == 0 || ranked_above >= holders {
            return Self::default();
        }
        let capacity = (surplus * SAVED / holders as f64).max(1.0);
        let accrues = (surplus * SURPLUS_USED / holders as f64 - capacity).max(0.0);
        Self { capacity, per_ms: accrues / window_ms.max(1) as f64 }
    }
}

/// How many routers precede this one in holding a share for a service; all see the same order.
pub fn ranked_above(svc: &Service, me: &NodeId, routers: &[NodeId]) -> usize {
    let claim = |n: &NodeId| (stable_hash(&[svc.as_str().as_bytes(), n.as_str().as_bytes()]), n.clone());
    let own = claim(me);
    routers.iter().filter(|n| claim(n) > own).count()
}

#[derive(Debug)]
struct Bucket {
    tokens: f64,
    capacity: f64,
    at: Tick,
}

#[derive(Debug)]
pub struct RetryBudget {
    /// When this router started: nothing accrued to it before.
    started: Tick,
    buckets: Mutex<HashMap<Service, Bucket>>,
}

impl RetryBudget {
    pub fn started(now: Tick) -> Self {
        Self { started: now, buckets: Mutex::default() }
    }

    /// A request for the service came.
    pub fn earn(&self, svc: &Service, ratio: f64, share: BudgetShare, now: Tick) {
        let mut all = lock(&self.buckets);
        let first = || Bucket { tokens: 0.0, capacity: 0.0, at: self.started };
        let b = all.entry(svc.clone()).or_insert_with(first);
        let accrued = share.per_ms * now.since(b.at) as f64;
        b.tokens = (b.tokens + accrued + ratio * RATIO_USED).min(share.capacity);
        b.capacity = share.capacity;
        b.at = now;
    }

    /// Takes the token for one further try, where there is one.
    pub fn spend(&self, svc: &Service) -> bool {
        let mut all = lock(&self.buckets);
        let Some(b) = all.get_mut(svc).filter(|b| b.tokens >= 1.0) else { return false };
        b.tokens -= 1.0;
        true
    }

    /// A try that was paid for reached nobody.
    pub fn give_back(&self, svc: &Service) {
        if let Some(b) = lock(&self.buckets).get_mut(svc) {
            b.tokens = (b.tokens + 1.0).min(b.capacity);
        }
    }
}
