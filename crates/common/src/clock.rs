//! Monotonic time for the protocols (design 1.3), and wall time for logs and for outside observers.

use serde::{Deserialize, Serialize};
use std::{
    ops::{Add, Sub},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// A point in time: milliseconds on the monotonic clock of the node that holds it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Tick(pub u64);

impl Tick {
    /// Milliseconds since `earlier`; 0 if `earlier` is in fact later.
    pub fn since(self, earlier: Tick) -> u64 {
        self.0.saturating_sub(earlier.0)
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

/// The monotonic clock of a process.
///
/// The daemons' clock keeps counting while the machine is suspended, so that leases held before a suspension have
/// expired after it. It starts at one day instead of zero, so that subtracting any duration in use never underflows.
#[derive(Clone, Debug)]
pub struct Clock(Source);

#[derive(Clone, Debug)]
enum Source {
    /// `CLOCK_BOOTTIME`: unlike the clock behind `Instant`, it keeps counting during suspension.
    Boot,
    /// Advanced by tests.
    Manual(Arc<AtomicU64>),
}

/// Time that a clock shows when its source is at zero: one day.
const ORIGIN_MS: u64 = 86_400_000;

impl Default for Clock {
    fn default() -> Self {
        Self(Source::Boot)
    }
}

impl Clock {
    /// The current time.
    pub fn now(&self) -> Tick {
        let ms = match &self.0 {
            Source::Boot => crate::runtime::virtual_ms().unwrap_or_else(boot_ms),
            Source::Manual(ms) => ms.load(Ordering::Acquire),
        };
        Tick(ORIGIN_MS + ms)
    }

    /// A clock that advances only when the returned counter of milliseconds is changed.
    pub fn manual() -> (Self, Arc<AtomicU64>) {
        let ms = Arc::new(AtomicU64::new(0));
        (Self(Source::Manual(ms.clone())), ms)
    }
}

fn boot_ms() -> u64 {
    let time = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
    time.map(|time| Duration::from(time).as_millis() as u64).expect("Linux has CLOCK_BOOTTIME since 2.6.39")
}

/// Wall time in milliseconds since 1970, only for log lines and unique names.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_millis() as u64
}

/// Wall time in milliseconds since 1970 on this machine's clock, which may jump and differ from other machines' clocks.
/// Only for what outsiders measure by the time of day. In a simulation it is the simulated host's time of day.
pub fn time_of_day_ms() -> u64 {
    crate::runtime::virtual_time_of_day_ms().unwrap_or_else(wall_ms)
}
