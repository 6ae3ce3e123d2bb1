//! What the leader must know of the members before it narrows traffic, and before it says that it
//! did (design 3.7).

use super::{Core, Inner};
use crate::{change::Change, consensus::Contact, partition_risk::stale_majority};
use common::{Index, NodeId, Tick};
use std::{sync::Arc, time::Duration};

/// Patiences after the last contact within which another voter stands for election and wins, unless
/// this voter is cut off.
const ELECTION_PATIENCES: u64 = 2;

/// Whether asking the other voters is worth while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Connectivity {
    /// In touch with the leader, or with a majority as the leader.
    InTouch,
    /// Out of touch for a while only: there may be a new leader, or none yet.
    Unsure,
    /// Out of touch for longer than an election takes.
    CutOff,
}

impl Core {
    /// How this voter stands to a majority now; asked with each wakeup, so that the time of the last
    /// contact is known.
    pub(super) fn connectivity(&self) -> Connectivity {
        let now = self.clock.now();
        let mut g = self.lock();
        match g.voter.contact(now) {
            Contact::Leading | Contact::Following => {
                g.in_touch = now;
                Connectivity::InTouch
            }
            Contact::Outside => Connectivity::Unsure,
            Contact::Isolated
                if now.since(g.in_touch) < ELECTION_PATIENCES * self.set.timing.election_timeout_ms() =>
            {
                Connectivity::Unsure
            }
            Contact::Isolated => Connectivity::CutOff,
        }
    }

    /// Why a change must not be logged now: routers that it would not reach may be serving on.
    pub(super) fn may_miss(&self, g: &Inner, ch: &Change) -> Option<String> {
        let now = self.clock.now();
        if !ch.narrows() || !g.voter.can_serve_reads(now) || common::runtime::broken("narrows-unheard") {
            return None;
        }
        let silent = g.leases.silent(&g.voter.cluster_state, &self.set.timing, now);
        stale_majority(&g.voter.cluster_state, &silent).map(|v| {
            let names: Vec<&str> = v.iter().map(|n| n.as_str()).collect();
            format!(
                "out of reach, and together enough to be serving on by older news: {}; mend their links, or say of each that is down: members/NAME/down",
                names.join(", ")
            )
        })
    }

    pub(super) fn members(g: &Inner) -> Vec<NodeId> {
        g.voter.cluster_state.members.keys().cloned().collect()
    }

    /// Waits until most of those that were members when a change was logged say that they hold it:
    /// then no majority can serve on without hearing of it from one of its own. Who expirations meanwhile
    /// counts still; who left in good order serves nobody.
    pub(super) async fn held_by_most(self: &Arc<Self>, of: &[NodeId], index: Index, until: Tick) -> bool {
        loop {
            {
                let g = self.lock();
                if g.voter.disk_failed {
                    return false;
                }
                let l = &g.voter.cluster_state;
                let there = |n: &&NodeId| l.members.contains_key(*n) || l.lost.iter().any(|x| x.node == **n);
                let all: Vec<&NodeId> = of.iter().filter(there).collect();
                let held = all.iter().filter(|n| g.reports.get(**n).is_some_and(|r| r.0 >= index)).count();
                if held * 2 > all.len() || all.is_empty() {
                    return true;
                }
            }
            if self.clock.now() >= until {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(self.set.timing.heartbeat_ms() / 4)).await;
        }
    }
}
