//! Figures of the replicas of one zone, as its home publishes them (design 9.3). Pure data.

use super::protocol::{EngineReport, ListedReplica};
use common::{Epoch, FencingToken, Service, Tick, Zone};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr};

/// One replica of a zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaRow {
    pub id: common::ReplicaId,
    pub service: Service,
    pub addr: SocketAddr,
    pub slots: u32,
    pub draining: bool,
    /// Milliseconds that it stays cold, counted from when the load reports were fresh.
    pub cold_left_ms: u64,
    #[serde(rename = "well")]
    pub healthy: bool,
    pub running: u32,
    pub waiting: u32,
    pub memory_used: u64,
    pub memory_total: u64,
}

/// All replicas of a zone, numbered by their publisher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaReport {
    #[serde(rename = "area")]
    pub zone: Zone,
    pub publisher: common::NodeId,
    #[serde(rename = "fence")]
    pub fencing_token: FencingToken,
    /// Rises with each report of a publisher, over restarts too ([`report_number`]).
    pub seq: u64,
    /// How old the oldest part of it was when it was sent (the reading of the list or the load reports), and how long
    /// the request lay before that.
    pub age_ms: u64,
    pub waited_ms: u64,
    pub rows: Vec<ReplicaRow>,
    /// Lending grants: requests that one router of another region may have open here, by service
    /// (design 5.5).
    #[serde(rename = "lends")]
    pub lending_grants: BTreeMap<Service, u32>,
}

/// Bits of a report's number that count within one membership of its publisher.
const COUNT_BITS: u32 = 32;

/// The number of a publisher's report: by the epoch of its membership, so that one that has restarted goes on above all
/// that it published before.
pub fn report_number(epoch: Epoch, count: u32) -> u64 {
    epoch.0 << COUNT_BITS | u64::from(count)
}

impl ReplicaReport {
    /// When all of it was fresh on the clock of whoever asked at `asked`, at the latest.
    pub fn fresh_at(&self, asked: Tick, now: Tick) -> Tick {
        (asked + self.waited_ms).min(now) - self.age_ms
    }
}

/// What the publisher remembers of a replica between looks.
#[derive(Clone, Debug, Default)]
pub struct ReplicaHealth {
    pub failed_probes: u32,
    pub refused: bool,
    pub load: EngineReport,
    /// When it was well again after it had not been. It may have turned cold while it was away, and the list says so
    /// only later.
    pub recovered_at: Option<Tick>,
}

/// What came of one probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeResult {
    Answered(EngineReport),
    /// It says itself that it is unwell or leaving.
    Unhealthy,
    NoAnswer,
    /// Nothing listens there.
    Refused,
}

impl ReplicaHealth {
    /// Folds one probe in: a refusal counts at once, silence after `fails` looks.
    pub fn record(&mut self, p: ProbeResult, fails: u32) {
        match p {
            ProbeResult::Answered(r) => (self.failed_probes, self.refused, self.load) = (0, false, r),
            ProbeResult::Unhealthy => (self.failed_probes, self.refused) = (fails, false),
            ProbeResult::Refused => (self.failed_probes, self.refused) = (fails, true),
            ProbeResult::NoAnswer => self.failed_probes = (self.failed_probes + 1).min(fails),
        }
    }

    pub fn is_healthy(&self, fails: u32) -> bool {
        self.failed_probes < fails
    }

    /// For how much longer it may be cold although the list does not say so: `listed` is when the reading was begun
    /// that is known, and lists show what was so `lag_ms` before.
    pub fn unlisted_cold_ms(&self, slow_start_ms: u64, listed: Tick, lag_ms: u64, now: Tick) -> u64 {
        let returned = self.recovered_at.filter(|returned| listed < *returned + lag_ms);
        returned.map_or(0, |returned| slow_start_ms.saturating_sub(now.since(returned)))
    }

    pub fn row(&self, l: &ListedReplica, fails: u32) -> ReplicaRow {
        ReplicaRow {
            id: l.id.clone(),
            service: l.service.clone(),
            addr: l.addr,
            slots: l.slots,
            draining: l.draining || l.time_left_ms.is_some(),
            cold_left_ms: l.cold_left_ms,
            healthy: self.is_healthy(fails),
            running: self.load.running,
            waiting: self.load.waiting,
            memory_used: self.load.memory_used,
            memory_total: self.load.memory_total,
        }
    }
}

/// Passes for each router of other regions: a share of the measured headroom of what is warm.
pub fn lending_grants(rows: &[ReplicaRow], share: f64, askers: usize) -> BTreeMap<Service, u32> {
    let mut room: BTreeMap<Service, f64> = BTreeMap::new();
    for r in rows.iter().filter(|r| r.healthy && !r.draining && r.cold_left_ms == 0) {
        let used = f64::from(r.running + r.waiting);
        *room.entry(r.service.clone()).or_default() += (f64::from(r.slots) * 0.95 - used).max(0.0);
    }
    room.into_iter().map(|(s, r)| (s, (r * share / askers.max(1) as f64).ceil() as u32)).collect()
}
