//! The ordinary run of a term (design 2.3): the leader feeds, followers sync and say what they hold.

use super::*;

impl Voter {
    /// A heartbeat to all: what is due to each, else a word that the leader is there.
    pub(super) fn feed_all(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        for h in self.fed() {
            let body = self.due_to(&h, now).unwrap_or(Body::Ping);
            self.feed(&h, body, now, effects);
        }
    }

    /// What is due to each, where something is.
    fn feed_due(&mut self, to: &[VoterInfo], now: Tick, effects: &mut Vec<Effect>) {
        for h in to {
            if let Some(body) = self.due_to(h, now) {
                self.feed(h, body, now, effects);
            }
        }
    }

    /// A newcomer is fed only once its readmission is accepted (design 2.5).
    fn fed(&self) -> Vec<VoterInfo> {
        let mut all = self.others();
        all.retain(|h| self.ledger.voters.contains(h));
        all
    }

    /// What a follower lacks, once. It is fed again only when the answer is overdue: a long entry on
    /// a long link would be sent many times over, and hold up the heartbeats (design 2.3).
    fn due_to(&self, h: &VoterInfo, now: Tick) -> Option<Body> {
        let VoterRole::Leader { peers, .. } = &self.role else { return None };
        let p = peers.get(&h.number)?;
        if p.carried.as_ref().is_some_and(|c| !c.overdue(&self.t, now)) {
            return None;
        }
        // A follower that lags further than the log reaches takes a snapshot in its term.
        if !p.installed || p.last < self.base {
            let t = self.tail_after(p.accepted);
            return Some(Body::Install { cut: p.accepted, snapshot: t.snapshot, entries: t.entries });
        }
        let entries = batch(self.log.iter().filter(|e| e.index > p.last), self.room.batch());
        (!entries.is_empty()).then_some(Body::Append { prev: p.last, entries })
    }

    fn feed(&mut self, h: &VoterInfo, body: Body, now: Tick, effects: &mut Vec<Effect>) {
        let upto = match &body {
            Body::Ping => None,
            Body::Install { .. } => Some(self.last()),
            Body::Append { entries, .. } => entries.last().map(|e| e.index),
        };
        let weight = body.weight();
        let msg = Message::Append {
            by: self.id(),
            to: h.number,
            term: self.promised,
            accepted: self.accepted(),
            stamp: now,
            body,
        };
        effects.push(Effect::Send { to: h.rpc_addr, msg });
        if let (VoterRole::Leader { peers, .. }, Some(upto)) = (&mut self.role, upto)
            && let Some(p) = peers.get_mut(&h.number)
        {
            p.carried = Some(InFlight::new(now, upto, weight));
        }
    }

    pub(super) fn on_propose(&mut self, change: Change, now: Tick, effects: &mut Vec<Effect>) {
        let swapping = self.voters() != self.ledger.voters;
        let leads = self.leads(now) && self.log_term == self.promised;
        let why = [(!leads, "not the leader"), (swapping, "a seat is being swapped")]
            .into_iter()
            .find_map(|(no, why)| no.then_some(why))
            .or_else(|| self.no_room(&change));
        if let Some(why) = why {
            effects.push(Effect::NotLogged { change, why });
            return;
        }
        let e = LogEntry { index: self.last().next(), change };
        self.log.push_back(e.clone());
        effects.push(Effect::Logged { index: e.index, change: e.change.clone() });
        let accepted = self.accepted();
        self.persist(Record::Append { accepted, entries: vec![e] }, now, Vec::new(), effects);
        self.feed_due(&self.fed(), now, effects);
    }

    pub(super) fn on_feed(&mut self, f: AppendRequest, now: Tick, effects: &mut Vec<Effect>) {
        if !self.formed {
            return self.first_snapshot(f, now, effects);
        }
        let AppendRequest { from, by, term, accepted, stamp, body, .. } = f;
        if !self.knows(&by) || term < self.promised || self.out {
            // Also tells a leader of an older term that it is one no more.
            if self.knows(&by) && !self.out {
                self.answer(from, stamp, effects);
            } else if self.formed {
                self.tell_voters(from, effects);
            }
            return;
        }
        let newer = term > self.promised;
        self.promised = term;
        self.role = VoterRole::Follower { leader: Some(by), heard: now };
        let (mut rec, mut slot) = (None, false);
        let ahead = |l: &Ledger| l.index > self.last();
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
                    rec = (!slot).then_some(Record::Install { term, cut, entries });
                }
            }
            Body::Append { prev, entries } if self.log_term == term && prev <= self.last() => {
                let from = self.last();
                let new: Vec<_> = entries.into_iter().filter(|e| e.index > from).collect();
                if new.first().is_some_and(|e| e.index == from.next()) {
                    self.log.extend(new.iter().cloned());
                    rec = Some(Record::Append { accepted: self.accepted(), entries: new });
                }
            }
            _ => {}
        }
        if self.log_term == term {
            self.accept_to(accepted.min(self.last()), effects);
        }
        if let Some(Record::Append { accepted, .. }) = &mut rec {
            *accepted = self.accepted();
        }
        // The answer names what is synced once every record up to here is.
        let reply = Effect::Send { to: from, msg: self.held(stamp) };
        if slot {
            self.slot(now, vec![reply], effects);
        } else if let Some(rec) = rec {
            self.persist(rec, now, vec![reply], effects);
        } else if newer {
            self.persist(Record::Promise(term), now, vec![reply], effects);
        } else {
            self.answer(from, stamp, effects);
        }
    }

    /// Says what this voter holds once all of it is synced. Only the newest answer to each asker matters;
    /// an overdue disk holds it back.
    fn answer(&mut self, to: SocketAddr, stamp: Tick, effects: &mut Vec<Effect>) {
        let reply = Effect::Send { to, msg: self.held(stamp) };
        let Some(unsynced) = self.unsynced.back_mut() else { return effects.push(reply) };
        let older =
            |f: &Effect| matches!(f, Effect::Send { to: t, msg: Message::AppendReply { .. } } if *t == to);
        unsynced.3.retain(|f| !older(f));
        unsynced.3.push(reply);
    }

    pub(super) fn held(&self, stamp: Tick) -> Message {
        Message::AppendReply {
            by: self.id(),
            term: self.promised,
            installed: self.log_term == self.promised,
            last: self.last(),
            accepted: self.accepted(),
            stamp,
        }
    }

    pub(super) fn on_held(
        &mut self,
        by: VoterId,
        term: Term,
        p: Progress,
        now: Tick,
        effects: &mut Vec<Effect>,
    ) {
        let (known, mine) = (self.knows(&by), self.promised);
        let VoterRole::Leader { peers, .. } = &mut self.role else { return };
        if !known || term < mine {
            return;
        }
        if term > mine {
            self.role = VoterRole::Follower { leader: None, heard: now };
            return;
        }
        let was = peers.get(&by.number).cloned().unwrap_or_default();
        let stale = was.installed && (!p.installed || p.last < was.last);
        let mut new = if stale { was.clone() } else { p.clone() };
        new.stamp = was.stamp.max(p.stamp);
        new.carried = was.carried.filter(|c| !c.held_by(&new));
        peers.insert(by.number, new);
        self.advance(now, effects);
        self.admit_newcomer(now, effects);
        // What is due goes on at once; the rest follows with the heartbeat.
        let to: Vec<VoterInfo> = self.fed().into_iter().filter(|h| h.number == by.number).collect();
        self.feed_due(&to, now, effects);
    }

    /// Accepts what a majority of the voters in force has synced in this term (design 2.3).
    pub(super) fn advance(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        let VoterRole::Leader { peers, .. } = &self.role else { return };
        let settled = self.ledger.voters.clone();
        let mut held: Vec<Index> = self
            .others()
            .iter()
            .filter(|h| settled.contains(h))
            .filter_map(|h| peers.get(&h.number).filter(|p| p.installed).map(|p| p.last))
            .collect();
        held.push(self.synced);
        held.sort();
        let Some(to) = held.iter().rev().nth(self.quorum() - 1).copied() else { return };
        let before = self.accepted();
        self.accept_to(to.min(self.last()), effects);
        if self.accepted() > before {
            self.feed_all(now, effects);
        }
    }

    pub(super) fn accept_to(&mut self, to: Index, effects: &mut Vec<Effect>) {
        let from = self.accepted();
        let due: Vec<LogEntry> =
            self.log.iter().filter(|e| e.index > from && e.index <= to).cloned().collect();
        for entry in due {
            let verdict = self.ledger.fold(entry.index, &entry.change);
            if let (VoterRole::Leader { peers, .. }, Change::ReplaceVoter(h)) =
                (&mut self.role, &entry.change)
            {
                // Nothing is known of the newcomer but that it is blank: its snapshot goes at once.
                peers.insert(h.number, Progress::default());
            }
            effects.push(Effect::Accepted { entry, verdict });
        }
        self.trim();
    }
}
