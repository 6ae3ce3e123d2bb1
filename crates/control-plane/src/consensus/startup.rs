//! The wait before voting after a start (design 2.3). The former run of the process may have answered a leader, so this
//! one grants no vote for an election timeout, unless all other voters answer that they do not lead: a leader that
//! counts on this voter would be one of them, at the same address.

use super::*;

impl Voter {
    /// Asks the other voters with each heartbeat whether they lead, for as long as this voter waits.
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

    /// Counts an answer to this run of the process, and ends the wait once all other voters have answered.
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
        // Differs by voter, so that of several that start together one stands for election first.
        let delay_ms = 2 * self.timing.heartbeat_ms() * u64::from(self.identity.number);
        let last_contact_for_delay = (now + delay_ms) - self.election_timeout();
        if let VoterRole::Follower { leader: None, last_contact } = &mut self.role {
            *last_contact = (*last_contact).min(last_contact_for_delay);
        }
    }
}
