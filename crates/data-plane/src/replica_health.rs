//! What a home makes of one replica's checks (design 5.4): no input or output.

use common::Tick;

/// What a home remembers of one replica between checks.
#[derive(Clone, Debug, Default)]
pub struct ReplicaHealth {
    pub fails: u32,
    pub healthy: bool,
    pub capacity: f64,
    pub consumption: f64,
    /// Nothing listened there at the last check: whatever comes back comes back cold.
    pub absent: bool,
    /// When it last came up; its concurrency ramps from there.
    pub warm_since: Option<Tick>,
}

/// What came of one check.
#[derive(Debug, PartialEq)]
pub enum ProbeResult {
    Reported(Report),
    NoAnswer,
    /// The connection was refused: the process is not there, and its cache is gone.
    Refused,
}

/// A report, read tolerantly: what is absent or unknown is left alone.
#[derive(Debug, Default, PartialEq)]
pub struct Report {
    pub healthy: Option<bool>,
    pub capacity: Option<f64>,
    pub consumption: Option<f64>,
}

impl Report {
    pub fn read(b: &[u8], model: &str) -> Option<Report> {
        let v: serde_json::Value = serde_json::from_slice(b).ok()?;
        let of_model = v.get("models").and_then(|m| m.as_array()).and_then(|m| {
            let mine = m.iter().find(|x| x.get("name").and_then(|n| n.as_str()) == Some(model));
            mine.and_then(|x| x.get("payload").or(Some(x)).cloned())
        });
        let at = of_model.unwrap_or(v);
        let num = |k: &str| at.get(k).and_then(|x| x.as_f64()).filter(|x| x.is_finite() && *x >= 0.0);
        Some(Report {
            healthy: at.get("healthy").and_then(|x| x.as_bool()),
            capacity: num("capacity"),
            consumption: num("consumption"),
        })
    }
}

impl ReplicaHealth {
    /// More than half of its capacity is in use.
    pub fn is_loaded(&self) -> bool {
        self.healthy && self.consumption * 2.0 > self.capacity
    }

    /// Folds one check in.
    pub fn record(&mut self, found: ProbeResult, fails: u32, slots: f64, now: Tick) {
        match found {
            ProbeResult::Reported(r) if r.healthy != Some(false) => {
                self.fails = 0;
                if !self.healthy || self.absent {
                    self.warm_since = Some(now);
                }
                (self.healthy, self.absent) = (true, false);
                self.capacity = r.capacity.unwrap_or(slots);
                self.consumption = r.consumption.unwrap_or(0.0);
            }
            // What says itself that it is unwell is believed at once.
            ProbeResult::Reported(_) => (self.healthy, self.fails) = (false, fails),
            ProbeResult::NoAnswer | ProbeResult::Refused => {
                self.absent |= found == ProbeResult::Refused;
                self.fails = (self.fails + 1).min(fails);
                if self.fails >= fails {
                    self.healthy = false;
                }
            }
        }
    }

    /// The ramp: a tenth of the capacity at first, all of it after `slow_start_ms`. It does not begin before
    /// something is there; until then its first step tells who takes over that this one is cold.
    pub fn allowance(&self, slow_start_ms: u64, now: Tick) -> Option<u32> {
        if common::mutation::enabled("cold-is-warm") {
            return None;
        }
        let up = if self.absent { 0 } else { now.since(self.warm_since?) };
        (up < slow_start_ms).then(|| {
            let part = (up as f64 / slow_start_ms as f64).max(0.1);
            (self.capacity * part).max(1.0) as u32
        })
    }
}
