//! What a publisher tells those that subscribe (design 9.3), and what a router passes on inside its zone; being asked
//! makes a router a publisher.

use super::{
    replica_report::{ReplicaReport, ReplicaRow},
    replica_view::ReceivedReport,
};
use crate::router::{Publication, Router, lock};
use common::{NodeId, Tick, Zone};
use std::{sync::Arc, time::Duration};
use tokio::sync::watch;

/// Longest that a request for a report waits, in milliseconds.
const MAX_WAIT_MS: u64 = 10_000;
/// A publisher that counts from the start again has fallen behind what was seen of it by more than this.
const RESTARTED: u64 = 1_000;

/// The newest report of a zone.
pub type HeldReport = Option<Arc<ReceivedReport>>;

/// The report as it goes out now: its load reports age from when they were fresh, what is left of a warm-up from when
/// the report came here (`ReceivedReport::received`), and the receiver subtracts the age from it.
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
    /// What this node publishes of a zone, newer than `seq`; being asked makes it publish.
    pub async fn wait_for_report(&self, zone: Zone, seq: u64, wait_ms: u64) -> Option<ReplicaReport> {
        let asked = self.now();
        let held = {
            let mut publications = lock(&self.publications);
            let publication =
                publications.entry(zone).or_insert_with(|| Publication { tx: watch::channel(None).0, asked });
            publication.asked = asked;
            publication.tx.subscribe()
        };
        let newer = |report: &ReplicaReport| report.seq > seq || seq > report.seq + RESTARTED;
        self.newer_report(held, newer, asked, wait_ms).await.filter(|report| report.seq != seq)
    }

    /// What this node was told of a zone, newer than the report that the asker took last.
    pub async fn wait_for_relayed_report(
        &self,
        zone: Zone,
        last: Option<(NodeId, u64)>,
        wait_ms: u64,
    ) -> Option<ReplicaReport> {
        let asked = self.now();
        let held = lock(&self.relayed).entry(zone).or_insert_with(|| watch::channel(None).0).subscribe();
        let newer = |report: &ReplicaReport| {
            last.as_ref().is_none_or(|(publisher, seq)| report.publisher != *publisher || report.seq > *seq)
        };
        self.newer_report(held, newer, asked, wait_ms).await.filter(newer)
    }

    /// Keeps a report for those that ask this node for it.
    pub fn relay_report(&self, report: ReceivedReport) {
        let mut relayed = lock(&self.relayed);
        let held = relayed.entry(report.report.zone.clone()).or_insert_with(|| watch::channel(None).0);
        held.send_replace(Some(Arc::new(report)));
    }

    /// Waits for a report that is newer; the one that is held then, unless it is too old.
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
        // Whether the list in it is too old is up to the asker, who may then ask somebody else for it.
        let valid = now.since(held.received_at) <= self.settings.timing.report_max_age_ms();
        valid.then(|| outgoing_report(&held, now, now.since(asked)))
    }
}
