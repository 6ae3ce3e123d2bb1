//! A report on the replicas of one zone, with the times that this router received it at and that it is valid from
//! (design 9.3). Pure.

use super::{
    protocol::ListedReplica,
    replica_report::{ReplicaReport, ReplicaRow},
};
use common::Tick;

/// A report on one zone's replicas, and when it was received.
#[derive(Clone, Debug)]
pub struct ReceivedReport {
    /// The report as it was sent.
    pub report: ReplicaReport,
    /// When everything in it, the list and the load, was last up to date, at the latest. Its age counts from here.
    pub fresh_at: Tick,
    /// When it was received. What is left of a warm-up counts from here: counted from `fresh_at` it would end too early
    /// by the time that the request for the report travelled, and all routers would flood a replica that is still cold.
    pub received_at: Tick,
}

impl ReceivedReport {
    /// Whether this report replaces the held one. Reports of one publisher are ordered by their numbers, because
    /// `fresh_at` is known only up to the time that a report travelled.
    pub(super) fn supersedes(&self, held: &Self) -> bool {
        if self.report.publisher == held.report.publisher {
            return self.report.seq > held.report.seq;
        }
        self.fresh_at >= held.fresh_at
    }

    /// The replicas as the platform listed them, as far as the report says.
    pub fn listed(&self, now: Tick) -> Vec<ListedReplica> {
        let cold_left_ms =
            |row: &ReplicaRow| self.cold_left_ms(row).saturating_sub(now.since(self.received_at));
        let listed = |row: &ReplicaRow| ListedReplica {
            id: row.id.clone(),
            service: row.service.clone(),
            addr: row.addr,
            zone: self.report.zone.clone(),
            slots: row.slots,
            draining: row.draining,
            cold_left_ms: cold_left_ms(row),
            time_left_ms: None,
        };
        self.report.rows.iter().map(listed).collect()
    }

    /// For how much longer a replica warmed up when the report was received, at most.
    pub(super) fn cold_left_ms(&self, row: &ReplicaRow) -> u64 {
        row.cold_left_ms.saturating_sub(self.report.age_ms)
    }
}
