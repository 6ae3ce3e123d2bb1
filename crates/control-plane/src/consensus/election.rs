//! Change of term (design 2.3): pre_vote, stop, gather, trim to the best log, install, go on.

use super::*;

impl Voter {
    /// Spread by voter, so that two candidates seldom meet.
    pub(super) fn election_timeout(&self) -> u64 {
        let p = self.t.election_timeout_ms();
        p + p * u64::from(self.me.number) / 4 + p * (self.current_term.0 % 5) / 10
    }

    /// Whether a live leader was heard too lately for another to be wanted.
    fn hears_leader(&self, now: Tick) -> bool {
        let p = self.t.election_timeout_ms();
        match &self.role {
            VoterRole::Follower { last_contact, .. } => now.since(*last_contact) < p,
            VoterRole::Leader { .. } => self.has_leadership(now),
            _ => false,
        }
    }

    fn next_term(&self) -> Term {
        let room = MOST_VOTERS as u64 + 1;
        Term((self.current_term.0 / room + 1) * room + u64::from(self.me.number))
    }

    pub(super) fn election_timer(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        if !self.is_voter(&self.id()) {
            self.out = true;
            effects.push(Effect::Removed);
            return;
        }
        let p = self.t.election_timeout_ms();
        let ask = match &self.role {
            VoterRole::Leader { since, .. } => {
                if self.overdue(now) || (now.since(*since) > 2 * p && now >= self.leadership_until()) {
                    self.role = VoterRole::Follower { leader: None, last_contact: now };
                }
                false
            }
            VoterRole::Follower { last_contact, .. } => now.since(*last_contact) >= self.election_timeout(),
            VoterRole::PreCandidate { since, .. } | VoterRole::Candidate { since, .. } => {
                now.since(*since) >= self.election_timeout() / 2
            }
        };
        // A voter that just started waits: it may have answered a leader before it stopped.
        if ask && !self.overdue(now) && now.since(self.started) >= p {
            let term = self.next_term();
            self.role = VoterRole::PreCandidate { term, granted: Vec::new(), since: now };
            let msg = Message::PreVote { by: self.id(), term };
            self.broadcast(msg, effects);
            if self.is_sole_voter() {
                self.handle_pre_vote_granted(self.id(), term, now, effects);
            }
        }
    }

    /// A leader steps down before it says so: its lead ends here, whoever hears of it.
    pub(super) fn step_down(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        if self.is_leader() {
            self.role = VoterRole::Follower { leader: None, last_contact: now };
            self.broadcast(Message::StepDown { by: self.id(), term: self.current_term }, effects);
        }
    }

    /// Only the leader that is followed, in the term that it gives up, ends the wait for it.
    pub(super) fn handle_step_down(&mut self, by: VoterId, term: Term, now: Tick) {
        let followed = matches!(&self.role, VoterRole::Follower { leader: Some(l), .. } if *l == by);
        if followed && term == self.current_term {
            let last_contact = now - 10 * self.t.election_timeout_ms();
            self.role = VoterRole::Follower { leader: None, last_contact };
        }
    }

    pub(super) fn broadcast(&self, msg: Message, effects: &mut Vec<Effect>) {
        effects.extend(
            self.other_voters().into_iter().map(|h| Effect::Send { to: h.rpc_addr, msg: msg.clone() }),
        );
    }

    pub(super) fn handle_pre_vote(
        &mut self,
        from: SocketAddr,
        by: VoterId,
        term: Term,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        let aye = self.initialized
            && !self.out
            && self.is_voter(&by)
            && term > self.current_term
            && !self.hears_leader(now)
            && now.since(self.started) >= self.t.election_timeout_ms();
        if aye {
            effects.push(Effect::Send { to: from, msg: Message::PreVoteGranted { by: self.id(), term } });
        } else if self.initialized && !self.is_voter(&by) {
            self.send_membership(from, effects);
        }
    }

    pub(super) fn handle_pre_vote_granted(
        &mut self,
        by: VoterId,
        v: Term,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        let (known, need) = (self.is_voter(&by), self.quorum());
        let VoterRole::PreCandidate { term, granted, .. } = &mut self.role else { return };
        if *term != v || !known || granted.contains(&by.number) {
            return;
        }
        granted.push(by.number);
        if granted.len() + 1 >= need {
            self.current_term = v;
            self.role = VoterRole::Candidate { term: v, got: BTreeMap::new(), since: now };
            let msg = Message::VoteRequest { by: self.id(), term: v, accepted: self.accepted() };
            let mut then = Vec::new();
            self.broadcast(msg, &mut then);
            self.persist(Record::Promise(v), now, then, effects);
        }
    }

    /// Stop: nothing is accepted in an older term with this voter's help from here on.
    pub(super) fn handle_vote_request(
        &mut self,
        from: SocketAddr,
        by: VoterId,
        term: Term,
        accepted: Index,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        let fresh = now.since(self.started) >= self.t.election_timeout_ms();
        if !self.initialized
            || self.out
            || !self.is_voter(&by)
            || term <= self.current_term
            || self.hears_leader(now)
            || !fresh
        {
            return;
        }
        self.current_term = term;
        self.role = VoterRole::Follower { leader: None, last_contact: now };
        let tail = self.log_tail_after(accepted);
        let msg = Message::Vote { by: self.id(), term, tail };
        self.persist(Record::Promise(term), now, vec![Effect::Send { to: from, msg }], effects);
    }

    /// The log after `from`; with a snapshot where it no longer reaches back that far, or would be
    /// longer than one record or message may be.
    pub(super) fn log_tail_after(&self, from: Index) -> LogTail {
        let long = self.accepted() > from && self.weight_after(from) > self.room.batch();
        let snapshot = (self.base > from || from == Index(0) || long).then(|| self.cluster_state.clone());
        let cut = snapshot.as_ref().map(|f| f.index).unwrap_or(from);
        LogTail {
            log_term: self.log_term,
            last: self.last(),
            accepted: self.accepted(),
            snapshot,
            entries: self.log.iter().filter(|e| e.index > cut).cloned().collect(),
        }
    }

    pub(super) fn handle_vote(
        &mut self,
        by: VoterId,
        v: Term,
        tail: LogTail,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        let (known, need) = (self.is_voter(&by), self.quorum());
        let own = (self.log_term, self.last());
        let VoterRole::Candidate { term, got, .. } = &mut self.role else { return };
        if *term != v || !known {
            return;
        }
        got.insert(by.incarnation, tail);
        if got.len() + 1 < need {
            return;
        }
        let best = got.values().max_by_key(|t| (t.log_term, t.last)).filter(|t| (t.log_term, t.last) > own);
        let (best, granted): (_, Vec<Incarnation>) = (best.cloned(), got.keys().copied().collect());
        let known = got.values().map(|t| t.accepted).max().unwrap_or_default();
        if !self.elected_by(&granted, best.as_ref()) {
            return;
        }
        let mut from_snapshot = false;
        if let Some(t) = best {
            from_snapshot = t.snapshot.is_some();
            self.take(self.accepted(), t.snapshot, t.entries, effects);
        }
        // Nothing counts as held in the new term until the record below is synced.
        self.log_term = v;
        self.durable_index = Index(0);
        self.join_requests.clear();
        self.role = VoterRole::Leader { peers: BTreeMap::new(), since: now, term_start: self.last() };
        // Said at once: the count of leases must start anew before any of them is looked at.
        effects.push(Effect::BecameLeader { term: v });
        if from_snapshot {
            self.slot(now, Vec::new(), effects);
        } else {
            let cut = self.accepted();
            let entries = self.log.iter().filter(|e| e.index > cut).cloned().collect();
            self.persist(Record::Install { term: v, cut, entries }, now, Vec::new(), effects);
        }
        // What a voter knows as accepted is so: a swap among it lets the joining voter be counted.
        self.commit_to(known.min(self.last()), effects);
        self.broadcast_append(now, effects);
    }

    /// The log to be taken may name another voters than the one by which votes were asked for: they
    /// must be a majority of that one, without those who were replaced (design 2.5).
    fn elected_by(&self, granted: &[Incarnation], best: Option<&LogTail>) -> bool {
        let voters = best.map_or_else(|| self.voters(), |t| t.voters(&self.cluster_state));
        let votes = |h: &&VoterInfo| h.incarnation == self.me.incarnation || granted.contains(&h.incarnation);
        voters.iter().filter(votes).count() > voters.len() / 2
    }

    /// Trim, then hold the given entries; a snapshot replaces the whole state.
    pub(super) fn take(
        &mut self,
        cut: Index,
        snapshot: Option<ClusterState>,
        entries: Vec<LogEntry>,
        effects: &mut Vec<Effect>,
    ) {
        match snapshot.filter(|f| f.index >= self.accepted()) {
            Some(f) => {
                self.base = f.index;
                self.cluster_state = f;
                self.log.clear();
                effects.push(Effect::SnapshotInstalled);
            }
            None => self.log.retain(|e| e.index <= cut),
        }
        self.durable_index = self.durable_index.min(self.last());
        let from = self.last();
        self.log.extend(entries.into_iter().filter(|e| e.index > from));
    }
}
