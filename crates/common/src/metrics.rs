//! Counters and gauges, served in the Prometheus text format on `/metrics` (design 1.7).

use prometheus::{IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder};

/// The metrics of one process. All names get the prefix `foldshunt_`.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    registry: Registry,
}

/// Why a metric's name and labels are always valid.
const FIXED: &str = "a metric's name and labels are fixed in the code";

impl Metrics {
    /// Creates and registers a counter.
    ///
    /// # Panics
    /// If the name or a label is not valid.
    pub fn counter(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let counter = IntCounterVec::new(options(name, help), labels).expect(FIXED);
        let _ = self.registry.register(Box::new(counter.clone()));
        counter
    }

    /// Creates and registers a gauge.
    ///
    /// # Panics
    /// If the name or a label is not valid.
    pub fn gauge(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        let gauge = IntGaugeVec::new(options(name, help), labels).expect(FIXED);
        let _ = self.registry.register(Box::new(gauge.clone()));
        gauge
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}

fn options(name: &str, help: &str) -> Opts {
    Opts::new(format!("foldshunt_{name}"), help)
}
