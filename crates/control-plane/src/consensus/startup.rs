//! A voter that has just started (design 2.3): it may have answered a leader before it stopped, so it
//! promises nothing for a leader's election time-out — unless all others say that they do not lead. Who led by
//! an answer of this voter's earlier life would be one of them, at its address.

use super::*;

impl Voter {
    /// Asks with each heartbeat, for as long as it would wait.
    pub(super) fn wake(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        let waits = now.since(self.started) < self.t.election_timeout_ms();
        if waits && !self.is_leader() && now.since(self.last_heartbeat) >= self.t.heartbeat_ms() {
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

    /// Only an answer to this life's question counts.
    pub(super) fn handle_not_leading(&mut self, from: SocketAddr, process_started: Tick, now: Tick) {
        if process_started != self.process_started
            || !self.initialized
            || now.since(self.started) >= self.t.election_timeout_ms()
        {
            return;
        }
        self.not_leading.insert(from);
        if !self.other_voters().iter().all(|h| self.not_leading.contains(&h.rpc_addr)) {
            return;
        }
        self.started = now - self.t.election_timeout_ms();
        // Spread by voter, so that of several that wake together one stands first.
        let turn = 2 * self.t.heartbeat_ms() * u64::from(self.me.number);
        let last_contact = (now + turn) - self.election_timeout();
        if let VoterRole::Follower { leader: None, last_contact: was } = &mut self.role {
            *was = (*was).min(last_contact);
        }
    }
}
