//! Dispatch of events and messages to their handlers.

use super::*;

impl Voter {
    /// Handles one event and returns the effects that the caller must carry out.
    pub fn step(&mut self, event: Event, now: Tick) -> Vec<Effect> {
        if self.learner {
            return self.step_as_learner(event, now);
        }
        let mut effects = Vec::new();
        match event {
            Event::SyncFailed => self.handle_sync_failed(now, &mut effects),
            Event::Recovered(durable) => self.handle_recovered(*durable, now, &mut effects),
            Event::Synced(token) => self.handle_synced(token, now, &mut effects),
            Event::Propose(change) if self.disk_failed => {
                effects.push(Effect::NotLogged { change, why: NotLogged::DiskFailed });
            }
            _ if self.disk_failed => {}
            // No message may rest on a new identity that is not synced.
            Event::Timer | Event::Msg(..) if self.awaits_identity_sync() => {}
            Event::Timer => self.tick(now, &mut effects),
            Event::Propose(change) => self.handle_propose(change, now, &mut effects),
            Event::StepDown => self.step_down(now, &mut effects),
            Event::BecomeSpare(identity) => self.become_spare(*identity, now, &mut effects),
            // A voter gets committed state from its log only.
            Event::CommittedState { .. } => {}
            Event::Msg(from, message) => self.handle_message(from, message, now, &mut effects),
        }
        effects
    }

    fn tick(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        if !self.initialized {
            return self.bootstrap_timer(now, effects);
        }
        if self.removed {
            return;
        }
        self.query_leader(now, effects);
        self.election_timer(now, effects);
        self.complete_replacement(now, effects);
        if self.is_leader() && now.since(self.last_heartbeat) >= self.timing.heartbeat_ms() {
            self.last_heartbeat = now;
            self.broadcast_append(now, effects);
        }
    }

    fn handle_message(&mut self, from: SocketAddr, message: Message, now: Tick, effects: &mut Vec<Effect>) {
        if let Err(why) = self.validate(&message, now) {
            return effects.push(Effect::MessageRejected { from, why });
        }
        match message {
            Message::Discover { voter, initialized, voters, index } => {
                self.handle_discover(from, voter, initialized, (voters, index), now, effects);
            }
            Message::Learner => self.handle_learner(from, now, effects),
            Message::BlankQuery { asker, sent_at } => self.handle_blank_query(from, asker, sent_at, effects),
            Message::Blank { voter, asker, sent_at } => self.record_blank_voter(voter, asker, sent_at),
            Message::Bootstrap { cluster_state } => self.handle_bootstrap(cluster_state, now, effects),
            Message::LeaderQuery(process_started) => {
                self.handle_leader_query(from, process_started, effects);
            }
            Message::NotLeading(process_started) => self.handle_not_leading(from, process_started, now),
            Message::StepDown { by, term } => self.handle_step_down(by, term, now),
            Message::JoinRequest { voter } => self.handle_join_request(from, voter, now, effects),
            Message::PreVote { by, term } => self.handle_pre_vote(from, by, term, now, effects),
            Message::PreVoteGranted { by, term } => self.handle_pre_vote_granted(by, term, now, effects),
            Message::VoteRequest { by, term, commit_index } => {
                self.handle_vote_request(from, by, term, commit_index, now, effects);
            }
            Message::Vote { by, term, tail } => self.handle_vote(by, term, tail, now, effects),
            Message::Append { by, to, term, commit_index, sent_at, body } => {
                let request = AppendRequest { from, by, to, term, commit_index, sent_at, body };
                self.handle_append(request, now, effects);
            }
            Message::AppendReply { by, term, installed, last, commit_index, sent_at } => {
                let progress = Progress { installed, last, commit_index, sent_at, ..Progress::default() };
                self.handle_append_reply(by, term, progress, now, effects);
            }
        }
    }

    pub(super) fn broadcast(&self, message: Message, effects: &mut Vec<Effect>) {
        for voter in self.other_voters() {
            effects.push(Effect::Send { to: voter.rpc_addr, msg: message.clone() });
        }
    }
}
