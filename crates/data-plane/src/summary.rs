//! Recent events of a router, and the summary that is computed from all of them (design 1.5). Both are shown at
//! `/foldshunt/journal`.

use common::{Epoch, ReplicaId, Revision, Tick, event_log::View};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Number of recent events that are kept.
pub const RETAINED_EVENTS: usize = 256;

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The configuration of this revision came into force.
    Governs(Revision),
    /// This node became a member of the cluster under this epoch.
    Member(Epoch),
    /// This node was cut off from the cluster, or is no longer.
    CutOff(bool),
    /// A replica that this node probes became healthy or unhealthy.
    Health {
        /// The replica.
        replica: ReplicaId,
        /// Whether it is healthy now.
        healthy: bool,
    },
    /// A request was rejected, for this reason.
    #[serde(rename = "bounced")]
    Rejected(String),
    /// A request ended with unknown outcome, at this step.
    Unknown(String),
}

/// An entry of the event log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Event {
    /// When it happened.
    pub at: Tick,
    /// What happened.
    pub what: EventKind,
}

/// What all events so far add up to.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Epoch of this node's membership.
    pub epoch: Epoch,
    /// Whether this node is cut off from the cluster.
    pub cut_off: bool,
    /// Replicas that this node, as the publisher of their load reports, found unhealthy.
    #[serde(rename = "unwell")]
    pub unhealthy: BTreeSet<ReplicaId>,
    /// Number of rejected requests by reason.
    #[serde(rename = "bounced")]
    pub rejected: BTreeMap<String, u64>,
    /// Number of requests with unknown outcome by step.
    pub unknown: BTreeMap<String, u64>,
    /// When the last event happened.
    pub last: Tick,
}

impl View<Event> for Summary {
    fn apply(&mut self, event: &Event) {
        self.last = event.at;
        match &event.what {
            // Revision and epoch never decrease, whatever the order of the events.
            EventKind::Governs(revision) => self.revision = self.revision.max(*revision),
            EventKind::Member(epoch) => self.epoch = self.epoch.max(*epoch),
            EventKind::CutOff(cut_off) => self.cut_off = *cut_off,
            EventKind::Health { replica, healthy: true } => drop(self.unhealthy.take(replica)),
            EventKind::Health { replica, healthy: false } => drop(self.unhealthy.replace(replica.clone())),
            EventKind::Rejected(reason) => *self.rejected.entry(reason.clone()).or_default() += 1,
            EventKind::Unknown(step) => *self.unknown.entry(step.clone()).or_default() += 1,
        }
    }
}
