//! Durations in the settings of a node, and those derived from them (design 1.3).

use eyre::{Result, ensure};
use serde::{Deserialize, Serialize};

/// The durations that can be set; all other durations of the protocols are derived from these (design 1.3).
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Length of a lease, in milliseconds.
    pub lease_ms: u64,
    /// Time between two health checks of a replica, in milliseconds.
    pub probe_interval_ms: u64,
    /// Consecutive failed health checks after which a replica counts as down.
    pub probe_failures: u32,
    /// Longest wait for a response between nodes, in milliseconds.
    pub rpc_timeout_ms: u64,
    /// Longest time to finish open requests after SIGTERM, in milliseconds.
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

/// Lower bound of the derived intervals.
const MIN_INTERVAL_MS: u64 = 10;

impl Timing {
    /// Interval between renewals of a lease.
    pub fn renew_interval_ms(&self) -> u64 {
        self.lease_ms / 4
    }
    /// Interval between heartbeats of a leader.
    pub fn heartbeat_ms(&self) -> u64 {
        self.lease_ms / 20
    }
    /// Time without a message from the leader after which a voter starts an election.
    pub fn election_timeout_ms(&self) -> u64 {
        self.lease_ms / 2
    }
    /// Margin that the leader adds to a lease before it treats the lease as expired.
    pub fn lease_margin_ms(&self) -> u64 {
        self.lease_ms / 8
    }
    /// Longest time that a disk sync may take on a leader before it stops acting as leader.
    pub fn sync_timeout_ms(&self) -> u64 {
        self.lease_ms / 2
    }
    /// Age above which load reports are ignored.
    pub fn report_max_age_ms(&self) -> u64 {
        self.probe_interval_ms * u64::from(self.probe_failures)
    }
    /// Interval between load reports.
    pub fn report_interval_ms(&self) -> u64 {
        (self.probe_interval_ms / 4).max(MIN_INTERVAL_MS)
    }
    /// Timeout of requests to the placement table.
    pub fn placement_timeout_ms(&self) -> u64 {
        (self.rpc_timeout_ms / 5).max(MIN_INTERVAL_MS)
    }

    pub(super) fn check(&self) -> Result<()> {
        let failures = u64::from(self.probe_failures);
        for (field, value, min, max) in [
            ("timing.lease_ms", self.lease_ms, 400, 60_000),
            ("timing.probe_interval_ms", self.probe_interval_ms, 50, 60_000),
            ("timing.probe_failures", failures, 1, 100),
            ("timing.rpc_timeout_ms", self.rpc_timeout_ms, 50, 10_000),
            ("timing.drain_ms", self.drain_ms, 0, 3_600_000),
        ] {
            ensure!((min..=max).contains(&value), "{field}: {value}; allowed: {min} to {max}");
        }
        Ok(())
    }
}
