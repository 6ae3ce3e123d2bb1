//! Losses that overlap a replacement (design 2.5): a replacement that can't be committed is withdrawn, and a blank
//! voter whose admission was committed votes before it holds anything.

use super::*;

/// The newest term that this run of the process led.
#[derive(Clone, Copy, Debug)]
pub(super) struct LedTerm {
    pub(super) term: Term,
    /// End of its log when it was elected: entries behind this are its own.
    pub(super) term_start: Index,
}

/// The committed voter set that names a blank voter.
#[derive(Clone, Debug)]
pub(super) struct Admission {
    index: Index,
    voters: Vec<VoterInfo>,
}

impl Voter {
    /// Takes back a replacement that it logged as a leader and could not commit, before it stands for election again.
    ///
    /// Only the leader of a term commits its entries, unless a later leader inherits them. This voter has led the term
    /// and taken part in none since, so it knows that the entry is not committed by itself; a later leader that
    /// committed it did so with a majority of the others, without the replaced voter, and each majority by which this
    /// one could be elected holds one of them, whose newer log is taken instead.
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

    /// Notes whether a committed voter set names this blank voter. The newest one counts.
    pub(super) fn note_admission(&mut self, voters: &[VoterInfo], index: Index) {
        if self.admission.as_ref().is_some_and(|known| known.index > index) {
            return;
        }
        let named = voters.iter().any(|voter| voter.incarnation == self.me.incarnation);
        self.admission = named.then(|| Admission { index, voters: voters.to_vec() });
    }

    /// Whether a candidate may have the vote of this voter. A blank voter whose admission is committed has never held
    /// anything nor promised anything, since its incarnation began with its empty disk: its vote says just that, and
    /// every majority that committed something is one without it. Before its admission is committed the voter that it
    /// replaces may still count, so it has no vote.
    pub(super) fn may_elect(&self, candidate: &VoterId) -> bool {
        if self.initialized {
            return self.is_voter(candidate);
        }
        let is_candidate = |voter: &VoterInfo| {
            voter.number == candidate.number && voter.incarnation == candidate.incarnation
        };
        self.admission.as_ref().is_some_and(|admission| admission.voters.iter().any(is_candidate))
    }

    /// Its name in votes: a blank voter has the number under which it was admitted.
    pub(super) fn elector_id(&self) -> VoterId {
        let own = |voter: &&VoterInfo| voter.incarnation == self.me.incarnation;
        let admitted = self.admission.as_ref().filter(|_| !self.initialized);
        let number = admitted.and_then(|admission| admission.voters.iter().find(own)).map(|own| own.number);
        VoterId { number: number.unwrap_or(self.me.number), incarnation: self.me.incarnation }
    }

    /// The end of its log for a candidate whose commit index is `from`.
    pub(super) fn voted_tail(&self, from: Index) -> LogTail {
        if self.initialized { self.log_tail_after(from) } else { LogTail::empty() }
    }
}

impl LogTail {
    /// The tail of a voter that holds nothing.
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
