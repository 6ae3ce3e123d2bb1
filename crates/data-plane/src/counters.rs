//! What a router counts (design 1.7).

use common::metrics::Metrics;
use prometheus::{IntCounterVec, IntGaugeVec};

pub struct Counters {
    pub metrics: Metrics,
    pub requests: IntCounterVec,
    pub attempts: IntCounterVec,
    pub rejections: IntCounterVec,
    pub placements: IntCounterVec,
    pub passes: IntCounterVec,
    pub state: IntGaugeVec,
}

impl Default for Counters {
    fn default() -> Self {
        let m = Metrics::default();
        Self {
            requests: m.counter("jobs_total", "Jobs by entry and outcome", &["entry", "outcome"]),
            attempts: m.counter("goes_total", "Goes by kind: first, extra, hop", &["kind"]),
            rejections: m.counter("bounces_total", "Bounces by reason", &["reason"]),
            placements: m.counter("placements_total", "Placements by how they were found", &["how"]),
            passes: m.counter("passes_total", "Lending passes by what became of them", &["what"]),
            state: m.gauge("state", "1 or a count for each named state", &["what"]),
            metrics: m,
        }
    }
}

impl Counters {
    pub fn reject(&self, reason: &str) {
        self.rejections.with_label_values(&[reason]).inc();
    }
}
