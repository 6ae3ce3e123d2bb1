//! A learner: a control node without a disk (design 2.10). It follows the committed state, tells other nodes who the
//! voters are, and bootstraps a cluster if it is the seed with the lowest address. It never votes and stores nothing.

use super::*;

impl Voter {
    /// Handles an event at a learner; most events don't apply to it, and proposals are rejected.
    pub(super) fn step_as_learner(&mut self, event: Event, now: Tick) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::CommittedState { cluster_state, leader } => {
                self.adopt_committed_state(*cluster_state, leader, now, &mut effects);
            }
            Event::Propose(change) => {
                effects.push(Effect::NotLogged { change, why: NotLogged::NotVoter });
            }
            Event::Timer if !self.initialized => self.bootstrap_timer(now, &mut effects),
            Event::Msg(from, message) => self.handle_as_learner(from, message, now, &mut effects),
            Event::Timer
            | Event::StepDown
            | Event::BecomeSpare(_)
            | Event::Synced(_)
            | Event::SyncFailed
            | Event::Recovered(_) => {}
        }
        effects
    }

    /// Adopts a committed state that this node's membership received, unless it is older or of another cluster.
    fn adopt_committed_state(
        &mut self,
        cluster_state: ClusterState,
        leader: Option<SocketAddr>,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        if cluster_state.cluster != self.cluster || cluster_state.index < self.cluster_state.index {
            return;
        }
        let by_address = |addr| cluster_state.voters.iter().find(|voter| voter.rpc_addr == addr);
        let leader = leader.and_then(by_address);
        let leader = leader.map(|voter| VoterId { number: voter.number, incarnation: voter.incarnation });
        self.role = VoterRole::Follower { leader, last_contact: now };
        self.initialized = true;
        self.proposed_bootstrap = None;
        self.snapshot_index = cluster_state.index;
        self.cluster_state = cluster_state;
        effects.push(Effect::SnapshotInstalled);
    }

    fn handle_as_learner(
        &mut self,
        from: SocketAddr,
        message: Message,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        if let Err(why) = self.validate(&message, now) {
            return effects.push(Effect::MessageRejected { from, why });
        }
        match message {
            Message::Discover { initialized: true, voters, .. } => {
                self.handle_discovered_cluster(voters, effects);
            }
            Message::Discover { voter, initialized: false, .. } if self.initialized => {
                self.answer_blank_voter(from, &voter, effects);
            }
            Message::Discover { initialized: false, .. } => self.query_blank_voter(from, now, effects),
            Message::Blank { voter, asker, sent_at } => self.record_blank_voter(voter, asker, sent_at),
            Message::Learner => self.handle_learner(from, now, effects),
            _ => {}
        }
    }

    /// Another node reported an existing cluster: this learner no longer bootstraps one.
    fn handle_discovered_cluster(&mut self, voters: Vec<VoterInfo>, effects: &mut Vec<Effect>) {
        if !self.initialized {
            self.saw_other_cluster = true;
            self.proposed_bootstrap = None;
            effects.push(Effect::VotersDiscovered(voters));
        }
    }

    /// Answers a learner with the voter set, or records it as a seed that does not vote.
    pub(super) fn handle_learner(&mut self, from: SocketAddr, now: Tick, effects: &mut Vec<Effect>) {
        if self.initialized && !self.removed {
            return self.send_membership(from, effects);
        }
        self.discovered_learners.insert(from, now);
    }

    /// Sends the initial state of a cluster to its voters; this is repeated with each heartbeat until a cluster exists.
    pub(super) fn propose_bootstrap(&mut self, initial: ClusterState, effects: &mut Vec<Effect>) {
        effects.push(Effect::VotersDiscovered(initial.voters.clone()));
        effects.extend(self.bootstrap_messages(&initial));
        self.proposed_bootstrap = Some(initial);
    }
}
