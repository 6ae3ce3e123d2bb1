//! Leader election (design 2.3): a pre-vote, then votes that carry the tails of the voters' logs.

use super::*;

/// When the leader steps down, a follower sets its last contact back by this many election timeouts, so that it
/// stands for election at once.
const STEP_DOWN_BACKDATE_TIMEOUTS: u64 = 10;

impl Voter {
    /// Election timeout of this voter in milliseconds; it differs by voter and term, so that votes are seldom split.
    pub(super) fn election_timeout(&self) -> u64 {
        let base = self.timing.election_timeout_ms();
        base + base * u64::from(self.identity.number) / 4 + base * (self.current_term.0 % 5) / 10
    }

    /// Whether its last contact with a leader is too recent to vote for another.
    fn has_recent_leader_contact(&self, now: Tick) -> bool {
        match &self.role {
            VoterRole::Follower { last_contact, .. } => {
                now.since(*last_contact) < self.timing.election_timeout_ms()
            }
            VoterRole::Leader { .. } => self.has_leadership(now),
            VoterRole::PreCandidate { .. } | VoterRole::Candidate { .. } => false,
        }
    }

    /// The next term that this voter may stand for: the number of a term determines its only possible leader.
    fn next_term(&self) -> Term {
        let terms_per_round = MAX_VOTERS as u64 + 1;
        let newest = self.current_term.max(self.highest_term_seen);
        Term((newest.0 / terms_per_round + 1) * terms_per_round + u64::from(self.identity.number))
    }

    /// Whether this process has waited for an election timeout since its start. Until then a leader that its former
    /// run answered may rely on it not to help elect another.
    fn startup_wait_over(&self, now: Tick) -> bool {
        now.since(self.started) >= self.timing.election_timeout_ms()
    }

    /// Stands for election when that is due; a voter whose replacement is complete reports its removal instead.
    pub(super) fn election_timer(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        if self.replacement_is_complete() {
            self.removed = true;
            effects.push(Effect::Removed);
            return;
        }
        let due = match &self.role {
            VoterRole::Leader { since, .. } => {
                let since = *since;
                self.check_leadership(since, now);
                false
            }
            VoterRole::Follower { last_contact, .. } => now.since(*last_contact) >= self.election_timeout(),
            VoterRole::PreCandidate { since, .. } | VoterRole::Candidate { since, .. } => {
                now.since(*since) >= self.election_timeout() / 2
            }
        };
        if due && !self.sync_overdue(now) && self.startup_wait_over(now) {
            self.become_pre_candidate(now, effects);
        }
    }

    /// Whether this voter's own log shows that another one has replaced it for good.
    fn replacement_is_complete(&self) -> bool {
        let own = self.identity.incarnation;
        let is_leaving =
            self.cluster_state.leaving_voter.as_ref().is_some_and(|voter| voter.incarnation == own);
        !is_leaving && !self.configuration().is_member(own)
    }

    /// Makes a leader a follower, if its disk is overdue or no majority has answered it for too long.
    fn check_leadership(&mut self, elected_at: Tick, now: Tick) {
        let established = now.since(elected_at) > 2 * self.timing.election_timeout_ms();
        let expired = established && now >= self.leadership_until();
        if self.sync_overdue(now) || expired {
            self.role = VoterRole::Follower { leader: None, last_contact: now };
        }
    }

    fn become_pre_candidate(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        let again = matches!(self.role, VoterRole::PreCandidate { .. } | VoterRole::Candidate { .. });
        if again {
            self.inform_other_voters(effects);
        }
        let term = self.next_term();
        self.role = VoterRole::PreCandidate { term, granted: BTreeSet::new(), since: now };
        self.broadcast(Message::PreVote { by: self.id(), term }, effects);
        if self.is_sole_voter() {
            self.handle_pre_vote_granted(self.id(), term, now, effects);
        }
    }

    /// Tells the other voters of its voter set: an admitted voter may still be blank and not know that it may vote. A
    /// voter whose own admission may have been lost asks for it again.
    fn inform_other_voters(&self, effects: &mut Vec<Effect>) {
        let others = self.other_voters();
        for voter in &others {
            if self.cluster_state.voters.contains(voter) {
                self.send_membership(voter.rpc_addr, effects);
            } else {
                self.send_admission(voter.rpc_addr, voter, effects);
            }
        }
        let own = |voter: &VoterInfo| voter.incarnation == self.identity.incarnation;
        if !self.cluster_state.voters.iter().any(own) {
            self.request_to_join(&others, effects);
        }
    }

    /// Gives up the leadership, and only then tells the others: it ends here whether or not the message arrives.
    pub(super) fn step_down(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        if self.is_leader() {
            self.role = VoterRole::Follower { leader: None, last_contact: now };
            self.broadcast(Message::StepDown { by: self.id(), term: self.current_term }, effects);
        }
    }

    /// Ends the wait for the current leader; a message from another voter or another term is ignored.
    pub(super) fn handle_step_down(&mut self, by: VoterId, term: Term, now: Tick) {
        let from_leader =
            matches!(&self.role, VoterRole::Follower { leader: Some(leader), .. } if *leader == by);
        if from_leader && term == self.current_term {
            let last_contact = now - STEP_DOWN_BACKDATE_TIMEOUTS * self.timing.election_timeout_ms();
            self.role = VoterRole::Follower { leader: None, last_contact };
        }
    }

    pub(super) fn handle_pre_vote(
        &mut self,
        from: SocketAddr,
        by: VoterId,
        term: Term,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        if self.would_vote_for(&by, term, now) {
            let msg = Message::PreVoteGranted { by: self.voting_id(), term };
            effects.push(Effect::Send { to: from, msg });
        } else if self.initialized && !self.is_voter(&by) {
            self.correct_membership(from, by.incarnation, effects);
        }
    }

    fn would_vote_for(&self, candidate: &VoterId, term: Term, now: Tick) -> bool {
        self.is_eligible_candidate(candidate)
            && !self.removed
            && term > self.current_term
            && !self.has_recent_leader_contact(now)
            && self.startup_wait_over(now)
    }

    pub(super) fn handle_pre_vote_granted(
        &mut self,
        by: VoterId,
        asked_term: Term,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        let (configuration, own) = (self.configuration(), self.identity.incarnation);
        let VoterRole::PreCandidate { term, granted, .. } = &mut self.role else { return };
        if *term != asked_term {
            return;
        }
        granted.insert(by.incarnation);
        // A voter that is being replaced asks only to learn whether the replacement is complete.
        if configuration.elects(own, granted) {
            self.become_candidate(asked_term, now, effects);
        }
    }

    /// Grants a vote. The voter then acknowledges no appends of older terms, so it helps to commit nothing in them.
    pub(super) fn handle_vote_request(
        &mut self,
        from: SocketAddr,
        by: VoterId,
        term: Term,
        commit_index: Index,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        if !self.would_vote_for(&by, term, now) {
            return;
        }
        self.current_term = term;
        self.role = VoterRole::Follower { leader: None, last_contact: now };
        let tail = self.log_tail_for_vote(commit_index);
        let vote = Message::Vote { by: self.voting_id(), term, tail };
        self.persist(Record::Promise(term), now, vec![Effect::Send { to: from, msg: vote }], effects);
    }
}
