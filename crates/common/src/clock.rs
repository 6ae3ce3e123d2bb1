//! Monotonic time as the protocols see it (design 1.3). Wall time is for logs only.

use serde::{Deserialize, Serialize};
use std::{
    ops::{Add, Sub},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Milliseconds on the holder's own monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tick(pub u64);

impl Tick {
    /// Milliseconds since `past`; 0 where that is later.
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

/// The one clock of a process. The daemons' counts through suspension of the machine, as leases
/// must: a node that slept holds nothing of what it held before. Counts from a start that lies a
/// day back, so that `now - span` never underflows for the spans in use.
#[derive(Clone, Debug)]
pub struct Clock(Source);

#[derive(Clone, Debug)]
enum Source {
    /// Linux counts suspension on this clock, and not on the one behind `Instant`.
    Boot,
    /// Moved by tests.
    Manual(Arc<AtomicU64>),
}

const HEAD_START_MS: u64 = 86_400_000;

impl Default for Clock {
    fn default() -> Self {
        Self(Source::Boot)
    }
}

impl Clock {
    /// The time now.
    pub fn now(&self) -> Tick {
        let ms = match &self.0 {
            Source::Boot => crate::runtime::virtual_ms().unwrap_or_else(boot_ms),
            Source::Manual(ms) => ms.load(Ordering::Acquire),
        };
        Tick(HEAD_START_MS + ms)
    }

    /// A clock that stands still until the returned milliseconds are changed.
    pub fn manual() -> (Self, Arc<AtomicU64>) {
        let ms = Arc::new(AtomicU64::new(0));
        (Self(Source::Manual(ms.clone())), ms)
    }
}

fn boot_ms() -> u64 {
    let t = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
    t.map(|t| Duration::from(t).as_millis() as u64).expect("each Linux since 2.6.39 has this clock")
}

/// Wall time in milliseconds, for log lines and for unique names only.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_millis() as u64
}

/// Wall time in milliseconds as this machine sees it: it may jump, and machines disagree on it. Only for what outsiders
/// measure by the time of day; under a simulation it is the virtual one.
pub fn time_of_day_ms() -> u64 {
    crate::runtime::virtual_time_of_day_ms().unwrap_or_else(wall_ms)
}
