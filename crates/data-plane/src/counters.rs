//! Metrics of a router (design 1.7). A renamed counter is also exported under its former name.

use common::metrics::Metrics;
use prometheus::{IntCounterVec, IntGaugeVec};

/// A counter that is exported under its name and its former name.
pub struct RenamedCounter {
    current: IntCounterVec,
    deprecated: IntCounterVec,
}

impl RenamedCounter {
    fn new(metrics: &Metrics, [name, old]: [&str; 2], help: &str, labels: &[&str]) -> Self {
        let deprecated_help = format!("Deprecated name of foldshunt_{name}");
        Self {
            current: metrics.counter(name, help, labels),
            deprecated: metrics.counter(old, &deprecated_help, labels),
        }
    }

    /// Adds one.
    pub fn inc(&self, labels: &[&str]) {
        self.inc_by(labels, 1);
    }

    /// Adds `count`.
    pub fn inc_by(&self, labels: &[&str], count: u64) {
        self.current.with_label_values(labels).inc_by(count);
        self.deprecated.with_label_values(labels).inc_by(count);
    }

    /// The count so far.
    pub fn get(&self, labels: &[&str]) -> u64 {
        self.current.with_label_values(labels).get()
    }
}

/// The metrics of a router.
pub struct Counters {
    /// All metrics of the process.
    pub metrics: Metrics,
    /// Requests by entry and outcome.
    pub requests: RenamedCounter,
    /// Attempts by kind.
    pub attempts: RenamedCounter,
    /// Rejections by reason.
    pub rejections: RenamedCounter,
    /// Placements by how the region was found.
    pub placements: IntCounterVec,
    /// Capacity grants by their use.
    pub grants: RenamedCounter,
    /// Age of the list of a zone's replicas that this router uses, in milliseconds.
    pub replica_list_age: IntGaugeVec,
    /// Calls that report usage, by outcome.
    pub usage_reports: IntCounterVec,
    /// Time windows whose usage this node did not report while it held the duty to, by reason.
    pub usage_windows_skipped: IntCounterVec,
    /// State of the router by name: 0 or 1, or a count.
    pub state: IntGaugeVec,
}

impl Default for Counters {
    fn default() -> Self {
        let metrics = Metrics::default();
        let renamed = |names, help, labels| RenamedCounter::new(&metrics, names, help, labels);
        Self {
            requests: renamed(
                ["requests_total", "jobs_total"],
                "Requests by entry and outcome",
                &["entry", "outcome"],
            ),
            attempts: renamed(
                ["attempts_total", "goes_total"],
                "Attempts by kind: first, extra, hop",
                &["kind"],
            ),
            rejections: renamed(["rejections_total", "bounces_total"], "Rejections by reason", &["reason"]),
            placements: metrics.counter("placements_total", "Placements by how they were found", &["how"]),
            grants: renamed(
                ["grants_total", "passes_total"],
                "Capacity grants by what became of them",
                &["what"],
            ),
            replica_list_age: metrics.gauge(
                "replica_list_age_ms",
                "Age in milliseconds of the list of a zone's replicas that this router uses",
                &["zone"],
            ),
            usage_reports: metrics.counter(
                "usage_reports_total",
                "Calls that report usage, by what became of them",
                &["outcome"],
            ),
            usage_windows_skipped: metrics.counter(
                "usage_windows_skipped_total",
                "Windows that the holder of the duty reported no usage of, by reason",
                &["reason"],
            ),
            state: metrics.gauge("state", "1 or a count for each named state", &["what"]),
            metrics,
        }
    }
}

impl Counters {
    /// Counts a rejection.
    pub fn reject(&self, reason: &str) {
        self.rejections.inc(&[reason]);
    }
}
