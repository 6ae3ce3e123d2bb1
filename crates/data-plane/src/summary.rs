//! What happened at a router lately, and what that adds up to (design 1.5): events appended to
//! the journal, one view folded from them, both shown on `/foldshunt/event_log`.

use common::{Epoch, ReplicaId, Revision, Tick, event_log::View};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Events kept for a look back.
pub const RETAINED_EVENTS: usize = 256;

#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    Governs(Revision),
    Member(Epoch),
    CutOff(bool),
    Health {
        replica: ReplicaId,
        healthy: bool,
    },
    #[serde(rename = "bounced")]
    Rejected(String),
    Unknown(String),
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Event {
    pub at: Tick,
    pub what: EventKind,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    pub revision: Revision,
    pub epoch: Epoch,
    pub cut_off: bool,
    /// Replicas that this node, as their home, found unhealthy.
    #[serde(rename = "unwell")]
    pub unhealthy: BTreeSet<ReplicaId>,
    #[serde(rename = "bounced")]
    pub rejected: BTreeMap<String, u64>,
    pub unknown: BTreeMap<String, u64>,
    pub last: Tick,
}

impl View<Event> for Summary {
    fn apply(&mut self, ev: &Event) {
        self.last = ev.at;
        match &ev.what {
            // What governs never goes back, whatever order events are told in.
            EventKind::Governs(r) => self.revision = self.revision.max(*r),
            EventKind::Member(e) => self.epoch = self.epoch.max(*e),
            EventKind::CutOff(c) => self.cut_off = *c,
            EventKind::Health { replica, healthy: true } => drop(self.unhealthy.take(replica)),
            EventKind::Health { replica, healthy: false } => drop(self.unhealthy.replace(replica.clone())),
            EventKind::Rejected(why) => *self.rejected.entry(why.clone()).or_default() += 1,
            EventKind::Unknown(step) => *self.unknown.entry(step.clone()).or_default() += 1,
        }
    }
}
