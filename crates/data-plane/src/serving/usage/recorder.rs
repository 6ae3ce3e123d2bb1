//! The requests that one router saw start at replicas, by tenant. Memory is bounded by the retention time and the
//! number of tenants, independent of the load. Pure.

use common::{Tenant, Tick};
use std::collections::BTreeMap;

/// Starts within one interval of this length are counted as simultaneous, in milliseconds.
pub const RESOLUTION_MS: u64 = 10;

/// Requests that started recently. Records nothing until a retention time is set.
#[derive(Debug, Default)]
pub struct StartRecorder {
    retention_ms: u64,
    intervals: BTreeMap<u64, Vec<(Tenant, u64)>>,
}

impl StartRecorder {
    /// Sets for how long starts are remembered, in milliseconds.
    pub fn set_retention(&mut self, retention_ms: u64) {
        self.retention_ms = retention_ms;
    }

    /// Records that a request started at `at`, which may be some time before `now`.
    pub fn record(&mut self, tenant: &Tenant, at: Tick, now: Tick) {
        if self.retention_ms == 0 {
            return;
        }
        let oldest = (now - self.retention_ms).0 / RESOLUTION_MS;
        while self.intervals.first_key_value().is_some_and(|(interval, _)| *interval < oldest) {
            self.intervals.pop_first();
        }
        let counts = self.intervals.entry(at.0 / RESOLUTION_MS).or_default();
        match counts.iter_mut().find(|(known, _)| known == tenant) {
            Some((_, count)) => *count += 1,
            None => counts.push((tenant.clone(), 1)),
        }
    }

    /// How many requests started at or after `from` and before `until`, by tenant.
    pub fn counts_between(&self, from: Tick, until: Tick) -> BTreeMap<Tenant, u64> {
        let mut counts = BTreeMap::new();
        let (first, end) = (from.0.div_ceil(RESOLUTION_MS), until.0.div_ceil(RESOLUTION_MS));
        let within = (first < end).then(|| self.intervals.range(first..end));
        for (tenant, count) in within.into_iter().flatten().flat_map(|(_, counts)| counts) {
            *counts.entry(tenant.clone()).or_default() += count;
        }
        counts
    }
}
