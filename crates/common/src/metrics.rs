//! Counters and gauges, shown as text on `/metrics` (design 1.7).

use prometheus::{IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder};

/// All numbers of one process.
#[derive(Clone, Debug)]
pub struct Metrics {
    reg: Registry,
}

impl Default for Metrics {
    fn default() -> Self {
        Self { reg: Registry::new() }
    }
}

impl Metrics {
    pub fn counter(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let c = IntCounterVec::new(Opts::new(format!("foldshunt_{name}"), help), labels)
            .expect("a metric's name and labels are fixed in the code");
        let _ = self.reg.register(Box::new(c.clone()));
        c
    }

    pub fn gauge(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        let g = IntGaugeVec::new(Opts::new(format!("foldshunt_{name}"), help), labels)
            .expect("a metric's name and labels are fixed in the code");
        let _ = self.reg.register(Box::new(g.clone()));
        g
    }

    pub fn text(&self) -> String {
        TextEncoder::new().encode_to_string(&self.reg.gather()).unwrap_or_default()
    }
}
