//! Who leads, and for how long that is certain (design 2.3).

use super::*;

impl Seat {
    /// The other holders of the roster.
    pub fn others(&self) -> Vec<Holder> {
        let mut r = self.roster();
        r.retain(|h| h.seat != self.me.seat);
        r
    }

    /// Has a seat and may use it.
    pub fn votes(&self) -> bool {
        self.formed && !self.dead && !self.out && !self.learner()
    }

    /// The only seat of its core: its own word is the majority.
    pub(super) fn alone(&self) -> bool {
        self.quorum() == 1
    }

    /// Until when no other seat can have become leader: followers keep still for `patience`
    /// from the feeds that they answered; an eighth is given up for drifting clocks.
    pub fn lead_until(&self) -> Tick {
        let Post::Leader { peers, .. } = &self.post else {
            return Tick(0);
        };
        if self.alone() {
            return Tick(u64::MAX);
        }
        let r = self.roster();
        let mut stamps: Vec<Tick> = peers
            .iter()
            .filter(|(s, p)| p.votes() && r.iter().any(|h| h.seat == **s))
            .map(|(_, p)| p.stamp)
            .collect();
        stamps.sort();
        stamps
            .iter()
            .rev()
            .nth(self.quorum().saturating_sub(2))
            .map(|s| *s + self.t.patience_ms() * 7 / 8)
            .unwrap_or(Tick(0))
    }

    pub fn leads(&self, now: Tick) -> bool {
        self.is_leader() && now < self.lead_until() && !self.overdue(now)
    }

    /// Leads, and its accepted state is the newest there is: reads may go by it (design 2.3).
    pub fn current(&self, now: Tick) -> bool {
        let caught_up = matches!(&self.post, Post::Leader { floor, .. } if self.accepted() >= *floor);
        caught_up && self.leads(now)
    }

    /// Where the leader is, as far as this seat knows.
    pub fn leader(&self) -> Option<Holder> {
        let v = match &self.post {
            Post::Leader { .. } => Some(self.voter()),
            Post::Follower { leader, .. } => *leader,
            _ => None,
        };
        v.and_then(|v| self.roster().into_iter().find(|h| h.seat == v.seat && h.inc == v.inc))
    }
}

impl Tail {
    /// The roster that holds at its end, taken on top of an accepted state.
    pub fn roster(&self, on: &Ledger) -> Vec<Holder> {
        let mut r = self.frame.as_ref().unwrap_or(on).roster.clone();
        for e in &self.entries {
            if let Change::Roster(h) = &e.change {
                r.iter_mut().filter(|o| o.seat == h.seat).for_each(|o| *o = h.clone());
            }
        }
        r
    }
}
