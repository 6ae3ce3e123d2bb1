//! What the leader must know of the members before it narrows traffic, and before it says that it
//! did (design 3.7).

use super::{Core, Inner};
use crate::{change::Change, mass::stale_majority};
use common::{Index, NodeId, Tick};
use std::{sync::Arc, time::Duration};

impl Core {
    /// Why a change must not be logged now: routers that it would not reach may be serving on.
    pub(super) fn may_miss(&self, g: &Inner, ch: &Change) -> Option<String> {
        let now = self.clock.now();
        if !ch.narrows() || !g.seat.current(now) || common::ground::broken("narrows-unheard") {
            return None;
        }
        let silent = g.tenures.silent(&g.seat.ledger, &self.set.timing, now);
        stale_majority(&g.seat.ledger, &silent).map(|v| {
            let names: Vec<&str> = v.iter().map(|n| n.as_str()).collect();
            format!(
                "out of reach, and together enough to be serving on by older news: {}; mend their links, or say of each that is down: members/NAME/down",
                names.join(", ")
            )
        })
    }

    pub(super) fn members(g: &Inner) -> Vec<NodeId> {
        g.seat.ledger.members.keys().cloned().collect()
    }

    /// Waits until most of those that were members when a change was logged say that they hold it:
    /// then no majority can serve on without hearing of it from one of its own. Who lapses meanwhile
    /// counts still; who left in good order serves nobody.
    pub(super) async fn held_by_most(self: &Arc<Self>, of: &[NodeId], idx: Index, until: Tick) -> bool {
        loop {
            {
                let g = self.lock();
                if g.seat.dead {
                    return false;
                }
                let l = &g.seat.ledger;
                let there = |n: &&NodeId| l.members.contains_key(*n) || l.lost.iter().any(|x| x.node == **n);
                let all: Vec<&NodeId> = of.iter().filter(there).collect();
                let held = all.iter().filter(|n| g.reports.get(**n).is_some_and(|r| r.0 >= idx)).count();
                if held * 2 > all.len() || all.is_empty() {
                    return true;
                }
            }
            if self.clock.now() >= until {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(self.set.timing.beat_ms() / 4)).await;
        }
    }
}
