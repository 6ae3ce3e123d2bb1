//! The request queue (design 5.9): bounded, in order of deadline, and honest at once with those
//! whose deadline can't be met.

use common::Tick;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

#[derive(Debug, Default)]
pub struct RequestQueue {
    rows: BTreeMap<(Tick, u64), oneshot::Sender<()>>,
    serial: u64,
    /// Smoothed time between two places that came free, in milliseconds.
    gap_ms: f64,
    last_free: Option<Tick>,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Rejection {
    Full,
    /// Too many stand before it for its deadline.
    Late,
}

impl RequestQueue {
    /// Takes a place by deadline, or says at once that it would not help.
    pub fn join(
        &mut self,
        deadline: Tick,
        bound: usize,
        now: Tick,
    ) -> Result<((Tick, u64), oneshot::Receiver<()>), Rejection> {
        if self.rows.len() >= bound {
            return Err(Rejection::Full);
        }
        let before = self.rows.range(..(deadline, u64::MAX)).count() as f64;
        if (before + 1.0) * self.gap_ms > deadline.since(now) as f64 {
            return Err(Rejection::Late);
        }
        let (tx, rx) = oneshot::channel();
        self.serial += 1;
        let at = (deadline, self.serial);
        self.rows.insert(at, tx);
        Ok((at, rx))
    }

    pub fn leave(&mut self, at: &(Tick, u64)) {
        self.rows.remove(at);
    }

    /// A place came free: the earliest deadline is woken.
    pub fn wake_next(&mut self, now: Tick) {
        if let Some(last) = self.last_free.replace(now).filter(|_| !self.rows.is_empty()) {
            let gap = now.since(last).min(10_000) as f64;
            self.gap_ms = if self.gap_ms == 0.0 { gap } else { self.gap_ms * 0.8 + gap * 0.2 };
        }
        while let Some((_, tx)) = self.rows.pop_first() {
            if tx.send(()).is_ok() {
                return;
            }
        }
        self.gap_ms = 0.0;
    }

    /// New load reports may show room for many: all look again, in their order.
    pub fn wake_all(&mut self) {
        while let Some((_, tx)) = self.rows.pop_first() {
            let _ = tx.send(());
        }
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// When to come back, in whole seconds.
    pub fn retry_after(&self) -> u64 {
        ((self.rows.len() as f64 * self.gap_ms / 1000.0).ceil() as u64).clamp(1, 30)
    }
}
