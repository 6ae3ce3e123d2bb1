//! What began to run at replicas, by tenant, as one router saw it. Pure. Its memory is bounded by the span that is kept
//! and the number of tenants, whatever the load.

use common::{Tenant, Tick};
use std::collections::BTreeMap;

/// Starts within this time are counted as one moment, in milliseconds.
pub const RESOLUTION_MS: u64 = 10;

/// Requests that began to run lately. Keeps nothing until it is told for how long.
#[derive(Debug, Default)]
pub struct StartRecorder {
    kept_ms: u64,
    moments: BTreeMap<u64, Vec<(Tenant, u64)>>,
}

impl StartRecorder {
    /// From now on starts are kept for so long.
    pub fn set_retention(&mut self, kept_ms: u64) {
        self.kept_ms = kept_ms;
    }

    /// A request began to run at `at`, which may lie a while back.
    pub fn record(&mut self, tenant: &Tenant, at: Tick, now: Tick) {
        if self.kept_ms == 0 {
            return;
        }
        let oldest = (now - self.kept_ms).0 / RESOLUTION_MS;
        while self.moments.first_key_value().is_some_and(|(moment, _)| *moment < oldest) {
            self.moments.pop_first();
        }
        let counts = self.moments.entry(at.0 / RESOLUTION_MS).or_default();
        match counts.iter_mut().find(|(known, _)| known == tenant) {
            Some((_, count)) => *count += 1,
            None => counts.push((tenant.clone(), 1)),
        }
    }

    /// How many began from one time on and before another.
    pub fn counts_between(&self, from: Tick, until: Tick) -> BTreeMap<Tenant, u64> {
        let mut counts = BTreeMap::new();
        let (first, end) = (from.0.div_ceil(RESOLUTION_MS), until.0.div_ceil(RESOLUTION_MS));
        let within = (first < end).then(|| self.moments.range(first..end));
        for (tenant, count) in within.into_iter().flatten().flat_map(|(_, counts)| counts) {
            *counts.entry(tenant.clone()).or_default() += count;
        }
        counts
    }
}
