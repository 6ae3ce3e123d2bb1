//! Queue of requests that wait for a replica with room (design 5.9). It is bounded and ordered by deadline, and it
//! rejects a request at once if its deadline can't be met.

use common::Tick;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// The waiting requests, and how fast room becomes free.
#[derive(Debug, Default)]
pub struct RequestQueue {
    waiting: BTreeMap<(Tick, u64), oneshot::Sender<()>>,
    serial: u64,
    /// Smoothed time between two requests that end, in milliseconds.
    gap_ms: f64,
    last_free: Option<Tick>,
}

/// Why a request may not wait.
#[derive(Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The queue is full.
    Full,
    /// Too many requests with earlier deadlines are waiting for its own deadline to be met.
    Late,
}

impl RequestQueue {
    /// Queues a request by its deadline, or rejects it at once. Returns its place, and a receiver that is notified when
    /// it should try again.
    pub fn join(
        &mut self,
        deadline: Tick,
        bound: usize,
        now: Tick,
    ) -> Result<((Tick, u64), oneshot::Receiver<()>), Rejection> {
        if self.waiting.len() >= bound {
            return Err(Rejection::Full);
        }
        let before = self.waiting.range(..(deadline, u64::MAX)).count() as f64;
        if (before + 1.0) * self.gap_ms > deadline.since(now) as f64 {
            return Err(Rejection::Late);
        }
        let (sender, receiver) = oneshot::channel();
        self.serial += 1;
        let place = (deadline, self.serial);
        self.waiting.insert(place, sender);
        Ok((place, receiver))
    }

    /// Takes a request out of the queue.
    pub fn leave(&mut self, place: &(Tick, u64)) {
        self.waiting.remove(place);
    }

    /// Wakes the request with the earliest deadline after another request has ended.
    pub fn wake_next(&mut self, now: Tick) {
        if let Some(last) = self.last_free.replace(now).filter(|_| !self.waiting.is_empty()) {
            let gap = now.since(last).min(10_000) as f64;
            self.gap_ms = if self.gap_ms == 0.0 { gap } else { self.gap_ms * 0.8 + gap * 0.2 };
        }
        while let Some((_, tx)) = self.waiting.pop_first() {
            if tx.send(()).is_ok() {
                return;
            }
        }
        self.gap_ms = 0.0;
    }

    /// Wakes all requests in their order, since a new load report may show room for many.
    pub fn wake_all(&mut self) {
        while let Some((_, tx)) = self.waiting.pop_first() {
            let _ = tx.send(());
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// When a rejected client should try again, in whole seconds.
    pub fn retry_after(&self) -> u64 {
        ((self.waiting.len() as f64 * self.gap_ms / 1000.0).ceil() as u64).clamp(1, 30)
    }
}
