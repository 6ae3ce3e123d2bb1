//! Answers to requests for reports (design 9.3): those that this node publishes itself, and those of other zones that
//! it relays to the routers of its own zone. A request for a zone's report makes the node its publisher.

use super::{
    replica_report::{ReplicaReport, ReplicaRow},
    replica_view::ReceivedReport,
};
use crate::router::{Publication, Router, lock};
use common::{NodeId, Tick, Zone};
use std::{sync::Arc, time::Duration};
use tokio::sync::watch;

/// Longest time that a request for a report may wait, in milliseconds.
const MAX_WAIT_MS: u64 = 10_000;
/// If a publisher's number is lower than the one seen by more than this, the publisher has restarted its numbering.
const RESTART_GAP: u64 = 1_000;

/// The newest report of a zone, if there is one.
pub type HeldReport = Option<Arc<ReceivedReport>>;

/// The report as it is sent now. The load in it ages from when it was up to date, but what is left of a warm-up from
/// when the report was received here (`ReceivedReport::received_at`). The receiver subtracts the age from the latter.
pub fn outgoing_report(held: &ReceivedReport, now: Tick, waited_ms: u64) -> ReplicaReport {
    let age_ms = now.since(held.fresh_at);
    let held_ms = now.since(held.received_at);
    let cold_left_ms = |left: u64| match left.saturating_sub(held.report.age_ms).saturating_sub(held_ms) {
        0 => 0,
        left => left + age_ms,
    };
    let row = |row: &ReplicaRow| ReplicaRow { cold_left_ms: cold_left_ms(row.cold_left_ms), ..row.clone() };
    let rows = held.report.rows.iter().map(row).collect();
    ReplicaReport { age_ms, waited_ms, rows, ..held.report.clone() }
}

impl Router {
    /// Waits for this node's own report on a zone that is newer than `seq`. The request makes the node publish it.
    pub async fn wait_for_report(&self, zone: Zone, seq: u64, wait_ms: u64) -> Option<ReplicaReport> {
        let asked = self.now();
        let held = {
            let mut publications = lock(&self.publications);
            let publication = publications
                .entry(zone)
                .or_insert_with(|| Publication { sender: watch::channel(None).0, asked });
            publication.asked = asked;
            publication.sender.subscribe()
        };
        let newer = |report: &ReplicaReport| report.seq > seq || seq > report.seq + RESTART_GAP;
        self.newer_report(held, newer, asked, wait_ms).await.filter(|report| report.seq != seq)
    }

    /// Waits for a report on a zone, received from another node, that is newer than the last one that the requester
    /// took.
    pub async fn wait_for_relayed_report(
        &self,
        zone: Zone,
        last: Option<(NodeId, u64)>,
        wait_ms: u64,
    ) -> Option<ReplicaReport> {
        let asked = self.now();
        let held =
            lock(&self.relayed_reports).entry(zone).or_insert_with(|| watch::channel(None).0).subscribe();
        let newer = |report: &ReplicaReport| {
            last.as_ref().is_none_or(|(publisher, seq)| report.publisher != *publisher || report.seq > *seq)
        };
        self.newer_report(held, newer, asked, wait_ms).await.filter(newer)
    }

    /// Keeps a report for the routers that request it from this node.
    pub fn relay_report(&self, report: ReceivedReport) {
        let mut relayed = lock(&self.relayed_reports);
        let held = relayed.entry(report.report.zone.clone()).or_insert_with(|| watch::channel(None).0);
        held.send_replace(Some(Arc::new(report)));
    }

    /// Waits for a newer report, and returns the one held then unless it is too old.
    async fn newer_report(
        &self,
        mut held: watch::Receiver<HeldReport>,
        newer: impl Fn(&ReplicaReport) -> bool,
        asked: Tick,
        wait_ms: u64,
    ) -> Option<ReplicaReport> {
        let wait = Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        let is_newer = |held: &HeldReport| held.as_ref().is_some_and(|held| newer(&held.report));
        let _ = tokio::time::timeout(wait, held.wait_for(is_newer)).await;
        let held = held.borrow().clone()?;
        let now = self.now();
        // The requester judges whether the list in it is too old, and may then request it from another node.
        let is_valid = now.since(held.received_at) <= self.settings.timing.report_max_age_ms();
        is_valid.then(|| outgoing_report(&held, now, now.since(asked)))
    }
}
