//! A voter that has just started (design 2.3): it may have answered a leader before it stopped, so it
//! promises nothing for a leader's election time-out — unless all others say that they do not lead. Who led by
//! an answer of this voter's earlier life would be one of them, at its address.

use super::*;

impl Voter {
    /// Asks with each heartbeat, for as long as it would wait.
    pub(super) fn wake(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        let waits = now.since(self.started) < self.t.election_timeout_ms();
        if waits && !self.is_leader() && now.since(self.last_beat) >= self.t.heartbeat_ms() {
            self.last_beat = now;
            self.tell_others(Message::LeaderQuery(self.life), effects);
        }
    }

    pub(super) fn on_asks(&self, from: SocketAddr, life: Tick, effects: &mut Vec<Effect>) {
        if !self.is_leader() {
            effects.push(Effect::Send { to: from, msg: Message::NotLeading(life) });
        }
    }

    /// Only an answer to this life's question counts.
    pub(super) fn on_rests(&mut self, from: SocketAddr, life: Tick, now: Tick) {
        if life != self.life || !self.formed || now.since(self.started) >= self.t.election_timeout_ms() {
            return;
        }
        self.resting.insert(from);
        if !self.others().iter().all(|h| self.resting.contains(&h.rpc_addr)) {
            return;
        }
        self.started = now - self.t.election_timeout_ms();
        // Spread by voter, so that of several that wake together one stands first.
        let turn = 2 * self.t.heartbeat_ms() * u64::from(self.me.number);
        let heard = (now + turn) - self.patience();
        if let VoterRole::Follower { leader: None, heard: was } = &mut self.role {
            *was = (*was).min(heard);
        }
    }
}
