//! First forming and readmission (design 2.5): only blank seeds, all of them, found a cluster, and
//! nothing that has state is ever overwritten by a blank one.

use super::*;

impl Voter {
    /// A blank voter makes its identity durable before it says a word.
    pub fn blank_image(me: &VoterInfo) -> DurableState {
        DurableState {
            me: me.clone(),
            formed: false,
            promised: Term(0),
            log_term: Term(0),
            ledger: Ledger::default(),
            entries: Vec::new(),
        }
    }

    pub(super) fn formation_timer(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        if now.since(self.last_beat) < self.t.heartbeat_ms() {
            return;
        }
        self.last_beat = now;
        let msg =
            Message::Discover { holder: self.me.clone(), formed: false, voters: Vec::new(), index: Index(0) };
        let own = self.me.rpc_addr;
        for s in self.seeds.clone().into_iter().filter(|s| *s != own) {
            effects.push(Effect::Send { to: s, msg: msg.clone() });
        }
        // What was blank a while ago may hold a whole cluster by now.
        let fresh = self.t.election_timeout_ms() / 2;
        self.discovered.retain(|_, c| now.since(c.1) <= fresh);
        if let Some(voters) = self.gathered_voters(now) {
            let ledger = Ledger { secret: self.secret, ..Ledger::founded(&self.cluster, voters) };
            let then = self.founding(&ledger);
            self.settle(ledger, now, then, effects);
        }
    }

    /// The lowest seed founds, once it has seen that all seeds are blank; with them those that found
    /// the seeds, for which it waits no longer than two leases.
    fn gathered_voters(&mut self, now: Tick) -> Option<Vec<VoterInfo>> {
        let own = self.me.rpc_addr;
        let mut seeds = self.seeds.clone();
        seeds.sort();
        let all = seeds.iter().all(|s| *s == own || self.discovered.contains_key(s));
        if !(self.founds && !self.foreign && seeds.first() == Some(&own) && all) {
            self.gathered = None;
            return None;
        }
        let since = *self.gathered.get_or_insert(now);
        self.discovered.insert(own, (self.me.clone(), now));
        let wanted = self.expects.clamp(seeds.len(), MOST_VOTERS.max(seeds.len()));
        if self.discovered.len() < wanted && now.since(since) < 2 * self.t.lease_ms {
            return None;
        }
        let others =
            self.discovered.keys().copied().filter(|r| !seeds.contains(r)).take(wanted - seeds.len());
        let all: Vec<SocketAddr> = seeds.iter().copied().chain(others).collect();
        let holder = |(n, at): (usize, &SocketAddr)| {
            Some(VoterInfo { number: n as u8, ..self.discovered.get(at)?.0.clone() })
        };
        Some(all.iter().enumerate().filter_map(holder).collect())
    }

    fn founding(&self, ledger: &Ledger) -> Vec<Effect> {
        let msg = Message::Bootstrap { ledger: ledger.clone() };
        let own = self.me.rpc_addr;
        let others = ledger.voters.iter().filter(|h| h.rpc_addr != own);
        others.map(|h| Effect::Send { to: h.rpc_addr, msg: msg.clone() }).collect()
    }

    fn settle(&mut self, ledger: Ledger, now: Tick, then: Vec<Effect>, effects: &mut Vec<Effect>) {
        let mine = ledger.voters.iter().find(|h| h.incarnation == self.me.incarnation);
        let Some(number) = mine.map(|h| h.number) else { return };
        self.me.number = number;
        self.formed = true;
        self.base = ledger.index;
        self.ledger = ledger;
        self.role = VoterRole::Follower { leader: None, heard: now };
        self.slot(now, then, effects);
    }

    pub(super) fn on_found(&mut self, ledger: Ledger, now: Tick, effects: &mut Vec<Effect>) {
        if !self.formed && !self.foreign && ledger.cluster == self.cluster {
            self.settle(ledger, now, Vec::new(), effects);
        }
    }

    pub(super) fn tell_voters(&self, to: SocketAddr, effects: &mut Vec<Effect>) {
        let msg = Message::Discover {
            holder: self.me.clone(),
            formed: true,
            voters: self.ledger.voters.clone(),
            index: self.accepted(),
        };
        effects.push(Effect::Send { to, msg });
    }

    pub(super) fn on_discover(
        &mut self,
        from: SocketAddr,
        holder: VoterInfo,
        formed: bool,
        (voters, index): (Vec<VoterInfo>, Index),
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        match (self.formed, formed) {
            // A call lives no longer than `rpc_timeout_ms`: what comes sooner than that after the start of this
            // process may have been said before it, by a machine that is blank no more.
            (false, false) if now.since(self.started) > self.t.rpc_timeout_ms => {
                self.discovered.insert(holder.rpc_addr, (holder, now));
            }
            (false, false) => {}
            // A founder's word that was lost is said again to a blank voter of its voters.
            (true, false)
                if self.accepted() == Index(0)
                    && self.knows(&VoterId {
                        incarnation: holder.incarnation,
                        number: self.number_of(&holder),
                    }) =>
            {
                effects
                    .push(Effect::Send { to: from, msg: Message::Bootstrap { ledger: self.ledger.clone() } });
            }
            (true, false) => self.tell_voters(from, effects),
            (false, true) => {
                let msg = Message::JoinRequest { holder: self.me.clone() };
                self.discovered.remove(&holder.rpc_addr);
                self.foreign = !voters.iter().any(|h| h.incarnation == self.me.incarnation);
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
                    self.role = VoterRole::Follower { leader: None, heard: Tick(0) };
                    effects.push(Effect::Removed);
                }
            }
        }
    }

    fn number_of(&self, h: &VoterInfo) -> u8 {
        self.ledger
            .voters
            .iter()
            .find(|o| o.incarnation == h.incarnation)
            .map(|o| o.number)
            .unwrap_or(u8::MAX)
    }

    /// The leader readmits a blank voter in place of its own former self at once, and in place
    /// of another holder once that one has been silent for a lease.
    pub(super) fn on_join_request(&mut self, holder: VoterInfo, now: Tick) {
        let VoterRole::Leader { peers, since, .. } = &self.role else { return };
        if self.voters().iter().any(|h| h.incarnation == holder.incarnation) {
            return;
        }
        let silent = self.t.lease_ms + self.t.lease_margin_ms();
        let expired = |h: &&VoterInfo| {
            let heard = peers.get(&h.number).map(|p| p.stamp).unwrap_or(*since);
            now.since(heard.max(*since)) > silent
        };
        let others = self.others();
        let own = others.iter().find(|h| h.node == holder.node || h.rpc_addr == holder.rpc_addr);
        let found = own.or_else(|| others.iter().find(expired)).map(|h| h.number);
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
    pub(super) fn admit_newcomer(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        let VoterRole::Leader { peers, .. } = &self.role else { return };
        let admitted = self.join_requests.values().find(|(h, at)| {
            let answers = |o: &&VoterInfo| peers.get(&o.number).is_some_and(|p| p.installed && p.stamp > *at);
            let others = self.others();
            others.iter().filter(|o| o.number != h.number).filter(answers).count() + 1 >= self.quorum()
        });
        if let Some(h) = admitted.map(|p| p.0.clone()) {
            // The others plead again, by the voters as it is then.
            self.join_requests.clear();
            self.on_propose(Change::ReplaceVoter(h), now, effects);
        }
    }

    /// A blank voter takes its first snapshot, from a leader whose voters names it.
    pub(super) fn first_snapshot(&mut self, f: AppendRequest, now: Tick, effects: &mut Vec<Effect>) {
        let incarnation = self.me.incarnation;
        let named =
            |l: &Ledger| l.cluster == self.cluster && l.voters.iter().any(|h| h.incarnation == incarnation);
        match f.body {
            Body::Install { snapshot: Some(l), entries, .. } if named(&l) && f.term >= self.promised => {
                self.promised = f.term;
                self.log_term = f.term;
                self.log = entries.into();
                self.me.number = f.to;
                self.base = l.index;
                self.ledger = l;
                self.formed = true;
                effects.push(Effect::SnapshotInstalled);
                self.role = VoterRole::Follower { leader: Some(f.by), heard: now };
                let reply = Effect::Send { to: f.from, msg: self.held(f.stamp) };
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
                    stamp: f.stamp,
                };
                effects.push(Effect::Send { to: f.from, msg });
            }
        }
    }
}
