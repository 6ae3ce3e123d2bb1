//! For how long a node has held the duty without a break (design 9.10). Pure.
//!
//! A former holder may act, and may take itself for the holder, for a while after the change: its lease is valid, and
//! its copy of the state is old. All spans here are made of that while.

use super::UsageDuty;
use common::{FencingToken, Tick, mutation::enabled as broken, settings::Timing};

/// Spans that keep the holders apart, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct HandoverSpans {
    /// Longest time between two looks at who holds the duty: another node may have held it meanwhile.
    pub max_unwatched_ms: u64,
    /// Longest time for which a node may act as the holder after the change: by a valid lease, and by a copy of the
    /// state that it doesn't yet know to lag.
    pub max_overlap_ms: u64,
    /// From the begin of a tenure until the first window that only its holder can have decided ends.
    pub undecided_ms: u64,
    /// From the begin of a tenure until its first call.
    pub quiet_ms: u64,
    /// Longest wait for the answer to a call.
    pub call_timeout_ms: u64,
}

/// Longest wait for the platform's answer, in milliseconds.
const CALL_MS: u64 = 2_000;

impl HandoverSpans {
    /// The spans for a duty.
    pub fn of(duty: &UsageDuty, timing: &Timing) -> Self {
        let unwatched = timing.lease_ms;
        let overlap = timing.lease_ms + timing.election_timeout_ms();
        let call = CALL_MS;
        Self {
            max_unwatched_ms: unwatched,
            max_overlap_ms: overlap,
            // Another one may have held it unseen for `unwatched` and an old copy, and gone on after that.
            undecided_ms: unwatched + 2 * overlap + timing.rpc_timeout_ms,
            quiet_ms: duty.reacquire_pause_ms + overlap + call + timing.rpc_timeout_ms,
            call_timeout_ms: call,
        }
    }
}

/// An unbroken time as the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tenure {
    /// Tenures of this process are counted.
    pub number: u64,
    /// When this node first saw that it holds the duty.
    pub began: Tick,
    /// Under which it acts now.
    pub fencing_token: FencingToken,
    seen: Tick,
}

/// Watches whether this node holds the duty.
#[derive(Debug, Default)]
pub struct TenureWatch {
    tenures: u64,
    current: Option<Tenure>,
}

impl TenureWatch {
    /// Takes a look: the fencing token under which this node holds the duty now, if it does.
    pub fn observe(&mut self, held: Option<FencingToken>, unwatched_ms: u64, now: Tick) -> Option<Tenure> {
        let goes_on = |tenure: &Tenure, token: FencingToken| {
            let watched = now.since(tenure.seen) <= unwatched_ms || broken("usage-gap-unseen");
            watched && token >= tenure.fencing_token
        };
        self.current = held.map(|token| match self.current {
            Some(tenure) if goes_on(&tenure, token) => Tenure { fencing_token: token, seen: now, ..tenure },
            _ => {
                self.tenures += 1;
                Tenure { number: self.tenures, began: now, fencing_token: token, seen: now }
            }
        });
        self.current
    }

    /// The tenure as of the last look.
    pub fn current(&self) -> Option<Tenure> {
        self.current
    }
}
