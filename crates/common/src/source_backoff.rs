//! Backoff from sources of updates or reports that do not answer (design 3.3, 9.3). Pure.

use crate::clock::Tick;
use std::{collections::HashMap, hash::Hash};

/// The backoff doubles with each failure in a row, at most this many times.
const MAX_DOUBLINGS: u32 = 3;

/// Sources that have failed since they last answered, by their names or addresses.
#[derive(Debug)]
pub struct SourceBackoff<S> {
    failed: HashMap<S, FailedSource>,
}

impl<S> Default for SourceBackoff<S> {
    fn default() -> Self {
        Self { failed: HashMap::new() }
    }
}

#[derive(Clone, Copy, Debug)]
struct FailedSource {
    /// Failures in a row.
    failures: u32,
    /// The source is not asked before this time.
    until: Tick,
}

impl<S: Eq + Hash> SourceBackoff<S> {
    /// Whether a source may be asked now.
    pub fn is_available(&self, source: &S, now: Tick) -> bool {
        self.failed.get(source).is_none_or(|failed| failed.until <= now)
    }

    /// Records a failure. The source is asked again after `base_ms`, and after twice as long with each further
    /// failure in a row. Other failed sources that are due earlier also wait for `base_ms`: a call to a silent source
    /// takes long, and several of them in a row would take longer than what they send stays valid.
    pub fn fail(&mut self, source: S, now: Tick, base_ms: u64) {
        let failures = self.failed.get(&source).map_or(0, |failed| failed.failures);
        let until = now + (base_ms << failures.min(MAX_DOUBLINGS));
        for other in self.failed.values_mut() {
            other.until = other.until.max(now + base_ms);
        }
        self.failed.insert(source, FailedSource { failures: failures + 1, until });
    }

    /// Records an answer: earlier failures no longer count.
    pub fn succeed(&mut self, source: &S) {
        self.failed.remove(source);
    }
}
