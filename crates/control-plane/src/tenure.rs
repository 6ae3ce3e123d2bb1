//! Tenures (design 3.1): the core's count of renewals, and the holder's own, stricter one.

use crate::{
    change::{Card, Change},
    ledger::Ledger,
};
use common::{Epoch, NodeId, Tick, settings::Timing};
use std::collections::BTreeMap;

/// Kept by the leader only. A new leader gives each member a full tenure from its start.
#[derive(Clone, Debug, Default)]
pub struct Tenures {
    since: Tick,
    heard: BTreeMap<NodeId, (u64, Tick)>,
    asked: BTreeMap<NodeId, Tick>,
}

impl Tenures {
    pub fn taken_over(now: Tick) -> Self {
        Self { since: now, ..Self::default() }
    }

    /// A renewal arrived: the epoch that it keeps, or a change to propose first.
    pub fn renew(&mut self, l: &Ledger, t: &Timing, card: &Card, now: Tick) -> Result<Epoch, Option<Change>> {
        match l.members.get(&card.node) {
            // Once its lapse may be in the log, a tenure is renewed no more: it joins anew.
            Some(m) if m.card.inc == card.inc && self.lapsed(&m.card, t, now) => Err(None),
            Some(m) if m.card == *card => {
                self.heard.insert(card.node.clone(), (card.inc.0, now));
                Ok(m.epoch)
            }
            // A younger self takes over only after the old tenure must have lapsed; but what holds the
            // old one's address now has outlived it, once nothing of the old one can be on its way.
            Some(m)
                if !self.lapsed(&m.card, t, now)
                    && m.card.inc != card.inc
                    && !self.outlived(&m.card, card, t, now) =>
            {
                Err(None)
            }
            _ => {
                // The new tenure counts from when it was asked for.
                self.heard.insert(card.node.clone(), (card.inc.0, now));
                let again = self.asked.get(&card.node).is_none_or(|at| now.since(*at) > t.renew_ms());
                if again {
                    self.asked.insert(card.node.clone(), now);
                }
                Err(again.then(|| Change::Join(card.clone())))
            }
        }
    }

    /// Whether `new` stands where `old` stood, which has been silent for two beats.
    fn outlived(&self, old: &Card, new: &Card, t: &Timing, now: Tick) -> bool {
        let heard = self.heard.get(&old.node).filter(|h| h.0 == old.inc.0);
        old.rail == new.rail && heard.is_none_or(|h| now.since(h.1) > 2 * t.beat_ms())
    }

    fn lapsed(&self, card: &Card, t: &Timing, now: Tick) -> bool {
        let heard =
            self.heard.get(&card.node).filter(|h| h.0 == card.inc.0).map(|h| h.1).unwrap_or(self.since);
        now.since(heard.max(self.since)) > t.tenure_ms + t.margin_ms()
    }

    /// Members that have not renewed here for two renewals: they may not hear of what is logged now.
    pub fn silent(&self, l: &Ledger, t: &Timing, now: Tick) -> Vec<NodeId> {
        let lately = |c: &Card| {
            self.heard.get(&c.node).is_some_and(|h| h.0 == c.inc.0 && now.since(h.1) <= 2 * t.renew_ms())
        };
        l.members.values().filter(|m| !lately(&m.card)).map(|m| m.card.node.clone()).collect()
    }

    /// A node gives its tenure back on a planned stop.
    pub fn leave(&self, l: &Ledger, card: &Card) -> Option<Change> {
        l.members.get(&card.node).filter(|m| m.card.inc == card.inc).map(|_| Change::Lapse {
            node: card.node.clone(),
            inc: card.inc,
            left: true,
        })
    }

    /// Members whose tenure must have lapsed by now.
    pub fn wakeup(&mut self, l: &Ledger, t: &Timing, now: Tick) -> Vec<Change> {
        let gone: Vec<Card> =
            l.members.values().map(|m| m.card.clone()).filter(|c| self.lapsed(c, t, now)).collect();
        gone.into_iter()
            .filter(|c| {
                let again = self.asked.get(&c.node).is_none_or(|at| now.since(*at) > t.renew_ms());
                if again {
                    self.asked.insert(c.node.clone(), now);
                }
                again
            })
            .map(|c| Change::Lapse { node: c.node, inc: c.inc, left: false })
            .collect()
    }
}

/// The holder's count: from before the renewal was sent (design 3.1).
#[derive(Clone, Copy, Debug, Default)]
pub struct Held {
    pub epoch: Epoch,
    pub until: Tick,
}

impl Held {
    pub fn renewed(&mut self, epoch: Epoch, sent: Tick, t: &Timing) {
        self.epoch = epoch;
        self.until = self.until.max(sent + t.tenure_ms);
    }
    pub fn valid(&self, now: Tick) -> bool {
        now < self.until
    }
}
