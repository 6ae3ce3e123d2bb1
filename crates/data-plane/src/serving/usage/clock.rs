//! The time of day as most routers see it. One machine's clock may jump by seconds; the median of several machines'
//! clocks isn't affected by that. Pure.

use common::Tick;

/// Maximum error of the median of several clocks, in milliseconds.
const MEDIAN_ERROR_MS: u64 = 500;
/// Maximum error of the median of one or two clocks, in milliseconds.
const FEW_CLOCKS_ERROR_MS: u64 = 10_000;
/// Smallest number of clocks whose median has the smaller of these errors.
const MIN_CLOCKS_FOR_MEDIAN: usize = 3;

/// Offset of a machine's time of day from this router's monotonic clock, in milliseconds.
pub fn clock_offset(time_of_day_ms: u64, at: Tick) -> i64 {
    time_of_day_ms as i64 - at.0 as i64
}

/// Converts between this router's monotonic clock and the time of day, by the median of several machines' clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MedianClock {
    offset_ms: i64,
    clocks: usize,
}

impl MedianClock {
    /// The median of the offsets of different machines; `None` unless they are more than half of all machines.
    pub fn of(mut offsets: Vec<i64>, machines: usize) -> Option<Self> {
        if 2 * offsets.len() <= machines && !common::mutation::enabled("usage-any-clock") {
            return None;
        }
        offsets.sort_unstable();
        let offset_ms = *offsets.get(offsets.len() / 2)?;
        Some(Self { offset_ms, clocks: offsets.len() })
    }

    /// The time of day at `at`, in milliseconds since 1970.
    pub fn time_of_day(&self, at: Tick) -> u64 {
        u64::try_from(at.0 as i64 + self.offset_ms).unwrap_or(0)
    }

    /// When the monotonic clock reaches that time of day.
    pub fn tick_at(&self, time_of_day_ms: u64) -> Tick {
        Tick(u64::try_from(time_of_day_ms as i64 - self.offset_ms).unwrap_or(0))
    }

    /// Maximum error of the time of day, in milliseconds.
    pub fn error_ms(&self) -> u64 {
        if self.clocks < MIN_CLOCKS_FOR_MEDIAN { FEW_CLOCKS_ERROR_MS } else { MEDIAN_ERROR_MS }
    }

    /// Difference between two clocks' times of day, in milliseconds.
    pub fn difference_ms(&self, other: &Self) -> u64 {
        self.offset_ms.abs_diff(other.offset_ms)
    }
}
