//! Bootstrap of a cluster (design 2.5): only once all seeds are known to be blank, or learners, and without ever
//! overwriting the state of an initialized voter.

use super::*;

impl Voter {
    /// Announces this blank voter to the seeds, and bootstraps a cluster once that is allowed.
    pub(super) fn bootstrap_timer(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        if now.since(self.last_heartbeat) < self.timing.heartbeat_ms() {
            return;
        }
        self.last_heartbeat = now;
        self.announce(effects);
        if let Some(proposed) = &self.proposed_bootstrap {
            return effects.extend(self.bootstrap_messages(proposed));
        }
        // Old answers are discarded: a voter that was blank then may hold a cluster's state by now.
        let max_announcement_age_ms = self.timing.election_timeout_ms() / 2;
        let max_answer_age_ms = max_announcement_age_ms + self.timing.rpc_timeout_ms;
        self.discovered_voters.retain(|_, (_, asked)| now.since(*asked) <= max_answer_age_ms);
        self.discovered_learners.retain(|_, discovered| now.since(*discovered) <= max_announcement_age_ms);
        if let Some(voters) = self.ready_bootstrap_voters(now) {
            let initial = ClusterState::bootstrapped(&self.cluster, voters);
            let cluster_state = ClusterState { secret: self.secret, ..initial };
            if self.learner {
                return self.propose_bootstrap(cluster_state, effects);
            }
            let messages = self.bootstrap_messages(&cluster_state);
            self.initialize(cluster_state, now, messages, effects);
        }
    }

    fn announce(&self, effects: &mut Vec<Effect>) {
        let as_voter = Message::Discover {
            voter: self.identity.clone(),
            initialized: false,
            voters: Vec::new(),
            index: Index(0),
        };
        let msg = if self.learner { Message::Learner } else { as_voter };
        for seed in self.seeds.iter().filter(|seed| **seed != self.identity.rpc_addr) {
            effects.push(Effect::Send { to: *seed, msg: msg.clone() });
        }
    }

    /// The voter set of a new cluster, once this voter may bootstrap it.
    ///
    /// The seed with the lowest address does so once it knows that all seeds are blank or learners. It includes other
    /// blank voters that announced themselves: it waits two leases for the expected number, then two leases for as
    /// many voters as there are seeds, and then bootstraps with however many it knows. A learner stores nothing, so its
    /// answer does not show that no cluster exists: with learners among the seeds a bootstrap requires the first start
    /// of the system.
    fn ready_bootstrap_voters(&mut self, now: Tick) -> Option<Vec<VoterInfo>> {
        let own = self.identity.rpc_addr;
        let is_lowest = self.seeds.iter().min() == Some(&own);
        let learner_seeds = self.seeds.iter().filter(|seed| self.is_learner_seed(seed)).count();
        let no_cluster_exists = learner_seeds == 0 || self.first_start;
        let blank = |seed: &SocketAddr| *seed == own || self.discovered_voters.contains_key(seed);
        let all_blank = self.seeds.iter().all(|seed| blank(seed) || self.is_learner_seed(seed));
        let allowed = self.may_bootstrap && !self.saw_other_cluster && !self.is_spare();
        if !(allowed && is_lowest && all_blank && no_cluster_exists) {
            self.seeds_complete_since = None;
            return None;
        }
        let since = *self.seeds_complete_since.get_or_insert(now);
        if !self.learner {
            self.discovered_voters.insert(own, (self.identity.clone(), now));
        }
        let seeds = self.seeds.len();
        let target = self.expected_voters.clamp(seeds, MAX_VOTERS.max(seeds));
        let required = match now.since(since) / (2 * self.timing.lease_ms) {
            0 => target,
            1 => seeds,
            _ => 1,
        };
        (self.discovered_voters.len() >= required).then(|| self.select_bootstrap_voters(target))
    }

    fn is_learner_seed(&self, seed: &SocketAddr) -> bool {
        (self.learner && *seed == self.identity.rpc_addr) || self.discovered_learners.contains_key(seed)
    }

    /// Selects all seeds among the discovered voters, then others, each from the zone with the fewest selected voters.
    fn select_bootstrap_voters(&self, target: usize) -> Vec<VoterInfo> {
        let discovered = self.discovered_voters.values().map(|(voter, _)| voter);
        let (mut selected, mut others): (Vec<&VoterInfo>, Vec<&VoterInfo>) =
            discovered.partition(|voter| self.seeds.contains(&voter.rpc_addr));
        while selected.len() < target && !others.is_empty() {
            let in_zone = |zone: &Zone| selected.iter().filter(|voter| voter.zone == *zone).count();
            let next = others.iter().enumerate().min_by_key(|(_, voter)| in_zone(&voter.zone));
            let position = next.map_or(0, |(position, _)| position);
            selected.push(others.remove(position));
        }
        let numbered = selected.into_iter().enumerate();
        numbered.map(|(number, voter)| VoterInfo { number: number as u8, ..voter.clone() }).collect()
    }

    pub(super) fn bootstrap_messages(&self, cluster_state: &ClusterState) -> Vec<Effect> {
        let msg = Message::Bootstrap { cluster_state: cluster_state.clone() };
        let others = cluster_state.voters.iter().filter(|voter| voter.rpc_addr != self.identity.rpc_addr);
        others.map(|voter| Effect::Send { to: voter.rpc_addr, msg: msg.clone() }).collect()
    }

    /// Initializes this voter with the state of a new cluster; the effects in `then` wait until it is synced.
    fn initialize(
        &mut self,
        cluster_state: ClusterState,
        now: Tick,
        then: Vec<Effect>,
        effects: &mut Vec<Effect>,
    ) {
        let own = cluster_state.voters.iter().find(|voter| voter.incarnation == self.identity.incarnation);
        let Some(number) = own.map(|voter| voter.number) else { return };
        self.identity.number = number;
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

    /// Asks the sender of an announcement whether it is still blank: the announcement may be old, so only the answer
    /// counts.
    pub(super) fn query_blank_voter(&self, to: SocketAddr, now: Tick, effects: &mut Vec<Effect>) {
        if !self.saw_other_cluster {
            let msg = Message::BlankQuery { asker: self.identity.incarnation, sent_at: now };
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
            let msg = Message::Blank { voter: self.identity.clone(), asker, sent_at };
            effects.push(Effect::Send { to: from, msg });
        }
    }

    /// Records a blank voter, as of the time when it was asked. Only an answer to this incarnation counts: answers to
    /// an earlier one may predate a cluster that this node bootstrapped and then lost with its disk.
    pub(super) fn record_blank_voter(&mut self, voter: VoterInfo, asker: Incarnation, sent_at: Tick) {
        if asker == self.identity.incarnation && !self.initialized {
            self.discovered_voters.insert(voter.rpc_addr, (voter, sent_at));
        }
    }
}
