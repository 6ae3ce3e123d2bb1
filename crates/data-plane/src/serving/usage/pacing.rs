//! When the holder may call the platform again, by what became of its calls. Pure.

use super::decisions::UsageReport;
use common::{FencingToken, Tick};
use std::sync::Arc;

/// Shortest pause between two calls, in milliseconds.
const LEAST_PAUSE_MS: u64 = 250;
/// Longest pause after calls that failed.
const MOST_PAUSE_MS: u64 = 2_000;
/// Part of the calls that all nodes may make in a second that one holder makes.
const RATE_SHARE: f64 = 0.25;

/// One call to the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Number of the tenure that it belongs to.
    pub tenure: u64,
    /// Under which it is made.
    pub fencing_token: FencingToken,
    /// What is reported.
    pub report: Arc<UsageReport>,
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The platform has the report.
    Accepted,
    /// It has seen a higher fencing token.
    Superseded,
    /// It will never take it.
    Refused,
    /// Nothing certain: the same call may be made again.
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

/// The pause between calls, and the fencing tokens that were refused.
#[derive(Debug)]
pub struct CallPacing {
    first_pause_ms: u64,
    pause_ms: u64,
    next_call: Tick,
    refused: Option<FencingToken>,
}

impl CallPacing {
    /// Keeps far within the calls for duties that all nodes may make in a second.
    pub fn new(calls_per_s: f64) -> Self {
        let least = 1_000.0 / (calls_per_s * RATE_SHARE).max(0.1);
        let first_pause_ms = (least as u64).max(LEAST_PAUSE_MS);
        Self { first_pause_ms, pause_ms: first_pause_ms, next_call: Tick(0), refused: None }
    }

    /// A tenure begins.
    pub fn reset_pause(&mut self) {
        self.pause_ms = self.first_pause_ms;
    }

    /// Whether a call may be made now: never again under a token that was refused.
    pub fn may_call(&self, fencing_token: FencingToken, now: Tick) -> bool {
        let superseded = self.refused.is_some_and(|refused| fencing_token <= refused);
        !superseded && now >= self.next_call
    }

    /// A call has ended.
    pub fn record_outcome(&mut self, fencing_token: FencingToken, end: CallOutcome, now: Tick) {
        if end == CallOutcome::Superseded {
            self.refused = self.refused.max(Some(fencing_token));
        }
        self.pause_ms = match end {
            CallOutcome::Unknown => (self.pause_ms * 2).min(MOST_PAUSE_MS.max(self.first_pause_ms)),
            _ => self.first_pause_ms,
        };
        self.next_call = now + self.pause_ms;
    }
}
