//! Change of view (design 2.3): canvass, stop, gather, trim to the best log, install, go on.

use super::*;

impl Seat {
    /// Spread by seat, so that two candidates seldom meet.
    pub(super) fn patience(&self) -> u64 {
        let p = self.t.patience_ms();
        p + p * u64::from(self.me.seat) / 4 + p * (self.promised.0 % 5) / 10
    }

    /// Whether a live leader was heard too lately for another to be wanted.
    fn content(&self, now: Tick) -> bool {
        let p = self.t.patience_ms();
        match &self.post {
            Post::Follower { heard, .. } => now.since(*heard) < p,
            Post::Leader { .. } => self.leads(now),
            _ => false,
        }
    }

    fn next_view(&self) -> View {
        let room = MOST_SEATS as u64 + 1;
        View((self.promised.0 / room + 1) * room + u64::from(self.me.seat))
    }

    pub(super) fn view_wakeup(&mut self, now: Tick, fx: &mut Vec<Fx>) {
        if !self.knows(&self.voter()) {
            self.out = true;
            fx.push(Fx::Out);
            return;
        }
        let p = self.t.patience_ms();
        let ask = match &self.post {
            Post::Leader { since, .. } => {
                if self.overdue(now) || (now.since(*since) > 2 * p && now >= self.lead_until()) {
                    self.post = Post::Follower { leader: None, heard: now };
                }
                false
            }
            Post::Follower { heard, .. } => now.since(*heard) >= self.patience(),
            // A canvass asked again keeps its view and the answers on their way; a candidacy doesn't, so it
            // must outlast a round trip and a sync on the longest line.
            Post::Canvass { since, .. } => now.since(*since) >= self.patience() / 2,
            Post::Candidate { since, .. } => now.since(*since) >= self.patience(),
        };
        // A seat that just started waits: it may have answered a leader before it stopped. One that is
        // about to end leaves the lead to others.
        let stays = self.leaving.is_none() || self.alone();
        if ask && stays && !self.overdue(now) && now.since(self.started) >= p {
            let view = self.next_view();
            self.post = Post::Canvass { view, ayes: Vec::new(), since: now };
            let msg = SeatMsg::Canvass { by: self.voter(), view };
            self.tell_others(msg, fx);
            if self.alone() {
                self.on_canvassed(self.voter(), view, now, fx);
            }
        }
    }

    /// A leader steps down before it says so: its lead ends here, whoever hears of it.
    pub(super) fn on_stopping(&mut self, now: Tick, fx: &mut Vec<Fx>) {
        if self.is_leader() {
            self.post = Post::Follower { leader: None, heard: now };
            self.tell_others(SeatMsg::Yield { by: self.voter(), view: self.promised }, fx);
        }
        self.begin_leaving(now);
    }

    /// Only the leader that is followed, in the view that it gives up, ends the wait for it.
    pub(super) fn on_yield(&mut self, by: Voter, view: View, now: Tick) {
        let followed = matches!(&self.post, Post::Follower { leader: Some(l), .. } if *l == by);
        if followed && view == self.promised {
            let heard = now - 10 * self.t.patience_ms();
            self.post = Post::Follower { leader: None, heard };
        }
    }

    pub(super) fn tell_others(&self, msg: SeatMsg, fx: &mut Vec<Fx>) {
        fx.extend(self.others().into_iter().map(|h| Fx::Send { to: h.rail, msg: msg.clone() }));
    }

    pub(super) fn on_canvass(
        &mut self,
        from: SocketAddr,
        by: Voter,
        view: View,
        now: Tick,
        fx: &mut Vec<Fx>,
    ) {
        let aye = self.formed
            && !self.out
            && !self.learner()
            && self.knows(&by)
            && view > self.promised
            && !self.content(now)
            && now.since(self.started) >= self.t.patience_ms();
        if aye {
            fx.push(Fx::Send { to: from, msg: SeatMsg::Canvassed { by: self.voter(), view } });
        } else if self.formed && !self.knows(&by) {
            self.tell_roster(from, fx);
        }
    }

    pub(super) fn on_canvassed(&mut self, by: Voter, v: View, now: Tick, fx: &mut Vec<Fx>) {
        let (known, need) = (self.knows(&by), self.quorum());
        let Post::Canvass { view, ayes, .. } = &mut self.post else { return };
        if *view != v || !known || ayes.contains(&by.seat) {
            return;
        }
        ayes.push(by.seat);
        if ayes.len() + 1 >= need {
            self.promised = v;
            self.post = Post::Candidate { view: v, got: BTreeMap::new(), since: now };
            let msg = SeatMsg::Stop { by: self.voter(), view: v, accepted: self.accepted() };
            let mut then = Vec::new();
            self.tell_others(msg, &mut then);
            self.persist(Rec::Promise(v), now, then, fx);
        }
    }

    /// Stop: nothing is accepted in an older view with this seat's help from here on.
    pub(super) fn on_stop(
        &mut self,
        from: SocketAddr,
        by: Voter,
        view: View,
        accepted: Index,
        now: Tick,
        fx: &mut Vec<Fx>,
    ) {
        let fresh = now.since(self.started) >= self.t.patience_ms();
        if !self.formed
            || self.out
            || self.learner()
            || !self.knows(&by)
            || view <= self.promised
            || self.content(now)
            || !fresh
        {
            return;
        }
        self.promised = view;
        self.post = Post::Follower { leader: None, heard: now };
        let tail = self.tail_after(accepted);
        let msg = SeatMsg::Stopped { by: self.voter(), view, tail };
        self.persist(Rec::Promise(view), now, vec![Fx::Send { to: from, msg }], fx);
    }

    /// The log after `from`; with a frame where it no longer reaches back that far, or would be
    /// longer than one record or message may be.
    pub(super) fn tail_after(&self, from: Index) -> Tail {
        let long = self.accepted() > from && self.weight_after(from) > self.room.batch();
        let frame = (self.base > from || from == Index(0) || long).then(|| self.ledger.clone());
        let cut = frame.as_ref().map(|f| f.idx).unwrap_or(from);
        Tail {
            log_view: self.log_view,
            last: self.last(),
            accepted: self.accepted(),
            frame,
            entries: self.log.iter().filter(|e| e.idx > cut).cloned().collect(),
        }
    }

    pub(super) fn on_stopped(&mut self, by: Voter, v: View, tail: Tail, now: Tick, fx: &mut Vec<Fx>) {
        let (known, need) = (self.knows(&by), self.quorum());
        let own = (self.log_view, self.last());
        let Post::Candidate { view, got, .. } = &mut self.post else { return };
        if *view != v || !known {
            return;
        }
        got.insert(by.inc, tail);
        if got.len() + 1 < need {
            return;
        }
        let best = got.values().max_by_key(|t| (t.log_view, t.last)).filter(|t| (t.log_view, t.last) > own);
        let (best, voters): (_, Vec<Incarnation>) = (best.cloned(), got.keys().copied().collect());
        let known = got.values().map(|t| t.accepted).max().unwrap_or_default();
        if !self.elected_by(&voters, best.as_ref()) {
            return;
        }
        let mut framed = false;
        if let Some(t) = best {
            framed = t.frame.is_some();
            self.take(self.accepted(), t.frame, t.entries, fx);
        }
        // Nothing counts as held in the new view until the record below is synced.
        self.log_view = v;
        self.synced = Index(0);
        self.learners.clear();
        self.leavers.clear();
        self.post = Post::Leader { peers: BTreeMap::new(), since: now, floor: self.last() };
        // Said at once: the count of tenures must start anew before any of them is looked at.
        fx.push(Fx::Lead { view: v });
        if framed {
            self.slot(now, Vec::new(), fx);
        } else {
            let cut = self.accepted();
            let entries = self.log.iter().filter(|e| e.idx > cut).cloned().collect();
            self.persist(Rec::Install { view: v, cut, entries }, now, Vec::new(), fx);
        }
        // What a voter knows as accepted is so: a swap among it lets the newcomer be counted.
        self.accept_to(known.min(self.last()), fx);
        self.feed_all(now, fx);
    }

    /// The log to be taken may name another roster than the one by which votes were asked for: they
    /// must be a majority of that one, without those who were replaced (design 2.5).
    fn elected_by(&self, voters: &[Incarnation], best: Option<&Tail>) -> bool {
        let roster = best.map_or_else(|| self.roster(), |t| t.roster(&self.ledger));
        let votes = |h: &&Holder| h.inc == self.me.inc || voters.contains(&h.inc);
        roster.iter().filter(votes).count() > roster.len() / 2
    }

    /// Trim, then hold the given entries; a frame replaces the whole state.
    pub(super) fn take(
        &mut self,
        cut: Index,
        frame: Option<Ledger>,
        entries: Vec<LogEntry>,
        fx: &mut Vec<Fx>,
    ) {
        match frame.filter(|f| f.idx >= self.accepted()) {
            Some(f) => {
                self.base = f.idx;
                self.ledger = f;
                self.log.clear();
                fx.push(Fx::Framed);
            }
            None => self.log.retain(|e| e.idx <= cut),
        }
        self.synced = self.synced.min(self.last());
        let from = self.last();
        self.log.extend(entries.into_iter().filter(|e| e.idx > from));
    }
}
