//! Reports of usage (design 9.10): one router at a time tells the platform, for each window of the time of day, how many
//! requests of each tenant began to run in it. For one window the platform must never be told two different counts.
//!
//! - [`recorder`]: what each router saw begin, by its own monotonic clock.
//! - [`clock`]: the time of day as most routers see it.
//! - [`decisions`]: counts that a holder has fixed, as other routers keep them.
//! - [`tenure`], [`plan`], [`pacing`]: who may act, what is to be done for each window, and when; pure.
//! - [`holder`], [`peer_queries`], [`call`]: the tasks of the holder.

pub mod call;
pub mod clock;
pub mod decisions;
pub mod holder;
pub mod messages;
pub mod pacing;
pub mod peer_queries;
pub mod plan;
pub mod recorder;
pub mod tenure;

pub use decisions::UsageReport;
pub use messages::{UsageRecord, UsageRequest, UsageResponse};

use super::{plan::Plan, state::Serving};
use crate::router::lock;
use common::Tick;
use std::net::SocketAddr;

/// The duty as the platform gives it.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageDuty {
    /// Where the platform takes reports.
    pub address: SocketAddr,
    /// The name under which this node holds the duty.
    pub holder: String,
    /// Length of a window.
    pub window_ms: u64,
    /// Time from a window's end until its report is due.
    pub delay_ms: u64,
    /// A holder must not act so soon after it acted before, if another one acted in between.
    pub reacquire_pause_ms: u64,
    /// Calls for duties a second, of all nodes together.
    pub calls_per_s: f64,
    /// Machines that may be lost at once.
    pub max_lost_machines: usize,
}

impl UsageDuty {
    /// For how long a router remembers what began: until its window's report is due, and one window more.
    pub fn retention_ms(&self) -> u64 {
        2 * self.window_ms + self.delay_ms
    }

    /// Routers that keep a decision beside the holder.
    pub fn copies(&self) -> usize {
        const LEAST_COPIES: usize = 2;
        self.max_lost_machines.max(LEAST_COPIES)
    }
}

impl Serving {
    /// A request began to run at a replica at that time, which counts as use by its tenant.
    pub fn note_start(&self, plan: &Plan, at: Tick) {
        if let Some(tenant) = &plan.tenant {
            lock(&self.router.usage.starts).record(&tenant.name, at, self.now());
        }
    }
}
