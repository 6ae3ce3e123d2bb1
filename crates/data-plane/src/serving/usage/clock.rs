//! The time of day as most routers see it. One machine's may jump by seconds; the median of many does not. Pure.

use common::Tick;

/// How far the median of several clocks may be off, in milliseconds.
const SEVERAL_CLOCKS_MS: u64 = 500;
/// How far that of one or two may be off.
const FEW_CLOCKS_MS: u64 = 10_000;
/// So many clocks count as several.
const SEVERAL: usize = 3;

/// The time of day less the own monotonic time, in milliseconds, by one machine's clock.
pub fn clock_offset(time_of_day_ms: u64, at: Tick) -> i64 {
    time_of_day_ms as i64 - at.0 as i64
}

/// The time of day by the own monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MedianClock {
    offset_ms: i64,
    clocks: usize,
}

impl MedianClock {
    /// The median of samples of different machines, where those are more than half of all.
    pub fn of(mut samples: Vec<i64>, machines: usize) -> Option<Self> {
        if 2 * samples.len() <= machines && !common::mutation::enabled("usage-any-clock") {
            return None;
        }
        samples.sort_unstable();
        let offset_ms = *samples.get(samples.len() / 2)?;
        Some(Self { offset_ms, clocks: samples.len() })
    }

    /// The time of day, in milliseconds since 1970.
    pub fn time_of_day(&self, at: Tick) -> u64 {
        u64::try_from(at.0 as i64 + self.offset_ms).unwrap_or(0)
    }

    /// When it was or will be that time.
    pub fn tick_at(&self, time_of_day_ms: u64) -> Tick {
        Tick(u64::try_from(time_of_day_ms as i64 - self.offset_ms).unwrap_or(0))
    }

    /// How far it may be off, in milliseconds.
    pub fn error_ms(&self) -> u64 {
        if self.clocks < SEVERAL { FEW_CLOCKS_MS } else { SEVERAL_CLOCKS_MS }
    }

    /// By how much two differ, in milliseconds.
    pub fn difference_ms(&self, other: &Self) -> u64 {
        self.offset_ms.abs_diff(other.offset_ms)
    }
}
