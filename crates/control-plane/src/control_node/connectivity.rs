//! A control node's contact with the other voters, and two checks by the leader on changes that restrict traffic
//! (design 3.7): before such a change is logged, and before it is acknowledged.

use super::{ControlNode, Inner};
use crate::{consensus::Contact, state_machine::partition_risk::stale_majority, types::Change};
use common::{Index, NodeId, Tick};
use std::{sync::Arc, time::Duration};

/// Election timeouts without contact after which this voter regards itself as cut off: otherwise another voter would
/// have won an election by then.
const ELECTION_TIMEOUTS: u64 = 2;

/// This voter's contact with a majority, which decides whether it asks other voters or refuses at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Connectivity {
    /// In contact with the leader or, as the leader, with a majority.
    InContact,
    /// Out of contact for less than an election takes: a new leader may exist or still be elected.
    Unsure,
    /// Out of contact for longer than an election takes.
    CutOff,
}

impl ControlNode {
    /// This voter's contact now. Must be called at each tick: it records the time of the last contact.
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
            Contact::Lost if now.since(inner.last_contact) < election_ms => Connectivity::Unsure,
            Contact::Lost => Connectivity::CutOff,
        }
    }

    /// Members that a change that restricts traffic may not reach, if they are enough to keep serving by an older
    /// state; the change must not be logged then. `None` if there is no such risk.
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

    /// Waits until a majority of `members`, those at the time when a change was logged, report that they have it.
    /// Any majority that still serves then includes one of them and learns of the change from it. Members whose lease
    /// expires meanwhile still count; those that leave on a planned stop don't, since they serve no traffic. Returns
    /// whether the majority was reached before `until`.
    pub(super) async fn wait_for_majority(
        self: &Arc<Self>,
        members: &[NodeId],
        index: Index,
        until: Tick,
    ) -> bool {
        loop {
            if let Some(reached) = self.majority_has_index(members, index) {
                return reached;
            }
            if self.clock.now() >= until {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(self.settings.timing.heartbeat_ms() / 4)).await;
        }
    }

    /// Whether a majority of the members have reported an index; `None` while that may still change.
    fn majority_has_index(&self, members: &[NodeId], index: Index) -> Option<bool> {
        let inner = self.lock();
        if inner.voter.disk_failed {
            return Some(false);
        }
        let state = &inner.voter.cluster_state;
        let counts = |node: &&NodeId| {
            state.members.contains_key(*node) || state.lost.iter().any(|lost| lost.node == **node)
        };
        let has_index =
            |node: &&&NodeId| inner.reports.get(**node).is_some_and(|report| report.index >= index);
        let counted: Vec<&NodeId> = members.iter().filter(counts).collect();
        let reached = counted.iter().filter(has_index).count();
        (reached * 2 > counted.len() || counted.is_empty()).then_some(true)
    }
}
