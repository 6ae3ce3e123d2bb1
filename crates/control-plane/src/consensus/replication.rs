//! The ordinary run of a term (design 2.3): the leader appends, followers sync and say what they hold.

use super::*;

impl Voter {
    /// A heartbeat to all: what is due to each, else a word that the leader is there.
    pub(super) fn broadcast_append(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        for h in self.replication_targets() {
            let body = self.next_body(&h, now).unwrap_or(Body::Ping);
            self.send_append(&h, body, now, effects);
        }
    }

    /// What is due to each, where something is.
    fn send_pending_entries(&mut self, to: &[VoterInfo], now: Tick, effects: &mut Vec<Effect>) {
        for h in to {
            if let Some(body) = self.next_body(h, now) {
                self.send_append(h, body, now, effects);
            }
        }
    }

    /// A joining voter is fed only once its readmission is accepted (design 2.5).
    fn replication_targets(&self) -> Vec<VoterInfo> {
        let mut all = self.other_voters();
        all.retain(|h| self.cluster_state.voters.contains(h));
        all
    }

    /// What a follower lacks, once. It is fed again only when the answer is overdue: a long entry on
    /// a long link would be sent many times over, and hold up the heartbeats (design 2.3).
    fn next_body(&self, h: &VoterInfo, now: Tick) -> Option<Body> {
        let VoterRole::Leader { peers, .. } = &self.role else { return None };
        let p = peers.get(&h.number)?;
        if p.in_flight.as_ref().is_some_and(|c| !c.overdue(&self.t, now)) {
            return None;
        }
        // A follower that lags further than the log reaches takes a snapshot in its term.
        if !p.installed || p.last < self.base {
            let t = self.log_tail_after(p.accepted);
            return Some(Body::Install { cut: p.accepted, snapshot: t.snapshot, entries: t.entries });
        }
        let entries = batch(self.log.iter().filter(|e| e.index > p.last), self.room.batch());
        (!entries.is_empty()).then_some(Body::Append { prev: p.last, entries })
    }

    fn send_append(&mut self, h: &VoterInfo, body: Body, now: Tick, effects: &mut Vec<Effect>) {
        let last_sent = match &body {
            Body::Ping => None,
            Body::Install { .. } => Some(self.last()),
            Body::Append { entries, .. } => entries.last().map(|e| e.index),
        };
        let weight = body.weight();
        let msg = Message::Append {
            by: self.id(),
            to: h.number,
            term: self.current_term,
            accepted: self.accepted(),
            sent_at: now,
            body,
        };
        effects.push(Effect::Send { to: h.rpc_addr, msg });
        if let (VoterRole::Leader { peers, .. }, Some(last_sent)) = (&mut self.role, last_sent)
            && let Some(p) = peers.get_mut(&h.number)
        {
            p.in_flight = Some(InFlight::new(now, last_sent, weight));
        }
    }

    pub(super) fn handle_propose(&mut self, change: Change, now: Tick, effects: &mut Vec<Effect>) {
        let swapping = self.voters() != self.cluster_state.voters;
        let has_leadership = self.has_leadership(now) && self.log_term == self.current_term;
        let why = [(!has_leadership, "not the leader"), (swapping, "a seat is being swapped")]
            .into_iter()
            .find_map(|(no, why)| no.then_some(why))
            .or_else(|| self.exceeds_limits(&change));
        if let Some(why) = why {
            effects.push(Effect::NotLogged { change, why });
            return;
        }
        let e = LogEntry { index: self.last().next(), change };
        self.log.push_back(e.clone());
        effects.push(Effect::Logged { index: e.index, change: e.change.clone() });
        let accepted = self.accepted();
        self.persist(Record::Append { accepted, entries: vec![e] }, now, Vec::new(), effects);
        self.send_pending_entries(&self.replication_targets(), now, effects);
    }

    pub(super) fn handle_append(&mut self, f: AppendRequest, now: Tick, effects: &mut Vec<Effect>) {
        if !self.initialized {
            return self.first_snapshot(f, now, effects);
        }
        let AppendRequest { from, by, term, accepted, sent_at, body, .. } = f;
        if !self.is_voter(&by) || term < self.current_term || self.out {
            // Also tells a leader of an older term that it is one no more.
            if self.is_voter(&by) && !self.out {
                self.answer(from, sent_at, effects);
            } else if self.initialized {
                self.send_membership(from, effects);
            }
            return;
        }
        let newer = term > self.current_term;
        self.current_term = term;
        self.role = VoterRole::Follower { leader: Some(by), last_contact: now };
        let (mut record, mut slot) = (None, false);
        let ahead = |l: &ClusterState| l.index > self.last();
        match body {
            Body::Install { cut, snapshot, entries }
                if self.log_term < term || snapshot.as_ref().is_some_and(ahead) =>
            {
                let fits =
                    snapshot.as_ref().is_some_and(|f| f.index >= self.accepted()) || cut == self.accepted();
                if fits {
                    slot = snapshot.is_some();
                    self.take(cut, snapshot, entries, effects);
                    self.log_term = term;
                    let entries = self.log.iter().filter(|e| e.index > cut).cloned().collect();
                    record = (!slot).then_some(Record::Install { term, cut, entries });
                }
            }
            Body::Append { prev, entries } if self.log_term == term && prev <= self.last() => {
                let from = self.last();
                let new: Vec<_> = entries.into_iter().filter(|e| e.index > from).collect();
                if new.first().is_some_and(|e| e.index == from.next()) {
                    self.log.extend(new.iter().cloned());
                    record = Some(Record::Append { accepted: self.accepted(), entries: new });
                }
            }
            _ => {}
        }
        if self.log_term == term {
            self.commit_to(accepted.min(self.last()), effects);
        }
        if let Some(Record::Append { accepted, .. }) = &mut record {
            *accepted = self.accepted();
        }
        // The answer names what is synced once every record up to here is.
        let reply = Effect::Send { to: from, msg: self.held(sent_at) };
        if slot {
            self.slot(now, vec![reply], effects);
        } else if let Some(record) = record {
            self.persist(record, now, vec![reply], effects);
        } else if newer {
            self.persist(Record::Promise(term), now, vec![reply], effects);
        } else {
            self.answer(from, sent_at, effects);
        }
    }

    /// Says what this voter holds once all of it is synced. Only the newest answer to each asker matters;
    /// an overdue disk holds it back.
    fn answer(&mut self, to: SocketAddr, sent_at: Tick, effects: &mut Vec<Effect>) {
        let reply = Effect::Send { to, msg: self.held(sent_at) };
        let Some(unsynced) = self.unsynced.back_mut() else { return effects.push(reply) };
        let older =
            |f: &Effect| matches!(f, Effect::Send { to: t, msg: Message::AppendReply { .. } } if *t == to);
        unsynced.3.retain(|f| !older(f));
        unsynced.3.push(reply);
    }

    pub(super) fn held(&self, sent_at: Tick) -> Message {
        Message::AppendReply {
            by: self.id(),
            term: self.current_term,
            installed: self.log_term == self.current_term,
            last: self.last(),
            accepted: self.accepted(),
            sent_at,
        }
    }

    pub(super) fn handle_append_reply(
        &mut self,
        by: VoterId,
        term: Term,
        p: Progress,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        let (known, mine) = (self.is_voter(&by), self.current_term);
        let VoterRole::Leader { peers, .. } = &mut self.role else { return };
        if !known || term < mine {
            return;
        }
        if term > mine {
            self.role = VoterRole::Follower { leader: None, last_contact: now };
            return;
        }
        let was = peers.get(&by.number).cloned().unwrap_or_default();
        let stale = was.installed && (!p.installed || p.last < was.last);
        let mut new = if stale { was.clone() } else { p.clone() };
        new.sent_at = was.sent_at.max(p.sent_at);
        new.in_flight = was.in_flight.filter(|c| !c.held_by(&new));
        peers.insert(by.number, new);
        self.advance_commit_index(now, effects);
        self.admit_joining_voter(now, effects);
        // What is due goes on at once; the rest follows with the heartbeat.
        let to: Vec<VoterInfo> =
            self.replication_targets().into_iter().filter(|h| h.number == by.number).collect();
        self.send_pending_entries(&to, now, effects);
    }

    /// Accepts what a majority of the voters in force has synced in this term (design 2.3).
    pub(super) fn advance_commit_index(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        let VoterRole::Leader { peers, .. } = &self.role else { return };
        let settled = self.cluster_state.voters.clone();
        let mut held: Vec<Index> = self
            .other_voters()
            .iter()
            .filter(|h| settled.contains(h))
            .filter_map(|h| peers.get(&h.number).filter(|p| p.installed).map(|p| p.last))
            .collect();
        held.push(self.durable_index);
        held.sort();
        let Some(to) = held.iter().rev().nth(self.quorum() - 1).copied() else { return };
        let before = self.accepted();
        self.commit_to(to.min(self.last()), effects);
        if self.accepted() > before {
            self.broadcast_append(now, effects);
        }
    }

    pub(super) fn commit_to(&mut self, to: Index, effects: &mut Vec<Effect>) {
        let from = self.accepted();
        let due: Vec<LogEntry> =
            self.log.iter().filter(|e| e.index > from && e.index <= to).cloned().collect();
        for entry in due {
            let outcome = self.cluster_state.fold(entry.index, &entry.change);
            if let (VoterRole::Leader { peers, .. }, Change::ReplaceVoter(h)) =
                (&mut self.role, &entry.change)
            {
                // Nothing is known of the joining voter but that it is blank: its snapshot goes at once.
                peers.insert(h.number, Progress::default());
            }
            effects.push(Effect::Committed { entry, outcome });
        }
        self.trim();
    }
}
