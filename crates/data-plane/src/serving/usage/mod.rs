//! Usage reports (design 9.10): one router at a time, the holder of the usage duty, tells the platform for each
//! window of the time of day how many requests of each tenant started to run in it. The platform must never receive
//! two different counts for one window.
//!
//! - [`recorder`]: the starts that each router saw, by its own monotonic clock.
//! - [`clock`]: the time of day as most routers see it.
//! - [`decisions`]: counts that a holder has decided, as other routers store them.
//! - [`messages`]: requests of the holder to the other routers, and their answers.
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

/// The usage duty as the platform configures it.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageDuty {
    /// Where the platform takes reports.
    pub address: SocketAddr,
    /// The name under which this node holds the duty.
    pub holder: String,
    /// Length of a window, in milliseconds.
    pub window_ms: u64,
    /// Time from a window's end until its report is due, in milliseconds.
    pub delay_ms: u64,
    /// If another node has acted as the holder in between, a former holder must not act again for this long after it
    /// last acted, in milliseconds.
    pub reacquire_pause_ms: u64,
    /// Calls for duties per second that all nodes together may make.
    pub calls_per_s: f64,
    /// Machines that may fail at the same time.
    pub max_lost_machines: usize,
}

impl UsageDuty {
    /// How long a router remembers a start, in milliseconds: until the report on its window is due, and one more
    /// window.
    pub fn retention_ms(&self) -> u64 {
        2 * self.window_ms + self.delay_ms
    }

    /// Number of routers that store a decision besides the holder.
    pub fn copies(&self) -> usize {
        const MIN_COPIES: usize = 2;
        self.max_lost_machines.max(MIN_COPIES)
    }
}

impl Serving {
    /// Records that a request started to run at a replica at that time; it counts as usage of its tenant.
    pub fn note_start(&self, plan: &Plan, at: Tick) {
        if let Some(tenant) = &plan.tenant {
            lock(&self.router.usage.starts).record(&tenant.name, at, self.now());
        }
    }
}
