//! The ordinary run of a view (design 2.3): the leader feeds, followers sync and say what they hold.

use super::*;

impl Seat {
    /// A beat to all: what is due to each, else a word that the leader is there.
    pub(super) fn feed_all(&mut self, now: Tick, fx: &mut Vec<Fx>) {
        for h in self.fed() {
            let body = self.due_to(&h, now).unwrap_or(Body::Ping);
            self.feed(&h, body, now, fx);
        }
    }

    /// What is due to each, where something is.
    fn feed_due(&mut self, to: &[Holder], now: Tick, fx: &mut Vec<Fx>) {
        for h in to {
            if let Some(body) = self.due_to(h, now) {
                self.feed(h, body, now, fx);
            }
        }
    }

    /// A newcomer is fed as a learner until its swap is accepted (design 2.5).
    fn fed(&self) -> Vec<Holder> {
        let mut all = self.others();
        all.retain(|h| self.ledger.roster.contains(h));
        all.extend(self.learners.values().map(|l| l.holder.clone()));
        all
    }

    /// What a follower lacks, once. It is fed again only when the answer is overdue: a long entry on
    /// a long link would be sent many times over, and hold up the beats (design 2.3).
    pub(super) fn due_to(&self, h: &Holder, now: Tick) -> Option<Body> {
        let p = self.peer(h)?;
        if p.carried.as_ref().is_some_and(|c| !c.overdue(&self.t, p.round_trip, now)) {
            return None;
        }
        // A follower that lags further than the log reaches takes a frame in its view.
        if !p.installed || p.last < self.base {
            let t = self.tail_after(p.accepted);
            return Some(Body::Install { cut: p.accepted, frame: t.frame, entries: t.entries });
        }
        let entries = batch(self.log.iter().filter(|e| e.idx > p.last), self.room.batch());
        (!entries.is_empty()).then_some(Body::Append { prev: p.last, entries })
    }

    pub(super) fn feed(&mut self, h: &Holder, body: Body, now: Tick, fx: &mut Vec<Fx>) {
        let upto = match &body {
            Body::Ping => None,
            Body::Install { .. } => Some(self.last()),
            Body::Append { entries, .. } => entries.last().map(|e| e.idx),
        };
        let weight = body.weight();
        let msg = SeatMsg::Feed {
            by: self.voter(),
            to: h.seat,
            view: self.promised,
            accepted: self.accepted(),
            stamp: now,
            body,
        };
        fx.push(Fx::Send { to: h.rail, msg });
        if let Some(upto) = upto
            && let Some(p) = self.peer_mut(h)
        {
            p.carried = Some(Carried::new(now, upto, weight));
        }
    }

    pub(super) fn on_propose(&mut self, change: Change, now: Tick, fx: &mut Vec<Fx>) {
        let swapping = self.roster() != self.ledger.roster;
        let leads = self.leads(now) && self.log_view == self.promised;
        let why = [(!leads, "not the leader"), (swapping, "a seat is being swapped")]
            .into_iter()
            .find_map(|(no, why)| no.then_some(why))
            .or_else(|| self.no_room(&change));
        if let Some(why) = why {
            fx.push(Fx::NotLogged { change, why });
            return;
        }
        let e = LogEntry { idx: self.last().next(), change };
        self.log.push_back(e.clone());
        fx.push(Fx::Logged { idx: e.idx, change: e.change.clone() });
        let accepted = self.accepted();
        self.persist(Rec::Append { accepted, entries: vec![e] }, now, Vec::new(), fx);
        self.feed_due(&self.fed(), now, fx);
    }

    pub(super) fn on_feed(&mut self, f: Feed, now: Tick, fx: &mut Vec<Fx>) {
        if !self.formed || (self.learner() && !self.knows(&f.by)) {
            return self.first_frame(f, now, fx);
        }
        let known = self.knows(&f.by) || self.shown(&f);
        let Feed { from, by, view, accepted, stamp, body, .. } = f;
        if !known || view < self.promised || self.out {
            // Also tells a leader of an older view that it is one no more.
            if self.knows(&by) && !self.out {
                fx.push(Fx::Send { to: from, msg: self.held(stamp) });
            } else {
                self.tell_roster(from, fx);
            }
            // One that was swapped in meanwhile is asked for the state that names it.
            if !self.knows(&by) && view > self.promised && !self.out {
                fx.push(Fx::Send { to: from, msg: self.holds_nothing(view, stamp) });
            }
            return;
        }
        let newer = view > self.promised;
        self.promised = view;
        self.post = Post::Follower { leader: Some(by), heard: now };
        let (mut rec, mut slot) = (None, false);
        let ahead = |l: &Ledger| l.idx > self.last();
        match body {
            Body::Install { cut, frame, entries }
                if self.log_view < view || frame.as_ref().is_some_and(ahead) =>
            {
                let fits = frame.as_ref().is_some_and(|f| f.idx >= self.accepted()) || cut == self.accepted();
                if fits {
                    slot = frame.is_some();
                    self.take(cut, frame, entries, fx);
                    self.log_view = view;
                    let entries = self.log.iter().filter(|e| e.idx > cut).cloned().collect();
                    rec = (!slot).then_some(Rec::Install { view, cut, entries });
                }
            }
            Body::Append { prev, entries } if self.log_view == view && prev <= self.last() => {
                let from = self.last();
                let new: Vec<_> = entries.into_iter().filter(|e| e.idx > from).collect();
                if new.first().is_some_and(|e| e.idx == from.next()) {
                    self.log.extend(new.iter().cloned());
                    rec = Some(Rec::Append { accepted: self.accepted(), entries: new });
                }
            }
            _ => {}
        }
        if self.log_view == view {
            self.accept_to(accepted.min(self.last()), fx);
        }
        // From here on it votes, once this is on its disk.
        slot |= self.take_seat();
        if let Some(Rec::Append { accepted, .. }) = &mut rec {
            *accepted = self.accepted();
        }
        // The answer names what is synced once every record up to here is.
        let reply = Fx::Send { to: from, msg: self.held(stamp) };
        if slot {
            self.slot(now, vec![reply], fx);
        } else if let Some(rec) = rec {
            self.persist(rec, now, vec![reply], fx);
        } else if newer {
            self.persist(Rec::Promise(view), now, vec![reply], fx);
        } else if let Some(u) = self.unsynced.back_mut() {
            // Only the newest answer matters; an overdue disk holds it back.
            u.3.retain(|f| !matches!(f, Fx::Send { msg: SeatMsg::Held { .. }, .. }));
            u.3.push(reply);
        } else {
            fx.push(reply);
        }
    }

    pub(super) fn held(&self, stamp: Tick) -> SeatMsg {
        SeatMsg::Held {
            by: self.voter(),
            view: self.promised,
            installed: self.log_view == self.promised,
            last: self.last(),
            accepted: self.accepted(),
            stamp,
        }
    }

    pub(super) fn holds_nothing(&self, view: View, stamp: Tick) -> SeatMsg {
        SeatMsg::Held { by: self.voter(), view, installed: false, last: Index(0), accepted: Index(0), stamp }
    }

    pub(super) fn on_held(&mut self, by: Voter, view: View, p: Peer, now: Tick, fx: &mut Vec<Fx>) {
        let Some(holder) = self.answerer(&by) else { return };
        let (votes, mine) = (self.knows(&by), self.promised);
        if view > mine && votes {
            self.post = Post::Follower { leader: None, heard: now };
        }
        if view != mine || !self.is_leader() {
            return;
        }
        let seatless = !votes && !self.learners.contains_key(&by.inc);
        let was = self.peer(&holder).cloned().unwrap_or_default();
        // What it said without its seat counts no more once it has spoken with it.
        if seatless && was.votes() {
            return;
        }
        let new = was.answered(Peer { learner: seatless, ..p }, now);
        if let Some(learner) = self.learners.get_mut(&by.inc) {
            (learner.peer, learner.heard) = (new, now);
        } else if let Post::Leader { peers, .. } = &mut self.post {
            peers.insert(holder.seat, new);
        }
        self.advance(now, fx);
        self.heed_learners(now, fx);
        // What is due goes on at once; the rest follows with the beat.
        let to: Vec<Holder> = self.fed().into_iter().filter(|h| h.inc == by.inc).collect();
        self.feed_due(&to, now, fx);
    }

    /// Who answers: a learner, or a holder of the accepted roster, that knows its seat or not yet.
    fn answerer(&self, by: &Voter) -> Option<Holder> {
        let learner = self.learners.get(&by.inc).map(|l| l.holder.clone());
        let all = if self.knows(by) { self.roster() } else { self.ledger.roster.clone() };
        let known = |h: &Holder| h.inc == by.inc && (h.seat == by.seat || by.seat == u8::MAX);
        learner.or_else(|| all.into_iter().find(known))
    }

    /// Accepts what a majority of the roster in force has synced in this view (design 2.3).
    pub(super) fn advance(&mut self, now: Tick, fx: &mut Vec<Fx>) {
        let Post::Leader { peers, .. } = &self.post else { return };
        let settled = self.ledger.roster.clone();
        let mut held: Vec<Index> = self
            .others()
            .iter()
            .filter(|h| settled.contains(h))
            .filter_map(|h| peers.get(&h.seat).filter(|p| p.votes()).map(|p| p.last))
            .collect();
        held.push(self.synced);
        held.sort();
        let Some(to) = held.iter().rev().nth(self.quorum() - 1).copied() else { return };
        let before = self.accepted();
        self.accept_to(to.min(self.last()), fx);
        if self.accepted() > before {
            self.feed_all(now, fx);
        }
    }

    pub(super) fn accept_to(&mut self, to: Index, fx: &mut Vec<Fx>) {
        let from = self.accepted();
        let due: Vec<LogEntry> = self.log.iter().filter(|e| e.idx > from && e.idx <= to).cloned().collect();
        for entry in due {
            let verdict = self.ledger.fold(entry.idx, &entry.change);
            if let (Post::Leader { peers, .. }, Change::Roster(h)) = (&mut self.post, &entry.change) {
                peers.remove(&h.seat);
                let learner = self.learners.remove(&h.inc);
                peers.extend(learner.map(|l| (h.seat, Peer { learner: true, ..l.peer })));
            }
            fx.push(Fx::Accepted { entry, verdict });
        }
        self.trim();
    }
}
