//! Retry budget (design 5.8): requests earn tokens and retries spend them, so that retries are a bounded share of the
//! requests of each node, and thereby of all nodes.

use std::sync::atomic::{AtomicI64, Ordering};

/// One token, in the unit of the counter.
const TOKEN: i64 = 1_000_000;
/// Most that can be saved up.
const MAX_SAVED: i64 = 10 * TOKEN;

/// The tokens that this node has saved up.
#[derive(Debug)]
pub struct RetryBudget(AtomicI64);

impl Default for RetryBudget {
    /// A new node starts with two tokens, so that its first requests can be retried too.
    fn default() -> Self {
        Self(AtomicI64::new(2 * TOKEN))
    }
}

impl RetryBudget {
    /// Adds a request's share of a token.
    pub fn earn(&self, share: f64) {
        let earned = (share * TOKEN as f64) as i64;
        let _ = self
            .0
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |saved| Some((saved + earned).min(MAX_SAVED)));
    }

    /// Takes a token for a retry; false if there is none.
    pub fn spend(&self) -> bool {
        if common::mutation::enabled("boundless-goes") {
            return true;
        }
        self.0
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |saved| {
                (saved >= TOKEN).then(|| saved - TOKEN)
            })
            .is_ok()
    }
}
