//! First forming and readmission (design 2.5): only blank seeds, all of them, found a cluster, and
//! nothing that has state is ever overwritten by a blank one.

use super::*;

impl Voter {
    /// A blank voter makes its identity durable before it says a word.
    pub fn blank_state(me: &VoterInfo) -> DurableState {
        DurableState {
            me: me.clone(),
            initialized: false,
            current_term: Term(0),
            log_term: Term(0),
            cluster_state: ClusterState::default(),
            entries: Vec::new(),
        }
    }

    pub(super) fn formation_timer(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        if now.since(self.last_heartbeat) < self.t.heartbeat_ms() {
            return;
        }
        self.last_heartbeat = now;
        let msg = Message::Discover {
            holder: self.me.clone(),
            initialized: false,
            voters: Vec::new(),
            index: Index(0),
        };
        let own = self.me.rpc_addr;
        for s in self.seeds.clone().into_iter().filter(|s| *s != own) {
            effects.push(Effect::Send { to: s, msg: msg.clone() });
        }
        // What was blank a while ago may hold a whole cluster by now.
        let fresh = self.t.election_timeout_ms() / 2;
        self.discovered_voters.retain(|_, c| now.since(c.1) <= fresh);
        if let Some(voters) = self.bootstrap_voters(now) {
            let cluster_state =
                ClusterState { secret: self.secret, ..ClusterState::bootstrapped(&self.cluster, voters) };
            let then = self.bootstrap_messages(&cluster_state);
            self.initialize(cluster_state, now, then, effects);
        }
    }

    /// The lowest seed founds, once it has seen that all seeds are blank; with them those that found
    /// the seeds, for which it waits no longer than two leases.
    fn bootstrap_voters(&mut self, now: Tick) -> Option<Vec<VoterInfo>> {
        let own = self.me.rpc_addr;
        let mut seeds = self.seeds.clone();
        seeds.sort();
        let all = seeds.iter().all(|s| *s == own || self.discovered_voters.contains_key(s));
        if !(self.may_bootstrap && !self.saw_other_cluster && seeds.first() == Some(&own) && all) {
            self.seeds_complete_since = None;
            return None;
        }
        let since = *self.seeds_complete_since.get_or_insert(now);
        self.discovered_voters.insert(own, (self.me.clone(), now));
        let wanted = self.expected_voters.clamp(seeds.len(), MOST_VOTERS.max(seeds.len()));
        if self.discovered_voters.len() < wanted && now.since(since) < 2 * self.t.lease_ms {
            return None;
        }
        let other_voters =
            self.discovered_voters.keys().copied().filter(|r| !seeds.contains(r)).take(wanted - seeds.len());
        let all: Vec<SocketAddr> = seeds.iter().copied().chain(other_voters).collect();
        let holder = |(n, at): (usize, &SocketAddr)| {
            Some(VoterInfo { number: n as u8, ..self.discovered_voters.get(at)?.0.clone() })
        };
        Some(all.iter().enumerate().filter_map(holder).collect())
    }

    fn bootstrap_messages(&self, cluster_state: &ClusterState) -> Vec<Effect> {
        let msg = Message::Bootstrap { cluster_state: cluster_state.clone() };
        let own = self.me.rpc_addr;
        let other_voters = cluster_state.voters.iter().filter(|h| h.rpc_addr != own);
        other_voters.map(|h| Effect::Send { to: h.rpc_addr, msg: msg.clone() }).collect()
    }

    fn initialize(
        &mut self,
        cluster_state: ClusterState,
        now: Tick,
        then: Vec<Effect>,
        effects: &mut Vec<Effect>,
    ) {
        let mine = cluster_state.voters.iter().find(|h| h.incarnation == self.me.incarnation);
        let Some(number) = mine.map(|h| h.number) else { return };
        self.me.number = number;
        self.initialized = true;
        self.base = cluster_state.index;
        self.cluster_state = cluster_state;
        self.role = VoterRole::Follower { leader: None, last_contact: now };
        self.slot(now, then, effects);
    }

    pub(super) fn handle_bootstrap(
        &mut self,
        cluster_state: ClusterState,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        if !self.initialized && !self.saw_other_cluster && cluster_state.cluster == self.cluster {
            self.initialize(cluster_state, now, Vec::new(), effects);
        }
    }

    pub(super) fn send_membership(&self, to: SocketAddr, effects: &mut Vec<Effect>) {
        let msg = Message::Discover {
            holder: self.me.clone(),
            initialized: true,
            voters: self.cluster_state.voters.clone(),
            index: self.accepted(),
        };
        effects.push(Effect::Send { to, msg });
    }

    pub(super) fn handle_discover(
        &mut self,
        from: SocketAddr,
        holder: VoterInfo,
        initialized: bool,
        (voters, index): (Vec<VoterInfo>, Index),
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        match (self.initialized, initialized) {
            // A call lives no longer than `rpc_timeout_ms`: what comes sooner than that after the start of this
            // process may have been said before it, by a machine that is blank no more.
            (false, false) if now.since(self.started) > self.t.rpc_timeout_ms => {
                self.discovered_voters.insert(holder.rpc_addr, (holder, now));
            }
            (false, false) => {}
            // A founder's word that was lost is said again to a blank voter of its voters.
            (true, false)
                if self.accepted() == Index(0)
                    && self.is_voter(&VoterId {
                        incarnation: holder.incarnation,
                        number: self.number_of(&holder),
                    }) =>
            {
                effects.push(Effect::Send {
                    to: from,
                    msg: Message::Bootstrap { cluster_state: self.cluster_state.clone() },
                });
            }
            (true, false) => self.send_membership(from, effects),
            (false, true) => {
                let msg = Message::JoinRequest { holder: self.me.clone() };
                self.discovered_voters.remove(&holder.rpc_addr);
                self.saw_other_cluster = !voters.iter().any(|h| h.incarnation == self.me.incarnation);
                if !voters.iter().any(|h| h.incarnation == self.me.incarnation) {
                    for h in &voters {
                        effects.push(Effect::Send { to: h.rpc_addr, msg: msg.clone() });
                    }
                }
            }
            // Another holds this voter now, and a majority accepted it: this one is out.
            (true, true) => {
                let mine = voters.iter().any(|h| h.incarnation == self.me.incarnation);
                if !mine && index > self.accepted() && !self.out {
                    self.out = true;
                    self.role = VoterRole::Follower { leader: None, last_contact: Tick(0) };
                    effects.push(Effect::Removed);
                }
            }
        }
    }

    fn number_of(&self, h: &VoterInfo) -> u8 {
        self.cluster_state
            .voters
            .iter()
            .find(|o| o.incarnation == h.incarnation)
            .map(|o| o.number)
            .unwrap_or(u8::MAX)
    }

    /// The leader readmits a blank voter in place of its own former self at once, and in place
    /// of another holder once that one has been silent for a lease.
    pub(super) fn handle_join_request(&mut self, holder: VoterInfo, now: Tick) {
        let VoterRole::Leader { peers, since, .. } = &self.role else { return };
        if self.voters().iter().any(|h| h.incarnation == holder.incarnation) {
            return;
        }
        let silent = self.t.lease_ms + self.t.lease_margin_ms();
        let expired = |h: &&VoterInfo| {
            let last_contact = peers.get(&h.number).map(|p| p.sent_at).unwrap_or(*since);
            now.since(last_contact.max(*since)) > silent
        };
        let other_voters = self.other_voters();
        let own = other_voters.iter().find(|h| h.node == holder.node || h.rpc_addr == holder.rpc_addr);
        let found = own.or_else(|| other_voters.iter().find(expired)).map(|h| h.number);
        // It pleads with each heartbeat. Counted from the first time, or over a long line no answer would
        // ever be newer than the join_request.
        self.join_requests.retain(|_, p| now.since(p.1) <= silent);
        let at = self.join_requests.get(&holder.incarnation).map_or(now, |p| p.1);
        match found {
            Some(number) => {
                self.join_requests.insert(holder.incarnation, (VoterInfo { number, ..holder }, at))
            }
            None => self.join_requests.remove(&holder.incarnation),
        };
    }

    /// A swap is accepted by a majority without the old holder or not at all, and from when it is
    /// logged until then it bars that holder. So it is begun only on the fresh word of so many.
    pub(super) fn admit_joining_voter(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        let VoterRole::Leader { peers, .. } = &self.role else { return };
        let admitted = self.join_requests.values().find(|(h, at)| {
            let answers =
                |o: &&VoterInfo| peers.get(&o.number).is_some_and(|p| p.installed && p.sent_at > *at);
            let other_voters = self.other_voters();
            other_voters.iter().filter(|o| o.number != h.number).filter(answers).count() + 1 >= self.quorum()
        });
        if let Some(h) = admitted.map(|p| p.0.clone()) {
            // The others plead again, by the voters as it is then.
            self.join_requests.clear();
            self.handle_propose(Change::ReplaceVoter(h), now, effects);
        }
    }

    /// A blank voter takes its first snapshot, from a leader whose voters names it.
    pub(super) fn first_snapshot(&mut self, f: AppendRequest, now: Tick, effects: &mut Vec<Effect>) {
        let incarnation = self.me.incarnation;
        let named = |l: &ClusterState| {
            l.cluster == self.cluster && l.voters.iter().any(|h| h.incarnation == incarnation)
        };
        match f.body {
            Body::Install { snapshot: Some(l), entries, .. } if named(&l) && f.term >= self.current_term => {
                self.current_term = f.term;
                self.log_term = f.term;
                self.log = entries.into();
                self.me.number = f.to;
                self.base = l.index;
                self.cluster_state = l;
                self.initialized = true;
                effects.push(Effect::SnapshotInstalled);
                self.role = VoterRole::Follower { leader: Some(f.by), last_contact: now };
                let reply = Effect::Send { to: f.from, msg: self.held(f.sent_at) };
                self.slot(now, vec![reply], effects);
            }
            // Says that it holds nothing, so that the leader sends the snapshot.
            _ => {
                let msg = Message::AppendReply {
                    by: VoterId { number: f.to, incarnation },
                    term: f.term,
                    installed: false,
                    last: Index(0),
                    accepted: Index(0),
                    sent_at: f.sent_at,
                };
                effects.push(Effect::Send { to: f.from, msg });
            }
        }
    }
}
