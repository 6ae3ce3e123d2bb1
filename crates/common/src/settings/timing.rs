//! Time bounds (design 1.3).

use eyre::{Result, ensure};
use serde::{Deserialize, Serialize};

/// The bounds; every other span of time is a ratio to one of these (design 1.3).
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Length of a lease, in milliseconds.
    pub lease_ms: u64,
    /// Time between two health checks of a replica, in milliseconds.
    pub probe_interval_ms: u64,
    /// Failed health checks in a row after which a replica counts as down.
    pub probe_failures: u32,
    /// Longest wait for a response between nodes, in milliseconds.
    pub rpc_timeout_ms: u64,
    /// Longest drain after SIGTERM, in milliseconds.
    pub drain_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ms: 2_000,
            probe_interval_ms: 1_000,
            probe_failures: 3,
            rpc_timeout_ms: 500,
            drain_ms: 60_000,
        }
    }
}

/// Shortest interval that is derived from another one, in milliseconds.
const MIN_INTERVAL_MS: u64 = 10;

impl Timing {
    /// Time between two renewals of a lease.
    pub fn renew_interval_ms(&self) -> u64 {
        self.lease_ms / 4
    }
    /// Time between two heartbeats of a leader.
    pub fn heartbeat_ms(&self) -> u64 {
        self.lease_ms / 20
    }
    /// Silence of a leader after which a voter stands for election.
    pub fn election_timeout_ms(&self) -> u64 {
        self.lease_ms / 2
    }
    /// Added by the leader before it takes a lease as expired.
    pub fn lease_margin_ms(&self) -> u64 {
        self.lease_ms / 8
    }
    /// Time without a finished sync after which a leader stops counting as one.
    pub fn sync_timeout_ms(&self) -> u64 {
        self.lease_ms / 2
    }
    /// Age at which load reports no longer count.
    pub fn report_max_age_ms(&self) -> u64 {
        self.probe_interval_ms * u64::from(self.probe_failures)
    }
    /// Time between two looks at the load.
    pub fn report_interval_ms(&self) -> u64 {
        (self.probe_interval_ms / 4).max(MIN_INTERVAL_MS)
    }
    /// Time within which the placement table must answer.
    pub fn placement_timeout_ms(&self) -> u64 {
        (self.rpc_timeout_ms / 5).max(MIN_INTERVAL_MS)
    }

    pub(super) fn check(&self) -> Result<()> {
        let failures = u64::from(self.probe_failures);
        for (field, value, least, most) in [
            ("timing.lease_ms", self.lease_ms, 400, 60_000),
            ("timing.probe_interval_ms", self.probe_interval_ms, 50, 60_000),
            ("timing.probe_failures", failures, 1, 100),
            ("timing.rpc_timeout_ms", self.rpc_timeout_ms, 50, 10_000),
            ("timing.drain_ms", self.drain_ms, 0, 3_600_000),
        ] {
            ensure!((least..=most).contains(&value), "{field}: {value}; allowed: {least} to {most}");
        }
        Ok(())
    }
}
