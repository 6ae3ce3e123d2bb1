//! A candidate counts votes (design 2.3). It installs the newest log among its own and those of its voters, and leads if
//! the votes are a quorum of the configuration at the end of that log.

use super::*;

impl Voter {
    /// Sends the vote requests once the candidate's own vote for the term is synced.
    pub(super) fn become_candidate(&mut self, term: Term, now: Tick, effects: &mut Vec<Effect>) {
        self.current_term = term;
        self.role = VoterRole::Candidate { term, votes: BTreeMap::new(), since: now };
        let request = Message::VoteRequest { by: self.id(), term, commit_index: self.commit_index() };
        let mut then = Vec::new();
        self.broadcast(request, &mut then);
        self.persist(Record::Promise(term), now, then, effects);
    }

    pub(super) fn handle_vote(
        &mut self,
        by: VoterId,
        asked_term: Term,
        tail: LogTail,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        let own_end = (self.log_term, self.last_index());
        let own_commit_index = self.commit_index();
        let VoterRole::Candidate { term, votes, .. } = &mut self.role else { return };
        if *term != asked_term {
            return;
        }
        let end = |tail: &LogTail| (tail.log_term, tail.last);
        let vote_end = end(&tail);
        votes.insert(by.incarnation, tail);
        let newest = votes.values().max_by_key(|tail| end(tail)).filter(|tail| end(tail) > own_end).cloned();
        let granted: BTreeSet<Incarnation> = votes.keys().copied().collect();
        let known_commits = votes.values().map(|tail| tail.commit_index);
        let committed = known_commits.fold(own_commit_index, Index::max);
        let configuration = match &newest {
            Some(tail) => tail.configuration(&self.cluster_state, committed),
            None => self.configuration(),
        };
        // That log may contain replacements that this voter did not know when it asked for votes (design 2.5).
        if configuration.elects(self.identity.incarnation, &granted) {
            self.become_leader(asked_term, newest, committed, now, effects);
        } else if newest.as_ref().is_some_and(|tail| end(tail) == vote_end) {
            self.request_further_votes(asked_term, &configuration, effects);
        }
    }

    /// Asks those voters of a newer configuration for their votes that this candidate did not know.
    fn request_further_votes(&self, term: Term, configuration: &Configuration, effects: &mut Vec<Effect>) {
        let known = self.configuration();
        let msg = Message::VoteRequest { by: self.id(), term, commit_index: self.commit_index() };
        for voter in configuration.members().iter().filter(|voter| !known.is_member(voter.incarnation)) {
            effects.push(Effect::Send { to: voter.rpc_addr, msg: msg.clone() });
        }
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
        self.commit_to(committed.min(self.last_index()), now, effects);
        self.broadcast_append(now, effects);
    }
}
