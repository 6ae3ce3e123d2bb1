//! What a voter knows of voter sets other than its own (design 2.5): a blank voter votes once it knows of a set that
//! includes it, and a voter that lags accepts the members of a newer committed set.

use super::*;

/// A voter set that includes this blank voter, and the index of the log at which it is in force.
#[derive(Clone, Debug)]
pub(super) struct Admission {
    index: Index,
    voters: Vec<VoterInfo>,
}

/// A committed voter set that another voter reported, and its commit index.
#[derive(Clone, Debug)]
pub(super) struct ReportedVoters {
    index: Index,
    voters: Vec<VoterInfo>,
}

impl Voter {
    /// Records whether a voter set includes this blank voter; a newer voter set replaces an older one.
    pub(super) fn record_admission(&mut self, voters: &[VoterInfo], index: Index) {
        if self.admission.as_ref().is_some_and(|known| known.index > index) {
            return;
        }
        let named = voters.iter().any(|voter| voter.incarnation == self.identity.incarnation);
        self.admission = named.then(|| Admission { index, voters: voters.to_vec() });
    }

    /// Records a committed voter set that is newer than this voter's own.
    pub(super) fn record_reported_voters(&mut self, voters: &[VoterInfo], index: Index) {
        if self.reported_voters.as_ref().is_none_or(|known| known.index <= index) {
            self.reported_voters = Some(ReportedVoters { index, voters: voters.to_vec() });
        }
    }

    /// Whether the sender of a message is a voter of this voter's configuration, or of a newer committed set.
    pub(super) fn is_known_voter(&self, id: &VoterId) -> bool {
        self.configuration().is_member(id.incarnation) || self.is_reported_voter(id)
    }

    fn is_reported_voter(&self, id: &VoterId) -> bool {
        let newer = self.reported_voters.as_ref().filter(|reported| reported.index > self.commit_index());
        newer.is_some_and(|reported| includes(&reported.voters, id))
    }

    /// Whether a candidate is in a voter set that this voter knows. A voter that is being replaced is no candidate for
    /// the voters that know of the replacement.
    ///
    /// A blank voter votes once a logged voter set includes it. Its incarnation began with an empty disk, so it has
    /// never acknowledged an entry or voted: its vote states just that, and no entry was committed with its help. Its
    /// vote counts only under a log that includes it; until that replacement is committed, a majority of the set
    /// without it is needed as well.
    pub(super) fn is_eligible_candidate(&self, candidate: &VoterId) -> bool {
        if self.initialized {
            return self.is_voter(candidate) || self.is_reported_voter(candidate);
        }
        self.admission.as_ref().is_some_and(|admission| includes(&admission.voters, candidate))
    }

    /// Tells a blank voter that the log of this voter includes it. Returns whether it does.
    pub(super) fn send_admission(
        &self,
        to: SocketAddr,
        blank: &VoterInfo,
        effects: &mut Vec<Effect>,
    ) -> bool {
        let voters = self.voters();
        let named = voters.iter().any(|voter| voter.incarnation == blank.incarnation);
        if named {
            self.send_voter_set(to, voters, self.last_index(), effects);
        }
        named
    }

    /// Its identifier in votes; a blank voter uses the number with which it was admitted.
    pub(super) fn voting_id(&self) -> VoterId {
        let own = |voter: &&VoterInfo| voter.incarnation == self.identity.incarnation;
        let admitted = self.admission.as_ref().filter(|_| !self.initialized);
        let number = admitted.and_then(|admission| admission.voters.iter().find(own)).map(|own| own.number);
        VoterId { number: number.unwrap_or(self.identity.number), incarnation: self.identity.incarnation }
    }

    /// The tail of its log for a candidate whose commit index is `from`.
    pub(super) fn log_tail_for_vote(&self, from: Index) -> LogTail {
        if self.initialized { self.log_tail_after(from) } else { LogTail::empty() }
    }
}

fn includes(voters: &[VoterInfo], id: &VoterId) -> bool {
    voters.iter().any(|voter| voter.number == id.number && voter.incarnation == id.incarnation)
}

impl LogTail {
    /// The tail of a blank voter, which has no log.
    fn empty() -> Self {
        Self {
            log_term: Term(0),
            last: Index(0),
            commit_index: Index(0),
            snapshot: None,
            entries: Vec::new(),
        }
    }
}
