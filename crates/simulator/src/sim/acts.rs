//! Verdicts, routers and duties within the simulated world (design 7.1).

use super::{
    Broken,
    nodes::{WIRE, fits, timing},
    world::{What, World},
};
use common::{Epoch, Fence, Index, NodeId, Revision, Tick};
use control_plane::{
    Change, Verdict,
    change::NodeInfo,
    consensus::{Event, LogEntry},
    duty,
    news::{self, News, Taken},
};
use rand::Rng;

const DUTY: &str = "lender/north";

impl World {
    pub fn on_accepted(&mut self, n: usize, e: &LogEntry, v: &Verdict) -> Result<(), String> {
        let first = self.book.accepted(e, v)?;
        self.order_decided(n, e, v)?;
        if first {
            self.stats.accepted += 1;
            match &e.change {
                Change::ReplaceVoter(h) => {
                    self.book.voters = self.voters[n].voter.as_ref().map(|s| s.ledger.voters.clone());
                    self.stats.readmitted += 1;
                    self.note(format!("{} readmitted as seat {}", h.node, h.number));
                }
                Change::Expire { node, incarnation, .. } => {
                    self.stats.expirations += 1;
                    let r = self
                        .routers
                        .iter()
                        .find(|r| r.info.node == *node && r.info.incarnation == *incarnation);
                    if let Some(r) = r.filter(|r| r.held.valid(r.clock.at(self.t))) {
                        return Err(format!("{} lapsed while it holds its tenure", r.info.node));
                    }
                }
                _ => {}
            }
            if let Some(calm) = self.calm_since.filter(|_| self.stats.back_ms == 0 && e.change.op().is_some())
            {
                self.stats.back_ms = (self.t - calm).max(1);
            }
        }
        if let Some(p) = self.waiting.remove(&(n, e.index))
            && p.life == self.voters[p.voter].life
        {
            if p.change != e.change {
                self.stats.undetermined += 1;
                return Ok(());
            }
            match v {
                Verdict::Accepted { .. } => {
                    self.stats.told_accepted += 1;
                    if self.broken != Some(Broken::EarlyAccept) {
                        self.book.told(&p.op, e.index, &p.change)?;
                    }
                }
                Verdict::Conflict { .. } => {
                    self.stats.told_conflict += 1;
                    self.book.told_refused.insert(p.op, ());
                }
                Verdict::Rejected { .. } => self.stats.told_refused += 1,
            }
        }
        Ok(())
    }

    /// The leader drops members whose lease must have expired.
    pub fn expire(&mut self, n: usize) -> Result<(), String> {
        let t = self.t;
        let s = &mut self.voters[n];
        let now = s.clock.at(t);
        let Some(voter) = s.voter.as_ref().filter(|x| x.current(now) && s.frozen_until <= t) else {
            return Ok(());
        };
        let due = s.leases.wakeup(&voter.ledger, &timing(), now);
        due.into_iter().try_for_each(|ch| self.voter_step(n, Event::Propose(ch)))
    }

    pub fn router_wakeup(&mut self, r: usize) -> Result<(), String> {
        self.push(100, What::RouterWakeup(r));
        let t = self.t;
        if self.routers[r].frozen_until > t {
            return Ok(());
        }
        let now = self.routers[r].clock.at(t);
        if t >= self.routers[r].next_renew {
            self.routers[r].next_renew = t + timing().renew_interval_ms();
            let voter = self.routers[r].hint % self.voters.len();
            self.routers[r].hint = self.rng.random_range(0..self.voters.len());
            let info = self.routers[r].info.clone();
            let all = self.voters.len();
            for voter in (0..all - 1).map(|n| (voter + n) % all) {
                if let Some(ms) = self.transit(self.voters.len() + r, voter) {
                    let info = info.clone();
                    self.push(ms, What::Renew { voter, router: r, info, sent: now });
                }
            }
        }
        let voter = self.rng.random_range(0..self.voters.len());
        if let Some(ms) = self.transit(self.voters.len() + r, voter) {
            let have = self.routers[r].ledger.index;
            self.push(ms, What::AskNews { voter, router: r, have });
        }
        // A duty is acted on while the lease holds; the blow may land late.
        let me = &self.routers[r];
        let mine = duty::duty(&me.ledger, DUTY, None).filter(|d| d.holder.info == me.info);
        if let Some(d) = mine.filter(|_| me.held.valid(now)) {
            let late = self.rng.random_range(1..400);
            let node = self.routers[r].info.node.clone();
            self.push(late, What::Act { fence: d.fence, node });
        }
        Ok(())
    }

    pub fn renew(&mut self, n: usize, r: usize, info: NodeInfo, sent: Tick) -> Result<(), String> {
        let t = self.t;
        let s = &mut self.voters[n];
        let now = s.clock.at(t);
        let Some(voter) = s.voter.as_ref().filter(|x| x.current(now) && s.frozen_until <= t) else {
            return Ok(());
        };
        match s.leases.renew(&voter.ledger, &timing(), &info, now) {
            Ok(epoch) => {
                if let Some(ms) = self.transit(n, self.voters.len() + r) {
                    self.push(ms, What::Renewed { router: r, incarnation: info.incarnation.0, epoch, sent });
                }
                Ok(())
            }
            Err(Some(ch)) => self.voter_step(n, Event::Propose(ch)),
            Err(None) => Ok(()),
        }
    }

    pub fn renewed(&mut self, r: usize, incarnation: u64, epoch: Epoch, sent: Tick) -> Result<(), String> {
        let late = self.broken == Some(Broken::LateLease);
        let me = &mut self.routers[r];
        if me.info.incarnation.0 == incarnation {
            let now = me.clock.at(self.t);
            me.held.renewed(epoch, if late { now } else { sent }, &timing());
        }
        Ok(())
    }

    pub fn tell_news(&mut self, n: usize, r: usize, have: Index) -> Result<(), String> {
        let Some(voter) =
            self.voters[n].voter.as_ref().filter(|s| s.formed && self.voters[n].frozen_until <= self.t)
        else {
            return Ok(());
        };
        let back = self.broken == Some(Broken::NewsGoesBack);
        let news = if back {
            News::Snapshot(Box::new(voter.ledger.clone()))
        } else {
            news::since(have, &voter.ledger, &voter.log, voter.base, voter.room)
        };
        fits("news", &news, WIRE)?;
        if let Some(ms) = self.transit(n, self.voters.len() + r) {
            self.push(ms, What::News { router: r, news: Box::new(news) });
        }
        Ok(())
    }

    pub fn take_news(&mut self, r: usize, news: News) -> Result<(), String> {
        let me = &mut self.routers[r];
        let had = (me.ledger.index, me.ledger.revision);
        if let (Some(Broken::NewsGoesBack), News::Snapshot(f)) = (self.broken, &news) {
            me.ledger = (**f).clone();
        } else {
            let mut own = me.ledger.clone();
            if news::take(&mut own, "sim", news) == Taken::Newer {
                me.ledger = own;
            }
        }
        let now: (Index, Revision) = (me.ledger.index, me.ledger.revision);
        if now.0 < had.0 || now.1 < had.1 {
            return Err(format!("{} went back from {had:?} to {now:?}", me.info.node));
        }
        Ok(())
    }

    pub fn act(&mut self, fence: Fence, node: NodeId) -> Result<(), String> {
        let through = self.fences.check(DUTY, fence).is_ok() || self.broken == Some(Broken::NoFences);
        if through { self.book.acted(fence, &node) } else { Ok(()) }
    }
}
