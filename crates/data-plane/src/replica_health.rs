//! Health of a replica by its probes (design 5.4), without input or output.

use common::Tick;

/// What the router that probes a replica knows of it.
#[derive(Clone, Debug, Default)]
pub struct ReplicaHealth {
    /// Number of probes that failed in a row.
    pub fails: u32,
    /// Whether it may be used.
    pub healthy: bool,
    /// How many requests it can serve at once.
    pub capacity: f64,
    /// How much of the capacity is in use.
    pub consumption: f64,
    /// Whether it refused the last connection: its process is gone, and the next one starts with a cold cache.
    pub absent: bool,
    /// When it last came up, which begins its slow start.
    pub warm_since: Option<Tick>,
}

/// Result of one probe.
#[derive(Debug, PartialEq)]
pub enum ProbeResult {
    /// It answered.
    Reported(Report),
    /// It did not answer in time.
    NoAnswer,
    /// It refused the connection: the process is not running, and its cache is lost.
    Refused,
}

/// What a replica reports of itself. Unknown fields are ignored, and absent or invalid ones are `None`.
#[derive(Debug, Default, PartialEq)]
pub struct Report {
    /// Whether it is healthy.
    pub healthy: Option<bool>,
    /// How many requests it can serve at once.
    pub capacity: Option<f64>,
    /// How much of the capacity is in use.
    pub consumption: Option<f64>,
}

impl Report {
    /// Reads a report in JSON: of one replica, or of several models of which `model` is meant.
    pub fn read(body: &[u8], model: &str) -> Option<Report> {
        let document: serde_json::Value = serde_json::from_slice(body).ok()?;
        let of_model = document.get("models").and_then(|m| m.as_array()).and_then(|m| {
            let found = m.iter().find(|x| x.get("name").and_then(|n| n.as_str()) == Some(model));
            found.and_then(|x| x.get("payload").or(Some(x)).cloned())
        });
        let report = of_model.unwrap_or(document);
        let number =
            |name: &str| report.get(name).and_then(|x| x.as_f64()).filter(|x| x.is_finite() && *x >= 0.0);
        Some(Report {
            healthy: report.get("healthy").and_then(|x| x.as_bool()),
            capacity: number("capacity"),
            consumption: number("consumption"),
        })
    }
}

impl ReplicaHealth {
    /// Whether more than half of its capacity is in use.
    pub fn is_loaded(&self) -> bool {
        self.healthy && self.consumption * 2.0 > self.capacity
    }

    /// Records a probe. The replica becomes unhealthy after `max_fails` failures in a row; `slots` is its capacity
    /// where it reports none.
    pub fn record(&mut self, found: ProbeResult, max_fails: u32, slots: f64, now: Tick) {
        match found {
            ProbeResult::Reported(report) if report.healthy != Some(false) => {
                self.fails = 0;
                if !self.healthy || self.absent {
                    self.warm_since = Some(now);
                }
                (self.healthy, self.absent) = (true, false);
                self.capacity = report.capacity.unwrap_or(slots);
                self.consumption = report.consumption.unwrap_or(0.0);
            }
            // A replica that calls itself unhealthy is unhealthy at once.
            ProbeResult::Reported(_) => (self.healthy, self.fails) = (false, max_fails),
            ProbeResult::NoAnswer | ProbeResult::Refused => {
                self.absent |= found == ProbeResult::Refused;
                self.fails = (self.fails + 1).min(max_fails);
                if self.fails >= max_fails {
                    self.healthy = false;
                }
            }
        }
    }

    /// The most requests that it may have open during slow start: a tenth of the capacity at first, and all of it after
    /// `slow_start_ms`. An absent replica stays at the first step, so that a router that takes over the probing knows
    /// that it is cold.
    pub fn allowance(&self, slow_start_ms: u64, now: Tick) -> Option<u32> {
        if common::mutation::enabled("cold-is-warm") {
            return None;
        }
        let up_ms = if self.absent { 0 } else { now.since(self.warm_since?) };
        (up_ms < slow_start_ms).then(|| {
            let share = (up_ms as f64 / slow_start_ms as f64).max(0.1);
            (self.capacity * share).max(1.0) as u32
        })
    }
}
