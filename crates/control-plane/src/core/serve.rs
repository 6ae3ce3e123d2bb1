//! What a core answers to other processes (design 3.1, 3.3, 3.4).

use super::{Core, Inner, View};
use crate::{
    change::{Card, Holder},
    ledger::Ledger,
    news,
    rail::{Ask, Reply},
    seat::Ev,
};
use common::{Epoch, Index, Revision, jot};
use std::{sync::Arc, time::Duration};

impl Core {
    pub(super) fn tenure_wakeup(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut g = self.lock();
        if !g.seat.current(now) {
            return;
        }
        let Inner { seat, tenures, .. } = &mut *g;
        let due = tenures.wakeup(&seat.ledger, &self.set.timing, now);
        for ch in due {
            jot!(Info, "tenure lapsed", "change" => format!("{ch:?}"));
            let fx = g.seat.step(Ev::Propose(ch), now);
            self.carry_out(&mut g, fx);
        }
    }

    pub fn renew(self: &Arc<Self>, card: Card, idx: Index, revision: Revision) -> Reply {
        let now = self.clock.now();
        let mut g = self.lock();
        if !g.seat.current(now) {
            return Reply::Elsewhere { leader: g.seat.leader() };
        }
        g.reports.insert(card.node.clone(), (idx, revision, now));
        let Inner { seat, tenures, .. } = &mut *g;
        match tenures.renew(&seat.ledger, &self.set.timing, &card, now) {
            Ok(epoch) => Reply::Renewed { epoch: Epoch(epoch.0), idx: seat.accepted() },
            Err(ch) => {
                if let Some(ch) = ch {
                    let fx = g.seat.step(Ev::Propose(ch), now);
                    self.carry_out(&mut g, fx);
                }
                Reply::NotYet
            }
        }
    }

    pub async fn leave(self: &Arc<Self>, card: Card) -> Reply {
        let ch = {
            let g = self.lock();
            if !g.seat.current(self.clock.now()) {
                return Reply::Elsewhere { leader: g.seat.leader() };
            }
            g.tenures.leave(&g.seat.ledger, &card)
        };
        if let Some(ch) = ch {
            self.propose_here(ch, self.set.timing.rail_ms).await;
        }
        Reply::Done
    }

    pub async fn news(self: &Arc<Self>, have: Index, wait_ms: u64) -> Reply {
        let mut moved = self.moved.subscribe();
        let tell = || {
            let g = self.lock();
            if !g.seat.formed || g.seat.out {
                return news::News::Same;
            }
            news::since(have, &g.seat.ledger, &g.seat.log, g.seat.base, g.seat.room)
        };
        moved.borrow_and_update();
        let first = tell();
        if !matches!(first, news::News::Same) {
            return Reply::News(first);
        }
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms.min(5_000)), moved.changed()).await;
        Reply::News(tell())
    }

    pub fn view(&self) -> View {
        let now = self.clock.now();
        let g = self.lock();
        let fresh = 2 * self.set.timing.tenure_ms;
        View {
            ledger: g.seat.ledger.clone(),
            me: g.seat.me.clone(),
            leader: g.seat.leader(),
            formed: g.seat.formed,
            voting: g.seat.votes() && !g.seat.overdue(now),
            view: g.seat.promised.0,
            reports: g
                .reports
                .iter()
                .filter(|(_, r)| now.since(r.2) < fresh)
                .map(|(n, r)| (n.clone(), (r.0, r.1)))
                .collect(),
        }
    }

    /// The state by which reads may go, where this seat leads (design 2.3).
    pub fn state_here(&self) -> Result<Ledger, Option<Holder>> {
        let g = self.lock();
        if g.seat.current(self.clock.now()) { Ok(g.seat.ledger.clone()) } else { Err(g.seat.leader()) }
    }

    pub async fn answer(self: Arc<Self>, ask: Ask) -> Reply {
        match ask {
            Ask::Seat { from, msg } => {
                self.step(Ev::Msg(from, *msg));
                Reply::Done
            }
            Ask::Renew { card, idx, revision } => self.renew(card, idx, revision),
            Ask::Leave { card } => self.leave(card).await,
            Ask::News { have, wait_ms } => self.news(have, wait_ms).await,
            Ask::Propose { change } => {
                let ms = self.set.timing.rail_ms * 4;
                Reply::Proposed(self.propose_here(change, ms).await)
            }
            Ask::State => match self.state_here() {
                Ok(l) => Reply::State(Box::new(l)),
                Err(leader) => Reply::Elsewhere { leader },
            },
            Ask::Hail { .. } => Reply::Hailed { idx: self.lock().seat.accepted() },
        }
    }
}
