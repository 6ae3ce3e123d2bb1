//! For how long a node has held the duty without interruption (design 9.10). Pure.
//!
//! For a while after the duty has passed on, a former holder may still consider itself the holder and act: its lease
//! is still valid, and its copy of the cluster state outdated. All safety margins here derive from the length of that
//! period.

use super::UsageDuty;
use common::{FencingToken, Tick, mutation, settings::Timing};

/// Safety margins that keep two holders from acting at once, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct HandoverSpans {
    /// Longest time between two observations of the holder within one tenure: in a longer gap another node may have
    /// been the holder unnoticed.
    pub max_unwatched_ms: u64,
    /// Longest time for which a former holder may act after the duty has passed on: by a lease that is still valid,
    /// and by a copy of the cluster state that it doesn't know to be outdated yet.
    pub max_overlap_ms: u64,
    /// Time from the start of a tenure until the end of the first window that no other holder can have decided.
    pub undecided_ms: u64,
    /// Time from the start of a tenure until its first call.
    pub quiet_ms: u64,
    /// Timeout of a call to the platform.
    pub call_timeout_ms: u64,
}

/// Timeout of a call to the platform, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_000;

impl HandoverSpans {
    /// The margins for a duty.
    pub fn of(duty: &UsageDuty, timing: &Timing) -> Self {
        let unwatched_ms = timing.lease_ms;
        let overlap_ms = timing.lease_ms + timing.election_timeout_ms();
        let call_timeout_ms = CALL_TIMEOUT_MS;
        Self {
            max_unwatched_ms: unwatched_ms,
            max_overlap_ms: overlap_ms,
            // Another node may have held the duty unnoticed for `unwatched_ms` and while the copy of the state was
            // outdated, and may have acted for another overlap after that.
            undecided_ms: unwatched_ms + 2 * overlap_ms + timing.rpc_timeout_ms,
            quiet_ms: duty.reacquire_pause_ms + overlap_ms + call_timeout_ms + timing.rpc_timeout_ms,
            call_timeout_ms,
        }
    }
}

/// A time without interruption as the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Number of the tenure, counted by this process.
    pub number: u64,
    /// When this node first observed that it holds the duty.
    pub began: Tick,
    /// The fencing token under which it acts now.
    pub fencing_token: FencingToken,
    /// When it was last observed.
    last_observed: Tick,
}

/// Observes whether this node holds the duty.
#[derive(Debug, Default)]
pub struct TenureWatch {
    tenures: u64,
    current: Option<Tenure>,
}

impl TenureWatch {
    /// Records an observation: the fencing token under which this node holds the duty now, if it does. Returns the
    /// tenure.
    pub fn observe(
        &mut self,
        held: Option<FencingToken>,
        max_unwatched_ms: u64,
        now: Tick,
    ) -> Option<Tenure> {
        let continues = |tenure: &Tenure, token: FencingToken| {
            let was_watched =
                now.since(tenure.last_observed) <= max_unwatched_ms || mutation::enabled("usage-gap-unseen");
            was_watched && token >= tenure.fencing_token
        };
        self.current = held.map(|token| match self.current {
            Some(tenure) if continues(&tenure, token) => {
                Tenure { fencing_token: token, last_observed: now, ..tenure }
            }
            _ => {
                self.tenures += 1;
                Tenure { number: self.tenures, began: now, fencing_token: token, last_observed: now }
            }
        });
        self.current
    }

    /// The tenure as of the last observation.
    pub fn current(&self) -> Option<Tenure> {
        self.current
    }
}
