//! The report on the replicas of one zone, as its publisher sends it (design 9.3). Pure data.

use super::protocol::{EngineReport, ListedReplica};
use common::{Epoch, FencingToken, Service, Tick, Zone};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr};

/// State of one replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaRow {
    /// Its identifier.
    pub id: common::ReplicaId,
    /// The service that it runs.
    pub service: Service,
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is about to leave and takes no new requests.
    pub draining: bool,
    /// For how much longer it warms up, in milliseconds from when the load in the report was up to date.
    pub cold_left_ms: u64,
    /// Whether the publisher's probes found it healthy.
    #[serde(rename = "well")]
    pub healthy: bool,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there for a slot.
    pub waiting: u32,
    /// Tokens in its memory.
    pub memory_used: u64,
    /// Tokens that its memory holds; 0 if unknown.
    pub memory_total: u64,
}

/// The replicas of a zone, numbered by their publisher.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// The zone whose replicas are reported.
    #[serde(rename = "area")]
    pub zone: Zone,
    /// The node that probed the replicas.
    pub publisher: common::NodeId,
    /// The fencing token under which it publishes: the epoch of the cluster state.
    #[serde(rename = "fence")]
    pub fencing_token: FencingToken,
    /// Rises with each report of a publisher, also across restarts ([`report_number`]).
    pub seq: u64,
    /// Age of its oldest part, the list or the load, when it was sent.
    pub age_ms: u64,
    /// How long the request for the report waited before it was answered.
    pub waited_ms: u64,
    /// One row for each listed replica.
    pub rows: Vec<ReplicaRow>,
    /// Lending grants: how many requests each router of another region may have open here, by service (design 5.5).
    #[serde(rename = "lends")]
    pub lending_grants: BTreeMap<Service, u32>,
}

/// Bits of a report's number that count the reports within one membership of its publisher.
const COUNT_BITS: u32 = 32;

/// The number of a publisher's report. The epoch of its membership forms the upper bits, so that a restarted publisher
/// continues above all that it published before.
pub fn report_number(epoch: Epoch, count: u32) -> u64 {
    epoch.0 << COUNT_BITS | u64::from(count)
}

impl ReplicaReport {
    /// When everything in it was last up to date, at the latest, on the clock of the node that requested it at `asked`.
    pub fn fresh_at(&self, asked: Tick, now: Tick) -> Tick {
        (asked + self.waited_ms).min(now) - self.age_ms
    }
}

/// What the publisher remembers of a replica between probes.
#[derive(Clone, Debug, Default)]
pub struct ReplicaHealth {
    /// Failed probes in a row, up to the number that makes a replica unhealthy.
    pub failed_probes: u32,
    /// Whether nothing listened there, by the last probe that was answered or refused.
    pub refused: bool,
    /// What the replica last reported of itself.
    pub load: EngineReport,
    /// When it was last found healthy again. It may have lost its warm state while it was away, which the list shows
    /// only later.
    pub recovered_at: Option<Tick>,
}

/// Result of one probe.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProbeResult {
    /// It is healthy, and reports its load.
    Answered(EngineReport),
    /// It reports itself that it is unhealthy or leaves.
    Unhealthy,
    /// It did not answer in time.
    NoAnswer,
    /// The connection was refused: nothing listens there.
    Refused,
}

impl ReplicaHealth {
    /// Records a probe. A refused connection makes the replica unhealthy at once, a missing answer after
    /// `max_failures` in a row.
    pub fn record(&mut self, result: ProbeResult, max_failures: u32) {
        match result {
            ProbeResult::Answered(load) => (self.failed_probes, self.refused, self.load) = (0, false, load),
            ProbeResult::Unhealthy => (self.failed_probes, self.refused) = (max_failures, false),
            ProbeResult::Refused => (self.failed_probes, self.refused) = (max_failures, true),
            ProbeResult::NoAnswer => self.failed_probes = (self.failed_probes + 1).min(max_failures),
        }
    }

    /// Whether fewer than `max_failures` probes in a row failed.
    pub fn is_healthy(&self, max_failures: u32) -> bool {
        self.failed_probes < max_failures
    }

    /// For how much longer a recovered replica may have to warm up although the list doesn't say so yet.
    /// `list_read_at` is when the last read of the list started; the list shows the state of `lag_ms` before that.
    pub fn unlisted_cold_ms(&self, slow_start_ms: u64, list_read_at: Tick, lag_ms: u64, now: Tick) -> u64 {
        let unlisted = self.recovered_at.filter(|recovered_at| list_read_at < *recovered_at + lag_ms);
        unlisted.map_or(0, |recovered_at| slow_start_ms.saturating_sub(now.since(recovered_at)))
    }

    /// The replica's row in the report.
    pub fn row(&self, listed: &ListedReplica, max_failures: u32) -> ReplicaRow {
        ReplicaRow {
            id: listed.id.clone(),
            service: listed.service.clone(),
            addr: listed.addr,
            slots: listed.slots,
            draining: listed.draining || listed.time_left_ms.is_some(),
            cold_left_ms: listed.cold_left_ms,
            healthy: self.is_healthy(max_failures),
            running: self.load.running,
            waiting: self.load.waiting,
            memory_used: self.load.memory_used,
            memory_total: self.load.memory_total,
        }
    }
}

/// Requests that each router of other regions may open here, by service: a share of the free capacity of warm and
/// healthy replicas, divided among `routers`.
pub fn lending_grants(rows: &[ReplicaRow], share: f64, routers: usize) -> BTreeMap<Service, u32> {
    let mut free_slots: BTreeMap<Service, f64> = BTreeMap::new();
    for row in rows.iter().filter(|row| row.healthy && !row.draining && row.cold_left_ms == 0) {
        let used = f64::from(row.running + row.waiting);
        *free_slots.entry(row.service.clone()).or_default() += (f64::from(row.slots) * 0.95 - used).max(0.0);
    }
    free_slots
        .into_iter()
        .map(|(service, free)| (service, (free * share / routers.max(1) as f64).ceil() as u32))
        .collect()
}
