//! What a router counts (design 1.7).

use common::meter::Meter;
use prometheus::{IntCounterVec, IntGaugeVec};

pub struct Numbers {
    pub meter: Meter,
    pub jobs: IntCounterVec,
    pub goes: IntCounterVec,
    pub bounces: IntCounterVec,
    pub placements: IntCounterVec,
    pub passes: IntCounterVec,
    pub state: IntGaugeVec,
}

impl Default for Numbers {
    fn default() -> Self {
        let m = Meter::default();
        Self {
            jobs: m.counter("jobs_total", "Jobs by entry and outcome", &["entry", "outcome"]),
            goes: m.counter("goes_total", "Goes by kind: first, extra, hop", &["kind"]),
            bounces: m.counter("bounces_total", "Bounces by reason", &["reason"]),
            placements: m.counter("placements_total", "Placements by how they were found", &["how"]),
            passes: m.counter("passes_total", "Lending passes by what became of them", &["what"]),
            state: m.gauge("state", "1 or a count for each named state", &["what"]),
            meter: m,
        }
    }
}

impl Numbers {
    pub fn bounce(&self, reason: &str) {
        self.bounces.with_label_values(&[reason]).inc();
    }
}
