//! When the holder may call the platform again, given the outcomes of its earlier calls. Pure.

use super::decisions::UsageReport;
use common::{FencingToken, Tick};
use std::sync::Arc;

/// Shortest pause between two calls, in milliseconds.
const MIN_PAUSE_MS: u64 = 250;
/// Longest pause after failed calls, in milliseconds.
const MAX_PAUSE_MS: u64 = 2_000;
/// Share of the calls that all nodes together may make per second that one holder uses.
const RATE_SHARE: f64 = 0.25;

/// One call to the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Number of the tenure in which it is made.
    pub tenure: u64,
    /// The fencing token under which it is made.
    pub fencing_token: FencingToken,
    /// The counts that are reported.
    pub report: Arc<UsageReport>,
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The platform has the report.
    Accepted,
    /// The platform has seen a higher fencing token.
    Superseded,
    /// The platform will never accept this report.
    Refused,
    /// It is unknown whether the platform has the report; the same call may be repeated.
    Unknown,
}

impl CallOutcome {
    /// Its name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            CallOutcome::Accepted => "accepted",
            CallOutcome::Superseded => "superseded",
            CallOutcome::Refused => "refused",
            CallOutcome::Unknown => "unknown",
        }
    }
}

/// The pause between calls, and the highest fencing token that the platform called superseded.
#[derive(Debug)]
pub struct CallPacing {
    first_pause_ms: u64,
    pause_ms: u64,
    next_call: Tick,
    highest_superseded: Option<FencingToken>,
}

impl CallPacing {
    /// Paces calls well below `calls_per_s`, the rate of calls for duties that all nodes together may make.
    pub fn new(calls_per_s: f64) -> Self {
        let min_pause_ms = 1_000.0 / (calls_per_s * RATE_SHARE).max(0.1);
        let first_pause_ms = (min_pause_ms as u64).max(MIN_PAUSE_MS);
        Self { first_pause_ms, pause_ms: first_pause_ms, next_call: Tick(0), highest_superseded: None }
    }

    /// Resets the pause: a new tenure began.
    pub fn reset_pause(&mut self) {
        self.pause_ms = self.first_pause_ms;
    }

    /// Whether a call may be made now. Once the platform has called a fencing token superseded, none is made
    /// under it or a lower one.
    pub fn may_call(&self, fencing_token: FencingToken, now: Tick) -> bool {
        let superseded = self.highest_superseded.is_some_and(|highest| fencing_token <= highest);
        !superseded && now >= self.next_call
    }

    /// Records the outcome of a call.
    pub fn record_outcome(&mut self, fencing_token: FencingToken, outcome: CallOutcome, now: Tick) {
        if outcome == CallOutcome::Superseded {
            self.highest_superseded = self.highest_superseded.max(Some(fencing_token));
        }
        self.pause_ms = match outcome {
            CallOutcome::Unknown => (self.pause_ms * 2).min(MAX_PAUSE_MS.max(self.first_pause_ms)),
            _ => self.first_pause_ms,
        };
        self.next_call = now + self.pause_ms;
    }
}
