//! What a publisher tells those that subscribe (design 9.3), and what a router passes on inside its zone; being asked
//! makes a router a publisher.

use super::replica_report::ReplicaReport;
use crate::router::{Publication, Router, lock};
use common::{NodeId, Tick, Zone};
use std::{sync::Arc, time::Duration};
use tokio::sync::watch;

/// Longest that a request for a report waits, in milliseconds.
const MAX_WAIT_MS: u64 = 10_000;
/// A publisher that counts from the start again has fallen behind what was seen of it by more than this.
const RESTARTED: u64 = 1_000;

/// The newest report of a zone, and when it was fresh.
pub type HeldReport = Option<(Arc<ReplicaReport>, Tick)>;

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
    pub fn pass_report_on(&self, report: Arc<ReplicaReport>, fresh: Tick) {
        let mut relayed = lock(&self.relayed);
        let held = relayed.entry(report.zone.clone()).or_insert_with(|| watch::channel(None).0);
        held.send_replace(Some((report, fresh)));
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
        let is_newer = |held: &HeldReport| held.as_ref().is_some_and(|(report, _)| newer(report));
        let _ = tokio::time::timeout(wait, held.wait_for(is_newer)).await;
        let (report, fresh) = held.borrow().clone()?;
        let now = self.now();
        let (age_ms, waited_ms) = (now.since(fresh), now.since(asked));
        let valid = age_ms <= self.set.timing.report_max_age_ms();
        valid.then(|| ReplicaReport { age_ms, waited_ms, ..ReplicaReport::clone(&report) })
    }
}
