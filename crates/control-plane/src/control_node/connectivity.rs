//! A control node's contact with the others, and what the leader must know of the members before it narrows
//! traffic and before it says that it did (design 3.7).

use super::{ControlNode, Inner};
use crate::{consensus::Contact, state_machine::partition_risk::stale_majority, types::Change};
use common::{Index, NodeId, Tick};
use std::{sync::Arc, time::Duration};

/// Election time-outs after the last contact within which another voter stands for election and wins, unless this
/// voter is cut off.
const ELECTION_TIMEOUTS: u64 = 2;

/// Whether asking the other voters is worth while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Connectivity {
    /// In contact with the leader, or with a majority as the leader.
    InContact,
    /// Out of contact for a while only: there may be a new leader, or none yet.
    Unsure,
    /// Out of contact for longer than an election takes.
    CutOff,
}

impl ControlNode {
    /// The contact of this voter now. Asked with each tick, so that the time of the last contact is known.
    pub(super) fn connectivity(&self) -> Connectivity {
        let now = self.clock.now();
        let mut inner = self.lock();
        let election_ms = ELECTION_TIMEOUTS * self.settings.timing.election_timeout_ms();
        match inner.voter.contact(now) {
            Contact::Leading | Contact::Following => {
                inner.last_contact = now;
                Connectivity::InContact
            }
            Contact::NotVoter => Connectivity::Unsure,
            Contact::Isolated if now.since(inner.last_contact) < election_ms => Connectivity::Unsure,
            Contact::Isolated => Connectivity::CutOff,
        }
    }

    /// Members that a change may not reach, if they could be serving on by an older state: then it must not be
    /// logged now.
    pub(super) fn members_at_risk(&self, inner: &Inner, change: &Change) -> Option<Vec<NodeId>> {
        let now = self.clock.now();
        let restricts = change.restricts_traffic() && !common::mutation::enabled("narrows-unheard");
        if !restricts || !inner.voter.can_serve_reads(now) {
            return None;
        }
        let state = &inner.voter.cluster_state;
        let silent = inner.leases.silent_members(state, &self.settings.timing, now);
        stale_majority(state, &silent)
    }

    pub(super) fn members(inner: &Inner) -> Vec<NodeId> {
        inner.voter.cluster_state.members.keys().cloned().collect()
    }

    /// Waits until most of those that were members when a change was logged say that they hold it: then no majority
    /// can serve on without learning of it from one of its own. Members whose lease expires meanwhile still count;
    /// those that leave in good order serve nobody.
    pub(super) async fn held_by_most(
        self: &Arc<Self>,
        members: &[NodeId],
        index: Index,
        until: Tick,
    ) -> bool {
        loop {
            if let Some(held) = self.majority_holds(members, index) {
                return held;
            }
            if self.clock.now() >= until {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(self.settings.timing.heartbeat_ms() / 4)).await;
        }
    }

    /// Whether most of the members hold an index; `None` while that may still change.
    fn majority_holds(&self, members: &[NodeId], index: Index) -> Option<bool> {
        let inner = self.lock();
        if inner.voter.disk_failed {
            return Some(false);
        }
        let state = &inner.voter.cluster_state;
        let counts = |node: &&NodeId| {
            state.members.contains_key(*node) || state.lost.iter().any(|lost| lost.node == **node)
        };
        let holds = |node: &&&NodeId| inner.reports.get(**node).is_some_and(|report| report.index >= index);
        let counted: Vec<&NodeId> = members.iter().filter(counts).collect();
        let held = counted.iter().filter(holds).count();
        (held * 2 > counted.len() || counted.is_empty()).then_some(true)
    }
}
