//! Failures during a replacement (design 2.5): a replacement that can't be committed is withdrawn, and a blank voter
//! whose admission is committed may vote before it is initialized.

use super::*;

/// The newest term that this run of the process led.
#[derive(Clone, Copy, Debug)]
pub(super) struct LedTerm {
    pub(super) term: Term,
    /// Last index of its log when it was elected: later entries were proposed in its own term.
    pub(super) term_start: Index,
}

/// A committed voter set that includes this blank voter, and its commit index.
#[derive(Clone, Debug)]
pub(super) struct Admission {
    index: Index,
    voters: Vec<VoterInfo>,
}

impl Voter {
    /// Removes from the log a replacement that this voter logged as the leader and could not commit, before it stands
    /// for election again.
    ///
    /// The entries of a term are committed by the leader of that term or by a later leader that inherits them. This
    /// voter led the term and has joined none since, so it has not committed the entry itself. A later leader can have
    /// committed it only with a majority that excludes the replaced voter; every majority that could elect this voter
    /// includes one of that majority, and its newer log is then installed instead.
    pub(super) fn withdraw_replacement(&mut self) {
        let is_current = |led: &LedTerm| led.term == self.current_term && led.term == self.log_term;
        let Some(led) = self.led.filter(is_current) else { return };
        let committed = self.commit_index().max(led.term_start);
        let withdrawn =
            |entry: &LogEntry| entry.index > committed && matches!(entry.change, Change::ReplaceVoter(_));
        if let Some(position) = self.log.iter().position(withdrawn) {
            self.log.truncate(position);
            self.durable_index = self.durable_index.min(self.last_index());
        }
    }

    /// Records whether a committed voter set includes this blank voter; a newer voter set replaces an older one.
    pub(super) fn record_admission(&mut self, voters: &[VoterInfo], index: Index) {
        if self.admission.as_ref().is_some_and(|known| known.index > index) {
            return;
        }
        let named = voters.iter().any(|voter| voter.incarnation == self.identity.incarnation);
        self.admission = named.then(|| Admission { index, voters: voters.to_vec() });
    }

    /// Whether a candidate is in the voter set that applies to this voter.
    ///
    /// A blank voter votes once its admission is committed. Its incarnation began with an empty disk, so it has never
    /// acknowledged an entry or voted: its vote states just that, and no entry was committed with its help. Before
    /// that, the voter that it replaces may still count, so it must not vote.
    pub(super) fn is_eligible_candidate(&self, candidate: &VoterId) -> bool {
        if self.initialized {
            return self.is_voter(candidate);
        }
        let is_candidate = |voter: &VoterInfo| {
            voter.number == candidate.number && voter.incarnation == candidate.incarnation
        };
        self.admission.as_ref().is_some_and(|admission| admission.voters.iter().any(is_candidate))
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
