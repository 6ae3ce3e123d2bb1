//! Who leads, and for how long that is certain (design 2.3).

use super::*;

/// A voter's contact with its cluster, by its own clock and by its last contacts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// Leads, and a majority answered it lately.
    Leading,
    /// Hears its leader.
    Following,
    /// Heard neither a majority nor a leader for half of the election time-out.
    Isolated,
    /// Is not a voter, or no longer: it knows of the cluster what others tell it.
    NotVoter,
}

impl Voter {
    /// Silence after which a voter takes itself for out of contact, in milliseconds: several heartbeats, and
    /// sooner than a lease ends or another voter stands for election.
    pub fn silence_timeout_ms(&self) -> u64 {
        self.timing.election_timeout_ms() / 2
    }

    /// Its contact with the cluster now.
    pub fn contact(&self, now: Tick) -> Contact {
        if !self.initialized || self.removed || self.learner {
            return Contact::NotVoter;
        }
        let silence_ms = self.silence_timeout_ms();
        match &self.role {
            VoterRole::Leader { .. } if self.is_sole_voter() => Contact::Leading,
            VoterRole::Leader { since, .. } => {
                let last_contact = self.majority_contact().unwrap_or(*since).max(*since);
                if now.since(last_contact) < silence_ms { Contact::Leading } else { Contact::Isolated }
            }
            VoterRole::Follower { leader: Some(_), last_contact }
                if now.since(*last_contact) < silence_ms =>
            {
                Contact::Following
            }
            _ => Contact::Isolated,
        }
    }

    /// Whether it is a majority by itself.
    pub(super) fn is_sole_voter(&self) -> bool {
        self.quorum() == 1
    }

    /// Until when no other voter can have become leader: followers grant no vote for an election time-out
    /// after an append that they answered, and an eighth is given up for drifting clocks.
    pub fn leadership_until(&self) -> Tick {
        if !self.is_leader() {
            return Tick(0);
        }
        if self.is_sole_voter() {
            return Tick(u64::MAX);
        }
        let sent = self.majority_contact();
        sent.map_or(Tick(0), |sent| sent + self.timing.election_timeout_ms() * 7 / 8)
    }

    /// Send time of the newest append that a majority of the voters answered, this leader included.
    fn majority_contact(&self) -> Option<Tick> {
        let VoterRole::Leader { peers, .. } = &self.role else { return None };
        let voters = self.voters();
        let is_voter = |number: &u8| voters.iter().any(|voter| voter.number == *number);
        let mut answered: Vec<Tick> = peers
            .iter()
            .filter(|(number, progress)| progress.installed && is_voter(number))
            .map(|(_, progress)| progress.sent_at)
            .collect();
        answered.sort();
        answered.iter().rev().nth(self.quorum().saturating_sub(2)).copied()
    }

    /// Whether it leads for certain: no other voter can have been elected, and its disk keeps up.
    pub fn has_leadership(&self, now: Tick) -> bool {
        self.is_leader() && now < self.leadership_until() && !self.sync_overdue(now)
    }

    /// Whether it leads for certain and its committed state is the newest there is (design 2.3).
    pub fn can_serve_reads(&self, now: Tick) -> bool {
        let caught_up = match &self.role {
            VoterRole::Leader { term_start, .. } => self.commit_index() >= *term_start,
            _ => false,
        };
        caught_up && self.has_leadership(now)
    }

    /// Where the leader is, as far as this voter knows.
    pub fn leader(&self) -> Option<VoterInfo> {
        let id = match &self.role {
            VoterRole::Leader { .. } => self.id(),
            VoterRole::Follower { leader, .. } => (*leader)?,
            _ => return None,
        };
        let holds = |voter: &VoterInfo| voter.number == id.number && voter.incarnation == id.incarnation;
        self.voters().into_iter().find(holds)
    }
}
