//! Who the leader is, and for how long that is certain (design 2.3).

use super::*;

/// A voter's contact with its cluster, judged by its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// It is the leader, and a majority has answered it recently.
    Leading,
    /// It follows a leader that has contacted it recently.
    Following,
    /// It has had contact with neither a majority nor a leader for half the election timeout. It may be back in contact
    /// soon, for example once another leader is elected.
    Lost,
    /// It is not a voter, or no longer one: it knows the cluster only through other nodes.
    NotVoter,
}

impl Voter {
    /// Time without contact after which a voter regards its contact as lost, in milliseconds: several heartbeats, but
    /// less than a lease and less than the time until another voter stands for election.
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
                if now.since(last_contact) < silence_ms { Contact::Leading } else { Contact::Lost }
            }
            VoterRole::Follower { leader: Some(_), last_contact }
                if now.since(*last_contact) < silence_ms =>
            {
                Contact::Following
            }
            _ => Contact::Lost,
        }
    }

    /// Whether this voter alone is a majority.
    pub(super) fn is_sole_voter(&self) -> bool {
        let configuration = self.configuration();
        !configuration.is_joint() && configuration.target().len() == 1
    }

    /// Until when no other voter can have become leader. Followers grant no vote for an election timeout after an
    /// append that they answered; an eighth of it is subtracted to allow for clock drift.
    pub fn leadership_until(&self) -> Tick {
        if !self.is_leader() {
            return Tick(0);
        }
        if self.is_sole_voter() {
            return Tick(u64::MAX);
        }
        let sent_at = self.majority_contact();
        sent_at.map_or(Tick(0), |sent_at| sent_at + self.timing.election_timeout_ms() * 7 / 8)
    }

    /// The latest time such that a majority, including this leader, has answered appends sent then or later.
    fn majority_contact(&self) -> Option<Tick> {
        let VoterRole::Leader { peers, .. } = &self.role else { return None };
        let answered = |voter: &VoterInfo| {
            if voter.incarnation == self.identity.incarnation {
                return Some(Tick(u64::MAX));
            }
            peers
                .get(&voter.incarnation)
                .filter(|progress| progress.installed)
                .map(|progress| progress.sent_at)
        };
        self.configuration().quorum_value(answered)
    }

    /// Whether it is certain to be the leader: no other voter can have been elected, and its disk is not overdue.
    pub fn has_leadership(&self, now: Tick) -> bool {
        self.is_leader() && now < self.leadership_until() && !self.sync_overdue(now)
    }

    /// Whether it is certain to be the leader and its committed state is up to date (design 2.3).
    pub fn can_serve_reads(&self, now: Tick) -> bool {
        let caught_up = match &self.role {
            VoterRole::Leader { term_start, .. } => self.commit_index() >= *term_start,
            _ => false,
        };
        caught_up && self.has_leadership(now)
    }

    /// The leader, as far as this voter knows.
    pub fn leader(&self) -> Option<VoterInfo> {
        let id = match &self.role {
            VoterRole::Leader { .. } => self.id(),
            VoterRole::Follower { leader, .. } => (*leader)?,
            _ => return None,
        };
        let matches = |voter: &VoterInfo| voter.number == id.number && voter.incarnation == id.incarnation;
        self.configuration().members().into_iter().find(matches)
    }
}
