//! What a home tells those that subscribe (design 9.3); being asked makes a router a home.

use super::replica_report::ReplicaReport;
use crate::router::{Publication, Router, lock};
use common::{Tick, Zone};
use std::{sync::Arc, time::Duration};

impl Router {
    /// What this node publishes of a zone, newer than `seq`; being asked makes it publish.
    pub async fn wait_for_report(&self, zone: Zone, seq: u64, wait_ms: u64) -> Option<ReplicaReport> {
        let came = self.now();
        let mut rx = {
            let mut g = lock(&self.boards);
            let p = g
                .entry(zone)
                .or_insert_with(|| Publication { tx: tokio::sync::watch::channel(None).0, asked: came });
            p.asked = came;
            p.tx.subscribe()
        };
        let newer = |b: &Option<(Arc<ReplicaReport>, Tick)>| {
            b.as_ref().is_some_and(|b| b.0.seq > seq || seq > b.0.seq + 1_000)
        };
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms.min(10_000)), rx.wait_for(newer)).await;
        let (b, at) = rx.borrow().clone()?;
        let now = self.now();
        let (age_ms, waited_ms) = (now.since(at), now.since(came));
        (age_ms <= self.set.timing.report_max_age_ms() && b.seq != seq).then(|| ReplicaReport {
            age_ms,
            waited_ms,
            ..ReplicaReport::clone(&b)
        })
    }
}
