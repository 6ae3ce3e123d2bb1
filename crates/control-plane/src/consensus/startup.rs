//! A voter that has just started (design 2.3). It may have answered a leader before it stopped, so it grants
//! no vote for an election time-out, unless all other voters say that they do not lead: whoever was elected
//! with its help would be one of them, at its address.

use super::*;

impl Voter {
    /// Asks the others with each heartbeat, for as long as it would wait.
    pub(super) fn query_leader(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        let waits = now.since(self.started) < self.timing.election_timeout_ms();
        let due = now.since(self.last_heartbeat) >= self.timing.heartbeat_ms();
        if waits && !self.is_leader() && due {
            self.last_heartbeat = now;
            self.broadcast(Message::LeaderQuery(self.process_started), effects);
        }
    }

    pub(super) fn handle_leader_query(
        &self,
        from: SocketAddr,
        process_started: Tick,
        effects: &mut Vec<Effect>,
    ) {
        if !self.is_leader() {
            effects.push(Effect::Send { to: from, msg: Message::NotLeading(process_started) });
        }
    }

    /// Only an answer to this run of the process counts.
    pub(super) fn handle_not_leading(&mut self, from: SocketAddr, process_started: Tick, now: Tick) {
        let waits = now.since(self.started) < self.timing.election_timeout_ms();
        if process_started != self.process_started || !self.initialized || !waits {
            return;
        }
        self.not_leading.insert(from);
        if self.other_voters().iter().all(|voter| self.not_leading.contains(&voter.rpc_addr)) {
            self.end_startup_wait(now);
        }
    }

    fn end_startup_wait(&mut self, now: Tick) {
        self.started = now - self.timing.election_timeout_ms();
        // Spread by voter, so that of several that start together one stands for election first.
        let turn_ms = 2 * self.timing.heartbeat_ms() * u64::from(self.me.number);
        let stands_at_turn = (now + turn_ms) - self.election_timeout();
        if let VoterRole::Follower { leader: None, last_contact } = &mut self.role {
            *last_contact = (*last_contact).min(stands_at_turn);
        }
    }
}
