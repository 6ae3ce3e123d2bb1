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
    Isolated,
    /// Holds no voter, or none any more: it knows of the core what others tell it.
    Outside,
}

impl Voter {
    /// Silence after which a voter takes itself for out of touch: several heartbeats, and sooner than
    /// a lease ends or another voter stands for election.
    pub fn silence_timeout_ms(&self) -> u64 {
        self.t.election_timeout_ms() / 2
    }

    pub fn contact(&self, now: Tick) -> Contact {
        if !self.initialized || self.out {
            return Contact::Outside;
        }
        let silence = self.silence_timeout_ms();
        match &self.role {
            VoterRole::Leader { .. } if self.is_sole_voter() => Contact::Leading,
            VoterRole::Leader { since, .. } => {
                let last_contact = self.majority_contact().unwrap_or(*since).max(*since);
                if now.since(last_contact) < silence { Contact::Leading } else { Contact::Isolated }
            }
            VoterRole::Follower { leader: Some(_), last_contact } if now.since(*last_contact) < silence => {
                Contact::Following
            }
            _ => Contact::Isolated,
        }
    }

    /// The only voter of its core: its own word is the majority.
    pub(super) fn is_sole_voter(&self) -> bool {
        self.quorum() == 1
    }

    /// Until when no other voter can have become leader: followers keep still for `election_timeout`
    /// from the appends that they answered; an eighth is given up for drifting clocks.
    pub fn leadership_until(&self) -> Tick {
        if !self.is_leader() {
            return Tick(0);
        }
        if self.is_sole_voter() {
            return Tick(u64::MAX);
        }
        self.majority_contact().map_or(Tick(0), |sent| sent + self.t.election_timeout_ms() * 7 / 8)
    }

    /// Send time of the newest feed that a majority of the voters answered, this leader included.
    fn majority_contact(&self) -> Option<Tick> {
        let VoterRole::Leader { peers, .. } = &self.role else { return None };
        let r = self.voters();
        let mut stamps: Vec<Tick> = peers
            .iter()
            .filter(|(s, p)| p.installed && r.iter().any(|h| h.number == **s))
            .map(|(_, p)| p.sent_at)
            .collect();
        stamps.sort();
        stamps.iter().rev().nth(self.quorum().saturating_sub(2)).copied()
    }

    pub fn has_leadership(&self, now: Tick) -> bool {
        self.is_leader() && now < self.leadership_until() && !self.overdue(now)
    }

    /// Leads, and its accepted state is the newest there is: reads may go by it (design 2.3).
    pub fn can_serve_reads(&self, now: Tick) -> bool {
        let caught_up =
            matches!(&self.role, VoterRole::Leader { term_start, .. } if self.accepted() >= *term_start);
        caught_up && self.has_leadership(now)
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
    pub fn voters(&self, on: &ClusterState) -> Vec<VoterInfo> {
        let mut r = self.snapshot.as_ref().unwrap_or(on).voters.clone();
        for e in &self.entries {
            if let Change::ReplaceVoter(h) = &e.change {
                r.iter_mut().filter(|o| o.number == h.number).for_each(|o| *o = h.clone());
            }
        }
        r
    }
}
