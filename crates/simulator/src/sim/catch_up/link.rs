//! A link between two voters: delay, bandwidth, and the TCP slow start of an idle connection for long messages.

use rand::{Rng, rngs::SmallRng};

/// Bytes that an idle connection sends before the first acknowledgement: ten segments.
const INITIAL_WINDOW_BYTES: usize = 14_600;
/// Messages longer than this use a connection of their own, as in the daemon.
const BULK_BYTES: usize = 64 << 10;
/// Largest deviation of a message's delay, as a fraction of the link's delay.
const JITTER: f64 = 0.1;

/// Delay and bandwidth of all links.
#[derive(Clone, Copy, Debug)]
pub struct LinkSpeed {
    /// One-way delay.
    pub delay_ms: u64,
    /// Bandwidth.
    pub mbit_s: u64,
}

/// One direction between two voters. Messages on one connection keep their order.
#[derive(Clone, Copy, Debug, Default)]
pub struct Link {
    /// Time until which the connections for short and for long messages are busy sending.
    busy_until_ms: [f64; 2],
    /// Time at which the last message of each connection arrives.
    last_arrival_ms: [f64; 2],
}

impl Link {
    /// Sends a message of that length, and returns the time at which it arrives.
    pub fn send(&mut self, now: u64, length: usize, speed: LinkSpeed, rng: &mut SmallRng) -> u64 {
        let class = usize::from(length > BULK_BYTES);
        let bytes_per_ms = speed.mbit_s as f64 * 125.0;
        let delay = speed.delay_ms as f64 * rng.random_range(1.0 - JITTER..1.0 + JITTER);
        let starts = self.busy_until_ms[class].max(now as f64);
        self.busy_until_ms[class] = starts + length as f64 / bytes_per_ms;
        let slow_start = 2.0 * delay * f64::from(round_trips(length));
        let arrives = (self.busy_until_ms[class] + delay + slow_start).max(self.last_arrival_ms[class]);
        self.last_arrival_ms[class] = arrives;
        arrives.ceil() as u64
    }
}

/// Round trips before the last byte of a message may be sent, with a window that doubles in each.
fn round_trips(bytes: usize) -> u32 {
    (bytes / INITIAL_WINDOW_BYTES + 1).ilog2()
}
