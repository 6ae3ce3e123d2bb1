//! What a core answers to other processes (design 3.1, 3.3, 3.4).

use super::{Core, Inner, Status, reach::Reach};
use crate::{
    change::{NodeInfo, VoterInfo},
    consensus::Event,
    ledger::Ledger,
    news,
    rpc::{Ask, Reply},
};
use common::{Epoch, Index, Revision, log_event};
use std::{sync::Arc, time::Duration};

impl Core {
    pub(super) fn lease_timer(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut g = self.lock();
        if !g.voter.current(now) {
            return;
        }
        let Inner { voter, leases, .. } = &mut *g;
        let due = leases.wakeup(&voter.ledger, &self.set.timing, now);
        for ch in due {
            log_event!(Info, "tenure lapsed", "change" => format!("{ch:?}"));
            let effects = g.voter.step(Event::Propose(ch), now);
            self.carry_out(&mut g, effects);
        }
    }

    pub fn renew(self: &Arc<Self>, info: NodeInfo, index: Index, revision: Revision) -> Reply {
        let now = self.clock.now();
        let mut g = self.lock();
        if !g.voter.current(now) {
            return Reply::Elsewhere { leader: g.voter.leader() };
        }
        g.reports.insert(info.node.clone(), (index, revision, now));
        let Inner { voter, leases, .. } = &mut *g;
        match leases.renew(&voter.ledger, &self.set.timing, &info, now) {
            Ok(epoch) => Reply::Renewed { epoch: Epoch(epoch.0), index: voter.accepted() },
            Err(ch) => {
                if let Some(ch) = ch {
                    let effects = g.voter.step(Event::Propose(ch), now);
                    self.carry_out(&mut g, effects);
                }
                Reply::NotYet
            }
        }
    }

    pub async fn leave(self: &Arc<Self>, info: NodeInfo) -> Reply {
        let ch = {
            let g = self.lock();
            if !g.voter.current(self.clock.now()) {
                return Reply::Elsewhere { leader: g.voter.leader() };
            }
            g.leases.leave(&g.voter.ledger, &info)
        };
        if let Some(ch) = ch {
            self.propose_here(ch, self.set.timing.rpc_timeout_ms).await;
        }
        Reply::Done
    }

    pub async fn news(self: &Arc<Self>, have: Index, wait_ms: u64) -> Reply {
        let mut moved = self.moved.subscribe();
        let tell = || {
            let g = self.lock();
            // It hears of nothing new: another voter does.
            if g.voter.dead {
                return Reply::Elsewhere { leader: None };
            }
            if !g.voter.formed || g.voter.out {
                return Reply::News(news::News::Same);
            }
            Reply::News(news::since(have, &g.voter.ledger, &g.voter.log, g.voter.base, g.voter.room))
        };
        moved.borrow_and_update();
        let first = tell();
        if !matches!(first, Reply::News(news::News::Same)) {
            return first;
        }
        // A voter that is cut off has nothing newer to wait for: others may.
        if self.reach() == Reach::CutOff {
            return Reply::Elsewhere { leader: None };
        }
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms.min(5_000)), moved.changed()).await;
        tell()
    }

    pub fn status(&self) -> Status {
        let now = self.clock.now();
        let g = self.lock();
        let fresh = 2 * self.set.timing.lease_ms;
        Status {
            ledger: g.voter.ledger.clone(),
            me: g.voter.me.clone(),
            leader: g.voter.leader(),
            formed: g.voter.formed,
            voting: g.voter.formed && !g.voter.dead && !g.voter.out && !g.voter.overdue(now),
            term: g.voter.promised.0,
            reports: g
                .reports
                .iter()
                .filter(|(_, r)| now.since(r.2) < fresh)
                .map(|(n, r)| (n.clone(), (r.0, r.1)))
                .collect(),
        }
    }

    /// The state by which reads may go, where this voter leads (design 2.3).
    pub fn state_here(&self) -> Result<Ledger, Option<VoterInfo>> {
        let g = self.lock();
        let leased = g.voter.current(self.clock.now()) || common::runtime::broken("reads-without-lease");
        if leased { Ok(g.voter.ledger.clone()) } else { Err(g.voter.leader()) }
    }

    /// Up to where it can tell news; a voter that hears of nothing new counts as behind.
    fn known_upto(&self) -> Index {
        let g = self.lock();
        if g.voter.dead { Index(0) } else { g.voter.accepted() }
    }

    pub async fn answer(self: Arc<Self>, ask: Ask) -> Reply {
        match ask {
            Ask::Consensus { from, msg } => {
                self.step(Event::Msg(from, *msg));
                Reply::Done
            }
            Ask::Renew { info, index, revision } => self.renew(info, index, revision),
            Ask::Leave { info } => self.leave(info).await,
            Ask::News { have, wait_ms } => self.news(have, wait_ms).await,
            Ask::Propose { change } => {
                let ms = self.set.timing.rpc_timeout_ms * 4;
                Reply::Proposed(self.propose_here(change, ms).await)
            }
            Ask::State => match self.state_here() {
                Ok(l) => Reply::State(Box::new(l)),
                Err(leader) => Reply::Elsewhere { leader },
            },
            Ask::Hail { .. } => Reply::Hailed { index: self.known_upto() },
        }
    }
}
