//! Verdicts, routers and duties within the simulated world (design 7.1).

use super::{
    Broken,
    nodes::{WIRE, fits},
    world::{What, World},
};
use common::{Epoch, Fence, Index, NodeId, Revision, Tick};
use control_plane::{
    Change, Verdict,
    change::Card,
    duty,
    news::{self, News, Taken},
    seat::{Ev, LogEntry},
};
use rand::Rng;

const DUTY: &str = "lender/north";

impl World {
    pub fn on_accepted(&mut self, n: usize, e: &LogEntry, v: &Verdict) -> Result<(), String> {
        let first = self.book.accepted(e, v)?;
        if first {
            self.stats.accepted += 1;
            match &e.change {
                Change::Roster(h) => {
                    if self.checks_copies {
                        self.swap_accepted(e.idx, h)?;
                    }
                    self.book.roster = self.seats[n].seat.as_ref().map(|s| s.ledger.roster.clone());
                    self.stats.readmitted += 1;
                    self.note(format!("{} readmitted as seat {}", h.node, h.seat));
                }
                Change::Lapse { node, inc, .. } => {
                    self.stats.lapses += 1;
                    let r = self.routers.iter().find(|r| r.card.node == *node && r.card.inc == *inc);
                    if let Some(r) = r.filter(|r| r.held.valid(r.clock.at(self.t))) {
                        return Err(format!("{} lapsed while it holds its tenure", r.card.node));
                    }
                }
                _ => {}
            }
            if let Some(calm) = self.calm_since.filter(|_| self.stats.back_ms == 0 && e.change.op().is_some())
            {
                self.stats.back_ms = (self.t - calm).max(1);
            }
        }
        if let Some(p) = self.waiting.remove(&(n, e.idx))
            && p.life == self.seats[p.seat].life
        {
            if p.change != e.change {
                self.stats.undetermined += 1;
                return Ok(());
            }
            match v {
                Verdict::Accepted { .. } => {
                    self.stats.told_accepted += 1;
                    if self.broken != Some(Broken::EarlyAccept) {
                        self.book.told(&p.op, e.idx, &p.change)?;
                    }
                }
                Verdict::Conflict { .. } => {
                    self.stats.told_conflict += 1;
                    self.book.told_refused.insert(p.op, ());
                }
                Verdict::Bounced { .. } => self.stats.told_refused += 1,
            }
        }
        Ok(())
    }

    /// The leader drops members whose tenure must have lapsed.
    pub fn lapse(&mut self, n: usize) -> Result<(), String> {
        let t = self.t;
        let s = &mut self.seats[n];
        let now = s.clock.at(t);
        let Some(seat) = s.seat.as_ref().filter(|x| x.current(now) && s.frozen_until <= t) else {
            return Ok(());
        };
        let due = s.tenures.wakeup(&seat.ledger, &self.timing, now);
        due.into_iter().try_for_each(|ch| self.seat_step(n, Ev::Propose(ch)))
    }

    pub fn router_wakeup(&mut self, r: usize) -> Result<(), String> {
        self.push(100, What::RouterWakeup(r));
        let t = self.t;
        if self.routers[r].frozen_until > t {
            return Ok(());
        }
        let now = self.routers[r].clock.at(t);
        if t >= self.routers[r].next_renew {
            self.routers[r].next_renew = t + self.timing.renew_ms();
            let seat = self.routers[r].hint % self.seats.len();
            self.routers[r].hint = self.rng.random_range(0..self.seats.len());
            let card = self.routers[r].card.clone();
            let all = self.seats.len();
            for seat in (0..all - 1).map(|n| (seat + n) % all) {
                if let Some(ms) = self.transit(self.seats.len() + r, seat) {
                    let card = card.clone();
                    self.push(ms, What::Renew { seat, router: r, card, sent: now });
                }
            }
        }
        let seat = self.rng.random_range(0..self.seats.len());
        if let Some(ms) = self.transit(self.seats.len() + r, seat) {
            let have = self.routers[r].ledger.idx;
            self.push(ms, What::AskNews { seat, router: r, have });
        }
        // A duty is acted on while the tenure holds; the blow may land late.
        let me = &self.routers[r];
        let mine = duty::duty(&me.ledger, DUTY, None).filter(|d| d.holder.card == me.card);
        if let Some(d) = mine.filter(|_| me.held.valid(now)) {
            let late = self.rng.random_range(1..400);
            let node = self.routers[r].card.node.clone();
            self.push(late, What::Act { fence: d.fence, node });
        }
        Ok(())
    }

    pub fn renew(&mut self, n: usize, r: usize, card: Card, sent: Tick) -> Result<(), String> {
        let t = self.t;
        let s = &mut self.seats[n];
        let now = s.clock.at(t);
        let Some(seat) = s.seat.as_ref().filter(|x| x.current(now) && s.frozen_until <= t) else {
            return Ok(());
        };
        match s.tenures.renew(&seat.ledger, &self.timing, &card, now) {
            Ok(epoch) => {
                if let Some(ms) = self.transit(n, self.seats.len() + r) {
                    self.push(ms, What::Renewed { router: r, inc: card.inc.0, epoch, sent });
                }
                Ok(())
            }
            Err(Some(ch)) => self.seat_step(n, Ev::Propose(ch)),
            Err(None) => Ok(()),
        }
    }

    pub fn renewed(&mut self, r: usize, inc: u64, epoch: Epoch, sent: Tick) -> Result<(), String> {
        let late = self.broken == Some(Broken::LateTenure);
        let me = &mut self.routers[r];
        if me.card.inc.0 == inc {
            let now = me.clock.at(self.t);
            me.held.renewed(epoch, if late { now } else { sent }, &self.timing);
        }
        Ok(())
    }

    pub fn tell_news(&mut self, n: usize, r: usize, have: Index) -> Result<(), String> {
        let Some(seat) =
            self.seats[n].seat.as_ref().filter(|s| s.formed && self.seats[n].frozen_until <= self.t)
        else {
            return Ok(());
        };
        let back = self.broken == Some(Broken::NewsGoesBack);
        let news = if back {
            News::Frame(Box::new(seat.ledger.clone()))
        } else {
            news::since(have, &seat.ledger, &seat.log, seat.base, seat.room)
        };
        fits("news", &news, WIRE)?;
        if let Some(ms) = self.transit(n, self.seats.len() + r) {
            self.push(ms, What::News { router: r, news: Box::new(news) });
        }
        Ok(())
    }

    pub fn take_news(&mut self, r: usize, news: News) -> Result<(), String> {
        let me = &mut self.routers[r];
        let had = (me.ledger.idx, me.ledger.revision);
        if let (Some(Broken::NewsGoesBack), News::Frame(f)) = (self.broken, &news) {
            me.ledger = (**f).clone();
        } else {
            let mut own = me.ledger.clone();
            if news::take(&mut own, "sim", news) == Taken::Newer {
                me.ledger = own;
            }
        }
        let now: (Index, Revision) = (me.ledger.idx, me.ledger.revision);
        if now.0 < had.0 || now.1 < had.1 {
            return Err(format!("{} went back from {had:?} to {now:?}", me.card.node));
        }
        Ok(())
    }

    pub fn act(&mut self, fence: Fence, node: NodeId) -> Result<(), String> {
        let through = self.fences.check(DUTY, fence).is_ok() || self.broken == Some(Broken::NoFences);
        if through { self.book.acted(fence, &node) } else { Ok(()) }
    }
}
