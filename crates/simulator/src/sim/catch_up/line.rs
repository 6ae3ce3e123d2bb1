//! A line between two voters: delay, rate, and what a connection that was idle adds for long messages.

use rand::{Rng, rngs::SmallRng};

/// Bytes that a connection sends before the first acknowledgement: ten segments.
const FIRST_WINDOW: usize = 14_600;
/// Longer messages take a connection of their own, as in the daemon.
const BULK: usize = 64 << 10;
/// Most that a message's delay differs from the line's, as a part of it.
const JITTER: f64 = 0.1;

/// What all lines have in common.
#[derive(Clone, Copy, Debug)]
pub struct LineSpeed {
    pub delay_ms: u64,
    pub mbit_s: u64,
}

/// One way between two voters; messages on one connection keep their order.
#[derive(Clone, Copy, Debug, Default)]
pub struct Line {
    /// Until when short and long messages occupy their connections.
    open_count: [f64; 2],
    /// When the last of each arrives.
    arrives: [f64; 2],
}

impl Line {
    /// When a message of that length that is sent now arrives.
    pub fn send(&mut self, now: u64, bytes: usize, speed: LineSpeed, rng: &mut SmallRng) -> u64 {
        let kind = usize::from(bytes > BULK);
        let bytes_a_ms = speed.mbit_s as f64 * 125.0;
        let delay = speed.delay_ms as f64 * rng.random_range(1.0 - JITTER..1.0 + JITTER);
        let starts = self.open_count[kind].max(now as f64);
        self.open_count[kind] = starts + bytes as f64 / bytes_a_ms;
        let slow_start = 2.0 * delay * f64::from(round_trips(bytes));
        let arrives = (self.open_count[kind] + delay + slow_start).max(self.arrives[kind]);
        self.arrives[kind] = arrives;
        arrives.ceil() as u64
    }
}

/// Round trips that a growing window costs before the last byte of a message may go.
fn round_trips(bytes: usize) -> u32 {
    (bytes / FIRST_WINDOW + 1).ilog2()
}
