//! A seat and its disk (design 2.4): nothing is said before it is synced.

use super::*;

impl Seat {
    /// Hands a record to the disk; `then` is held until it is synced (design 2.4).
    pub(super) fn persist(&mut self, rec: Rec, now: Tick, then: Vec<Fx>, fx: &mut Vec<Fx>) {
        self.tok += 1;
        self.log_recs += 1;
        self.log_bytes += rec.weight();
        if matches!(rec, Rec::Image(_)) {
            self.log_recs = 0;
            self.log_bytes = 0;
        }
        self.unsynced.push_back((self.tok, now, self.last(), then));
        fx.push(Fx::Persist { tok: self.tok, rec });
        if self.log_bytes > self.room.slot_after() || self.log_recs > SLOT_RECS {
            self.slot(now, Vec::new(), fx);
        }
    }

    /// Writes the whole state into the other slot and starts a new short log.
    pub(super) fn slot(&mut self, now: Tick, then: Vec<Fx>, fx: &mut Vec<Fx>) {
        let img = Image {
            me: self.me.clone(),
            formed: self.formed,
            promised: self.promised,
            log_view: self.log_view,
            ledger: self.ledger.clone(),
            entries: self.log.iter().filter(|e| e.idx > self.accepted()).cloned().collect(),
        };
        self.persist(Rec::Image(Box::new(img)), now, then, fx);
    }

    pub(super) fn on_synced(&mut self, tok: u64, now: Tick, fx: &mut Vec<Fx>) {
        while self.unsynced.front().is_some_and(|u| u.0 <= tok) {
            let Some((_, _, last, then)) = self.unsynced.pop_front() else { return };
            self.synced = last.min(self.last());
            fx.extend(then);
        }
        if let (true, Post::Candidate { view, .. }) = (self.alone(), &self.post) {
            let (view, tail) = (*view, self.tail_after(self.accepted()));
            self.on_stopped(self.voter(), view, tail, now, fx);
        }
        if self.is_leader() {
            self.advance(now, fx);
        }
    }

    /// A write was refused: the seat steps aside, and nothing that waited for the disk is ever said.
    /// What it has accepted stays, since a majority holds that; the rest may be ahead of its disk.
    pub(super) fn on_sync_failed(&mut self, now: Tick, fx: &mut Vec<Fx>) {
        if self.dead {
            return;
        }
        // The others need not wait out the silence of a leader that has stepped down.
        self.on_stopping(now, fx);
        self.dead = true;
        self.post = Post::Follower { leader: None, heard: now };
        self.unsynced.clear();
        fx.push(Fx::Interrupted);
    }

    /// The disk works again: the seat starts anew from what it holds, as a new process would. It keeps
    /// what its process was told, and counts its writes on, so that no late word of an earlier one counts.
    pub(super) fn on_recovered(&mut self, image: Image, now: Tick, fx: &mut Vec<Fx>) {
        if !self.dead {
            return;
        }
        // One that has lost its folder knows that there is a cluster, and must not found another.
        let lost = self.formed && image.me.inc != self.me.inc;
        let me = self.me.clone();
        let fresh = Seat::new(me, &self.cluster, self.seeds.clone(), self.t.clone(), Some(image), now);
        *self = Seat {
            founds: self.founds && !lost,
            expects: self.expects,
            secret: self.secret,
            room: self.room,
            tok: self.tok,
            ..fresh
        };
        fx.push(Fx::Interrupted);
    }

    /// The own disk has not answered for too long (design 2.4).
    pub fn overdue(&self, now: Tick) -> bool {
        self.unsynced.front().is_some_and(|u| now.since(u.1) > self.t.sync_ms())
    }
}
