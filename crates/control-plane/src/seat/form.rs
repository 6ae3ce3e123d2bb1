//! First forming and readmission (design 2.5): only blank seeds, all of them, found a cluster, and
//! nothing that has state is ever overwritten by a blank one.

use super::*;

impl Seat {
    /// A blank seat makes its identity durable before it says a word.
    pub fn blank_image(me: &Holder) -> Image {
        Image {
            me: me.clone(),
            formed: false,
            promised: View(0),
            log_view: View(0),
            ledger: Ledger::default(),
            entries: Vec::new(),
        }
    }

    pub(super) fn form_wakeup(&mut self, now: Tick, fx: &mut Vec<Fx>) {
        if now.since(self.last_beat) < self.t.beat_ms() {
            return;
        }
        self.last_beat = now;
        let msg =
            SeatMsg::Census { holder: self.me.clone(), formed: false, roster: Vec::new(), idx: Index(0) };
        let own = self.me.rail;
        for s in self.seeds.clone().into_iter().filter(|s| *s != own) {
            fx.push(Fx::Send { to: s, msg: msg.clone() });
        }
        // What was blank a while ago may hold a whole cluster by now.
        let fresh = self.t.patience_ms() / 2;
        self.census.retain(|_, c| now.since(c.1) <= fresh);
        if let Some(roster) = self.gathered_roster(now) {
            let ledger = Ledger { secret: self.secret, ..Ledger::founded(&self.cluster, roster) };
            let then = self.founding(&ledger);
            self.settle(ledger, now, then, fx);
        }
    }

    /// The lowest seed founds, once it has seen that all seeds are blank; with them those that found
    /// the seeds, for which it waits no longer than two tenures.
    fn gathered_roster(&mut self, now: Tick) -> Option<Vec<Holder>> {
        let own = self.me.rail;
        let mut seeds = self.seeds.clone();
        seeds.sort();
        let all = seeds.iter().all(|s| *s == own || self.census.contains_key(s));
        if !(self.founds && !self.foreign && seeds.first() == Some(&own) && all) {
            self.gathered = None;
            return None;
        }
        let since = *self.gathered.get_or_insert(now);
        self.census.insert(own, (self.me.clone(), now));
        let wanted = self.expects.clamp(seeds.len(), MOST_SEATS.max(seeds.len()));
        if self.census.len() < wanted && now.since(since) < 2 * self.t.tenure_ms {
            return None;
        }
        let others = self.census.keys().copied().filter(|r| !seeds.contains(r)).take(wanted - seeds.len());
        let all: Vec<SocketAddr> = seeds.iter().copied().chain(others).collect();
        let holder =
            |(n, at): (usize, &SocketAddr)| Some(Holder { seat: n as u8, ..self.census.get(at)?.0.clone() });
        Some(all.iter().enumerate().filter_map(holder).collect())
    }

    fn founding(&self, ledger: &Ledger) -> Vec<Fx> {
        let msg = SeatMsg::Found { ledger: ledger.clone() };
        let own = self.me.rail;
        let others = ledger.roster.iter().filter(|h| h.rail != own);
        others.map(|h| Fx::Send { to: h.rail, msg: msg.clone() }).collect()
    }

    fn settle(&mut self, ledger: Ledger, now: Tick, then: Vec<Fx>, fx: &mut Vec<Fx>) {
        let mine = ledger.roster.iter().find(|h| h.inc == self.me.inc);
        let Some(seat) = mine.map(|h| h.seat) else { return };
        self.me.seat = seat;
        self.formed = true;
        self.base = ledger.idx;
        self.ledger = ledger;
        self.post = Post::Follower { leader: None, heard: now };
        self.slot(now, then, fx);
    }

    pub(super) fn on_found(&mut self, ledger: Ledger, now: Tick, fx: &mut Vec<Fx>) {
        if !self.formed && !self.foreign && ledger.cluster == self.cluster {
            self.settle(ledger, now, Vec::new(), fx);
        }
    }

    pub(super) fn tell_roster(&self, to: SocketAddr, fx: &mut Vec<Fx>) {
        let msg = SeatMsg::Census {
            holder: self.me.clone(),
            formed: true,
            roster: self.ledger.roster.clone(),
            idx: self.accepted(),
        };
        fx.push(Fx::Send { to, msg });
    }

    pub(super) fn on_census(
        &mut self,
        from: SocketAddr,
        holder: Holder,
        formed: bool,
        (roster, idx): (Vec<Holder>, Index),
        now: Tick,
        fx: &mut Vec<Fx>,
    ) {
        match (self.formed, formed) {
            // A call lives no longer than `rail_ms`: what comes sooner than that after the start of this
            // process may have been said before it, by a machine that is blank no more.
            (false, false) if now.since(self.started) > self.t.rail_ms => {
                self.census.insert(holder.rail, (holder, now));
            }
            (false, false) => {}
            // A founder's word that was lost is said again to a blank seat of its roster.
            (true, false)
                if self.accepted() == Index(0)
                    && self.knows(&Voter { inc: holder.inc, seat: self.seat_of(&holder) }) =>
            {
                fx.push(Fx::Send { to: from, msg: SeatMsg::Found { ledger: self.ledger.clone() } });
            }
            (true, false) => self.tell_roster(from, fx),
            (false, true) => {
                let msg = SeatMsg::Plea { holder: self.me.clone() };
                self.census.remove(&holder.rail);
                self.foreign = !roster.iter().any(|h| h.inc == self.me.inc);
                if !roster.iter().any(|h| h.inc == self.me.inc) {
                    for h in &roster {
                        fx.push(Fx::Send { to: h.rail, msg: msg.clone() });
                    }
                }
            }
            // Another holds this seat now, and a majority accepted it: this one is out.
            (true, true) => {
                let mine = roster.iter().any(|h| h.inc == self.me.inc);
                if !mine && idx > self.accepted() && !self.out {
                    self.out = true;
                    self.post = Post::Follower { leader: None, heard: Tick(0) };
                    fx.push(Fx::Out);
                }
            }
        }
    }

    fn seat_of(&self, h: &Holder) -> u8 {
        self.ledger.roster.iter().find(|o| o.inc == h.inc).map(|o| o.seat).unwrap_or(u8::MAX)
    }

    /// The leader readmits a blank seat in place of its own former self at once, and in place
    /// of another holder once that one has been silent for a tenure.
    pub(super) fn on_plea(&mut self, holder: Holder, now: Tick) {
        let Post::Leader { peers, since, .. } = &self.post else { return };
        if self.roster().iter().any(|h| h.inc == holder.inc) {
            return;
        }
        let silent = self.t.tenure_ms + self.t.margin_ms();
        let lapsed = |h: &&Holder| {
            let heard = peers.get(&h.seat).map(|p| p.stamp).unwrap_or(*since);
            now.since(heard.max(*since)) > silent
        };
        let others = self.others();
        let own = others.iter().find(|h| h.node == holder.node || h.rail == holder.rail);
        let found = own.or_else(|| others.iter().find(lapsed)).map(|h| h.seat);
        // It pleads with each beat. Counted from the first time, or over a long line no answer would
        // ever be newer than the plea.
        self.pleas.retain(|_, p| now.since(p.1) <= silent);
        let at = self.pleas.get(&holder.inc).map_or(now, |p| p.1);
        match found {
            Some(seat) => self.pleas.insert(holder.inc, (Holder { seat, ..holder }, at)),
            None => self.pleas.remove(&holder.inc),
        };
    }

    /// A swap is accepted by a majority without the old holder or not at all, and from when it is
    /// logged until then it bars that holder. So it is begun only on the fresh word of so many.
    pub(super) fn heed_plea(&mut self, now: Tick, fx: &mut Vec<Fx>) {
        let Post::Leader { peers, .. } = &self.post else { return };
        let heeded = self.pleas.values().find(|(h, at)| {
            let answers = |o: &&Holder| peers.get(&o.seat).is_some_and(|p| p.installed && p.stamp > *at);
            let others = self.others();
            others.iter().filter(|o| o.seat != h.seat).filter(answers).count() + 1 >= self.quorum()
        });
        if let Some(h) = heeded.map(|p| p.0.clone()) {
            // The others plead again, by the roster as it is then.
            self.pleas.clear();
            self.on_propose(Change::Roster(h), now, fx);
        }
    }

    /// A blank seat takes its first frame, from a leader whose roster names it.
    pub(super) fn first_frame(&mut self, f: Feed, now: Tick, fx: &mut Vec<Fx>) {
        let inc = self.me.inc;
        let named = |l: &Ledger| l.cluster == self.cluster && l.roster.iter().any(|h| h.inc == inc);
        match f.body {
            Body::Install { frame: Some(l), entries, .. } if named(&l) && f.view >= self.promised => {
                self.promised = f.view;
                self.log_view = f.view;
                self.log = entries.into();
                self.me.seat = f.to;
                self.base = l.idx;
                self.ledger = l;
                self.formed = true;
                fx.push(Fx::Framed);
                self.post = Post::Follower { leader: Some(f.by), heard: now };
                let reply = Fx::Send { to: f.from, msg: self.held(f.stamp) };
                self.slot(now, vec![reply], fx);
            }
            // Says that it holds nothing, so that the leader sends the frame.
            _ => {
                let msg = SeatMsg::Held {
                    by: Voter { seat: f.to, inc },
                    view: f.view,
                    installed: false,
                    last: Index(0),
                    accepted: Index(0),
                    stamp: f.stamp,
                };
                fx.push(Fx::Send { to: f.from, msg });
            }
        }
    }
}
