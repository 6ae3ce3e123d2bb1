//! How a cluster begins (design 2.5): only blank seeds, all of them, bootstrap one, and nothing that has
//! state is ever overwritten by a blank voter.

use super::*;

impl Voter {
    /// Introduces this blank voter to the seeds, and bootstraps a cluster once that is allowed.
    pub(super) fn bootstrap_timer(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        if now.since(self.last_heartbeat) < self.timing.heartbeat_ms() {
            return;
        }
        self.last_heartbeat = now;
        self.introduce(effects);
        if let Some(proposed) = &self.proposed_bootstrap {
            return effects.extend(self.bootstrap_messages(proposed));
        }
        // What was blank a while ago may hold a whole cluster by now.
        let fresh_ms = self.timing.election_timeout_ms() / 2;
        let answered_ms = fresh_ms + self.timing.rpc_timeout_ms;
        self.discovered_voters.retain(|_, (_, asked)| now.since(*asked) <= answered_ms);
        self.discovered_learners.retain(|_, discovered| now.since(*discovered) <= fresh_ms);
        if let Some(voters) = self.bootstrap_voters(now) {
            let initial = ClusterState::bootstrapped(&self.cluster, voters);
            let cluster_state = ClusterState { secret: self.secret, ..initial };
            if self.learner {
                return self.propose_bootstrap(cluster_state, effects);
            }
            let messages = self.bootstrap_messages(&cluster_state);
            self.initialize(cluster_state, now, messages, effects);
        }
    }

    fn introduce(&self, effects: &mut Vec<Effect>) {
        let as_voter = Message::Discover {
            voter: self.me.clone(),
            initialized: false,
            voters: Vec::new(),
            index: Index(0),
        };
        let msg = if self.learner { Message::Learner } else { as_voter };
        for seed in self.seeds.iter().filter(|seed| **seed != self.me.rpc_addr) {
            effects.push(Effect::Send { to: *seed, msg: msg.clone() });
        }
    }

    /// The voter set of a new cluster. The lowest seed bootstraps it, once it knows that all seeds are blank or
    /// have no disk; with them those that found the seeds, for which it waits no longer than two leases (four, where
    /// they are fewer than the seeds). Seeds without a disk prove nothing: beside them only the first start of the
    /// whole system does.
    fn bootstrap_voters(&mut self, now: Tick) -> Option<Vec<VoterInfo>> {
        let own = self.me.rpc_addr;
        let lowest = self.seeds.iter().min() == Some(&own);
        let learner_seeds = self.seeds.iter().filter(|seed| self.is_learner(seed)).count();
        let proven = learner_seeds == 0 || self.first_start;
        let blank = |seed: &SocketAddr| *seed == own || self.discovered_voters.contains_key(seed);
        let all_blank = self.seeds.iter().all(|seed| blank(seed) || self.is_learner(seed));
        let allowed = self.may_bootstrap && !self.saw_other_cluster && !self.is_spare();
        if !(allowed && lowest && all_blank && proven) {
            self.seeds_complete_since = None;
            return None;
        }
        let since = *self.seeds_complete_since.get_or_insert(now);
        if !self.learner {
            self.discovered_voters.insert(own, (self.me.clone(), now));
        }
        let seeds = self.seeds.len();
        let wanted = self.expected_voters.clamp(seeds, MAX_VOTERS.max(seeds));
        let least = match now.since(since) / (2 * self.timing.lease_ms) {
            0 => wanted,
            1 => seeds,
            _ => 1,
        };
        (self.discovered_voters.len() >= least).then(|| self.chosen_voters(wanted))
    }

    fn is_learner(&self, seed: &SocketAddr) -> bool {
        (self.learner && *seed == self.me.rpc_addr) || self.discovered_learners.contains_key(seed)
    }

    /// The seeds among the discovered voters, then others, so that the zones have alike many.
    fn chosen_voters(&self, wanted: usize) -> Vec<VoterInfo> {
        let discovered = self.discovered_voters.values().map(|(voter, _)| voter);
        let (mut chosen, mut others): (Vec<&VoterInfo>, Vec<&VoterInfo>) =
            discovered.partition(|voter| self.seeds.contains(&voter.rpc_addr));
        while chosen.len() < wanted && !others.is_empty() {
            let in_zone = |zone: &Zone| chosen.iter().filter(|voter| voter.zone == *zone).count();
            let emptiest = others.iter().enumerate().min_by_key(|(_, voter)| in_zone(&voter.zone));
            let position = emptiest.map_or(0, |(position, _)| position);
            chosen.push(others.remove(position));
        }
        let numbered = chosen.into_iter().enumerate();
        numbered.map(|(number, voter)| VoterInfo { number: number as u8, ..voter.clone() }).collect()
    }

    pub(super) fn bootstrap_messages(&self, cluster_state: &ClusterState) -> Vec<Effect> {
        let msg = Message::Bootstrap { cluster_state: cluster_state.clone() };
        let others = cluster_state.voters.iter().filter(|voter| voter.rpc_addr != self.me.rpc_addr);
        others.map(|voter| Effect::Send { to: voter.rpc_addr, msg: msg.clone() }).collect()
    }

    /// Takes up the state of a new cluster; the effects in `then` wait until it is synced.
    fn initialize(
        &mut self,
        cluster_state: ClusterState,
        now: Tick,
        then: Vec<Effect>,
        effects: &mut Vec<Effect>,
    ) {
        let own = cluster_state.voters.iter().find(|voter| voter.incarnation == self.me.incarnation);
        let Some(number) = own.map(|voter| voter.number) else { return };
        self.me.number = number;
        self.initialized = true;
        self.snapshot_index = cluster_state.index;
        self.cluster_state = cluster_state;
        self.role = VoterRole::Follower { leader: None, last_contact: now };
        self.write_snapshot(now, then, effects);
    }

    pub(super) fn handle_bootstrap(
        &mut self,
        cluster_state: ClusterState,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        let own_cluster = cluster_state.cluster == self.cluster;
        if !self.initialized && !self.saw_other_cluster && !self.is_spare() && own_cluster {
            self.initialize(cluster_state, now, Vec::new(), effects);
        }
    }

    /// Tells a voter who the voters are now.
    pub(crate) fn send_membership(&self, to: SocketAddr, effects: &mut Vec<Effect>) {
        let msg = Message::Discover {
            voter: self.me.clone(),
            initialized: true,
            voters: self.cluster_state.voters.clone(),
            index: self.commit_index(),
        };
        effects.push(Effect::Send { to, msg });
    }

    pub(super) fn handle_discover(
        &mut self,
        from: SocketAddr,
        voter: VoterInfo,
        initialized: bool,
        (voters, index): (Vec<VoterInfo>, Index),
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        match (self.initialized, initialized) {
            (false, false) => self.query_blank_voter(from, now, effects),
            (true, false) => self.answer_blank_voter(from, &voter, effects),
            (false, true) => {
                self.note_admission(&voters, index);
                self.ask_to_join(&voter, &voters, effects);
            }
            (true, true) => self.check_own_membership(&voters, index, effects),
        }
    }

    /// An introduction may be of any age, and its sender blank no more: it is asked, and only its answer counts.
    pub(super) fn query_blank_voter(&self, to: SocketAddr, now: Tick, effects: &mut Vec<Effect>) {
        if !self.saw_other_cluster {
            let msg = Message::BlankQuery { asker: self.me.incarnation, sent_at: now };
            effects.push(Effect::Send { to, msg });
        }
    }

    pub(super) fn handle_blank_query(
        &self,
        from: SocketAddr,
        asker: Incarnation,
        sent_at: Tick,
        effects: &mut Vec<Effect>,
    ) {
        if !self.initialized && !self.saw_other_cluster && !self.is_spare() {
            let msg = Message::Blank { voter: self.me.clone(), asker, sent_at };
            effects.push(Effect::Send { to: from, msg });
        }
    }

    /// Only an answer to this incarnation counts, from when it was asked for: a machine that has lost its disk since,
    /// and with it a cluster that it began, has another one.
    pub(super) fn note_blank_voter(&mut self, voter: VoterInfo, asker: Incarnation, sent_at: Tick) {
        if asker == self.me.incarnation && !self.initialized {
            self.discovered_voters.insert(voter.rpc_addr, (voter, sent_at));
        }
    }

    pub(super) fn answer_blank_voter(&self, from: SocketAddr, voter: &VoterInfo, effects: &mut Vec<Effect>) {
        let same = |own: &&VoterInfo| own.incarnation == voter.incarnation;
        let number = self.cluster_state.voters.iter().find(same).map_or(u8::MAX, |own| own.number);
        let id = VoterId { number, incarnation: voter.incarnation };
        if self.commit_index() == Index(0) && self.is_voter(&id) {
            // The bootstrap message to one of the first voters was lost.
            let msg = Message::Bootstrap { cluster_state: self.cluster_state.clone() };
            return effects.push(Effect::Send { to: from, msg });
        }
        self.send_membership(from, effects);
    }

    fn ask_to_join(&mut self, initialized: &VoterInfo, voters: &[VoterInfo], effects: &mut Vec<Effect>) {
        self.discovered_voters.remove(&initialized.rpc_addr);
        self.saw_other_cluster = !self.is_among(voters);
        if self.saw_other_cluster {
            let msg = Message::JoinRequest { voter: self.me.clone() };
            for voter in voters {
                effects.push(Effect::Send { to: voter.rpc_addr, msg: msg.clone() });
            }
        }
    }

    /// Another holder was committed in this voter's place: it takes part no more under this identity.
    fn check_own_membership(&mut self, voters: &[VoterInfo], index: Index, effects: &mut Vec<Effect>) {
        if !self.is_among(voters) && index > self.commit_index() && !self.replaced {
            (self.removed, self.replaced) = (true, true);
            self.role = VoterRole::Follower { leader: None, last_contact: Tick(0) };
            effects.push(Effect::Removed);
        }
    }

    fn is_among(&self, voters: &[VoterInfo]) -> bool {
        voters.iter().any(|voter| voter.incarnation == self.me.incarnation)
    }
}
