//! Monotonic time as the protocols see it (design 1.3). Wall time is for logs only.

use serde::{Deserialize, Serialize};
use std::{
    ops::{Add, Sub},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Milliseconds on the holder's own monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tick(pub u64);

impl Tick {
    pub fn since(self, past: Tick) -> u64 {
        self.0.saturating_sub(past.0)
    }
}

impl Add<u64> for Tick {
    type Output = Tick;
    fn add(self, ms: u64) -> Tick {
        Tick(self.0 + ms)
    }
}

impl Sub<u64> for Tick {
    type Output = Tick;
    fn sub(self, ms: u64) -> Tick {
        Tick(self.0.saturating_sub(ms))
    }
}

/// The daemons' clock: counts from a start that lies a day back, so that `now - span` never
/// underflows for the spans in use.
#[derive(Clone, Debug)]
pub struct Clock {
    start: Instant,
}

const HEAD_START_MS: u64 = 86_400_000;

impl Default for Clock {
    fn default() -> Self {
        Self { start: Instant::now() }
    }
}

impl Clock {
    pub fn now(&self) -> Tick {
        Tick(HEAD_START_MS + self.start.elapsed().as_millis() as u64)
    }
}

/// Wall time in milliseconds, for log lines and for unique names only.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_millis() as u64
}
