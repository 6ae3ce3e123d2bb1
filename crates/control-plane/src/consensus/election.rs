//! Leader election (design 2.3): a pre-vote, then votes that carry the tails of the voters' logs. The new leader
//! installs the newest of these logs in its term.

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
        Term((self.current_term.0 / terms_per_round + 1) * terms_per_round + u64::from(self.identity.number))
    }

    /// Whether this process has waited for an election timeout since its start. Until then a leader that its former
    /// run answered may rely on it not to help elect another.
    fn startup_wait_over(&self, now: Tick) -> bool {
        now.since(self.started) >= self.timing.election_timeout_ms()
    }

    /// Stands for election when that is due; a voter that has been replaced reports its removal instead.
    pub(super) fn election_timer(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        if !self.is_voter(&self.id()) {
            let own = |voter: &VoterInfo| voter.incarnation == self.identity.incarnation;
            self.replaced = !self.cluster_state.voters.iter().any(own);
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

    /// Makes a leader a follower, if its disk is overdue or no majority has answered it for too long.
    fn check_leadership(&mut self, elected_at: Tick, now: Tick) {
        let established = now.since(elected_at) > 2 * self.timing.election_timeout_ms();
        let expired = established && now >= self.leadership_until();
        if self.sync_overdue(now) || expired {
            self.role = VoterRole::Follower { leader: None, last_contact: now };
        }
    }

    fn become_pre_candidate(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        self.withdraw_replacement();
        let again = matches!(self.role, VoterRole::PreCandidate { .. } | VoterRole::Candidate { .. });
        if again {
            // An admitted voter may still be blank and not know that it may vote.
            let voters = self.other_voters();
            voters.iter().for_each(|voter| self.send_membership(voter.rpc_addr, effects));
        }
        let term = self.next_term();
        self.role = VoterRole::PreCandidate { term, granted: Vec::new(), since: now };
        self.broadcast(Message::PreVote { by: self.id(), term }, effects);
        if self.is_sole_voter() {
            self.handle_pre_vote_granted(self.id(), term, now, effects);
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
            self.send_membership(from, effects);
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
        let (known, quorum) = (self.is_voter(&by), self.quorum());
        let VoterRole::PreCandidate { term, granted, .. } = &mut self.role else { return };
        if *term != asked_term || !known || granted.contains(&by.number) {
            return;
        }
        granted.push(by.number);
        if granted.len() + 1 >= quorum {
            self.become_candidate(asked_term, now, effects);
        }
    }

    /// Sends the vote requests once the candidate's own vote for the term is synced.
    fn become_candidate(&mut self, term: Term, now: Tick, effects: &mut Vec<Effect>) {
        self.current_term = term;
        self.role = VoterRole::Candidate { term, votes: BTreeMap::new(), since: now };
        let request = Message::VoteRequest { by: self.id(), term, commit_index: self.commit_index() };
        let mut then = Vec::new();
        self.broadcast(request, &mut then);
        self.persist(Record::Promise(term), now, then, effects);
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

    pub(super) fn handle_vote(
        &mut self,
        by: VoterId,
        asked_term: Term,
        tail: LogTail,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        let (known, quorum) = (self.is_voter(&by), self.quorum());
        let own_end = (self.log_term, self.last_index());
        let VoterRole::Candidate { term, votes, .. } = &mut self.role else { return };
        if *term != asked_term || !known {
            return;
        }
        votes.insert(by.incarnation, tail);
        if votes.len() + 1 < quorum {
            return;
        }
        let end = |tail: &LogTail| (tail.log_term, tail.last);
        let newest = votes.values().max_by_key(|tail| end(tail)).filter(|tail| end(tail) > own_end).cloned();
        let granted: Vec<Incarnation> = votes.keys().copied().collect();
        let committed = votes.values().map(|tail| tail.commit_index).max().unwrap_or_default();
        if self.elected_by(&granted, newest.as_ref()) {
            self.become_leader(asked_term, newest, committed, now, effects);
        }
    }

    /// The log to be installed may contain replacements that this voter did not know when it asked for votes: the
    /// votes must form a majority of the voter set at the end of that log (design 2.5).
    fn elected_by(&self, granted: &[Incarnation], newest: Option<&LogTail>) -> bool {
        let voters = newest.map_or_else(|| self.voters(), |tail| tail.voters(&self.cluster_state));
        let voted = |voter: &&VoterInfo| {
            voter.incarnation == self.identity.incarnation || granted.contains(&voter.incarnation)
        };
        voters.iter().filter(voted).count() > voters.len() / 2
    }

    /// Installs the newest log in the new term; `committed` is the highest commit index that any voter knows.
    fn become_leader(
        &mut self,
        term: Term,
        newest: Option<LogTail>,
        committed: Index,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        let from_snapshot = newest.as_ref().is_some_and(|tail| tail.snapshot.is_some());
        if let Some(tail) = newest {
            self.install_log(self.commit_index(), tail.snapshot, tail.entries, effects);
        }
        // No entry counts as synced in the new term until the record below is.
        self.log_term = term;
        self.durable_index = Index(0);
        self.join_requests.clear();
        let term_start = self.last_index();
        self.role = VoterRole::Leader { peers: BTreeMap::new(), since: now, term_start };
        self.led = Some(LedTerm { term, term_start });
        // Reported at once: the caller must reset its leases before it uses any of them.
        effects.push(Effect::BecameLeader { term });
        if from_snapshot {
            self.write_snapshot(now, Vec::new(), effects);
        } else {
            let truncate_to = self.commit_index();
            let entries = self.entries_after(truncate_to);
            self.persist(Record::Install { term, truncate_to, entries }, now, Vec::new(), effects);
        }
        // Committing a replacement adds the new voter to those that are counted.
        self.commit_to(committed.min(self.last_index()), effects);
        self.broadcast_append(now, effects);
    }
}
