//! Who leads, and for how long that is certain (design 2.3).

use super::*;

/// How a voter stands to its core, by its own clock and by what it heard last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// Leads, and a majority answered it lately.
    Leading,
    /// Hears its leader.
    Following,
    /// Heard neither a majority nor a leader for half of the election time-out.
    Lost,
    /// Holds no voter, or none any more: it knows of the core what others tell it.
    Outside,
}

impl Voter {
    /// Silence after which a voter takes itself for out of touch: several heartbeats, and sooner than
    /// a lease ends or another voter stands for election.
    pub fn silence_ms(&self) -> u64 {
        self.t.election_timeout_ms() / 2
    }

    pub fn contact(&self, now: Tick) -> Contact {
        if !self.formed || self.out {
            return Contact::Outside;
        }
        let silence = self.silence_ms();
        match &self.role {
            VoterRole::Leader { .. } if self.alone() => Contact::Leading,
            VoterRole::Leader { since, .. } => {
                let heard = self.majority_answered().unwrap_or(*since).max(*since);
                if now.since(heard) < silence { Contact::Leading } else { Contact::Lost }
            }
            VoterRole::Follower { leader: Some(_), heard } if now.since(*heard) < silence => {
                Contact::Following
            }
            _ => Contact::Lost,
        }
    }

    /// The only voter of its core: its own word is the majority.
    pub(super) fn alone(&self) -> bool {
        self.quorum() == 1
    }

    /// Until when no other voter can have become leader: followers keep still for `patience`
    /// from the feeds that they answered; an eighth is given up for drifting clocks.
    pub fn lead_until(&self) -> Tick {
        if !self.is_leader() {
            return Tick(0);
        }
        if self.alone() {
            return Tick(u64::MAX);
        }
        self.majority_answered().map_or(Tick(0), |sent| sent + self.t.election_timeout_ms() * 7 / 8)
    }

    /// Send time of the newest feed that a majority of the voters answered, this leader included.
    fn majority_answered(&self) -> Option<Tick> {
        let VoterRole::Leader { peers, .. } = &self.role else { return None };
        let r = self.voters();
        let mut stamps: Vec<Tick> = peers
            .iter()
            .filter(|(s, p)| p.installed && r.iter().any(|h| h.number == **s))
            .map(|(_, p)| p.stamp)
            .collect();
        stamps.sort();
        stamps.iter().rev().nth(self.quorum().saturating_sub(2)).copied()
    }

    pub fn leads(&self, now: Tick) -> bool {
        self.is_leader() && now < self.lead_until() && !self.overdue(now)
    }

    /// Leads, and its accepted state is the newest there is: reads may go by it (design 2.3).
    pub fn current(&self, now: Tick) -> bool {
        let caught_up = matches!(&self.role, VoterRole::Leader { floor, .. } if self.accepted() >= *floor);
        caught_up && self.leads(now)
    }

    /// Where the leader is, as far as this voter knows.
    pub fn leader(&self) -> Option<VoterInfo> {
        let v = match &self.role {
            VoterRole::Leader { .. } => Some(self.id()),
            VoterRole::Follower { leader, .. } => *leader,
            _ => None,
        };
        v.and_then(|v| {
            self.voters().into_iter().find(|h| h.number == v.number && h.incarnation == v.incarnation)
        })
    }
}

impl LogTail {
    /// The voters that holds at its end, taken on top of an accepted state.
    pub fn voters(&self, on: &Ledger) -> Vec<VoterInfo> {
        let mut r = self.snapshot.as_ref().unwrap_or(on).voters.clone();
        for e in &self.entries {
            if let Change::ReplaceVoter(h) = &e.change {
                r.iter_mut().filter(|o| o.number == h.number).for_each(|o| *o = h.clone());
            }
        }
        r
    }
}
