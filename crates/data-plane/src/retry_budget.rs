//! Goes beyond the first (design 5.8): tokens come as a share of real requests, so that the sum
//! over all nodes keeps the same share.

use std::sync::atomic::{AtomicI64, Ordering};

const UNIT: i64 = 1_000_000;
/// Most tokens that can be saved up.
const CAP: i64 = 10 * UNIT;

#[derive(Debug)]
pub struct RetryBudget(AtomicI64);

impl Default for RetryBudget {
    /// A new node has two saved, so that its first requests are not the worse off.
    fn default() -> Self {
        Self(AtomicI64::new(2 * UNIT))
    }
}

impl RetryBudget {
    pub fn earn(&self, share: f64) {
        let add = (share * UNIT as f64) as i64;
        let _ = self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, |v| Some((v + add).min(CAP)));
    }

    pub fn spend(&self) -> bool {
        if common::mutation::enabled("boundless-goes") {
            return true;
        }
        self.0.fetch_update(Ordering::AcqRel, Ordering::Acquire, |v| (v >= UNIT).then(|| v - UNIT)).is_ok()
    }
}
