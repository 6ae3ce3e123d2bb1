//! A voter and its disk (design 2.4): nothing is said before it is synced.

use super::*;

impl Voter {
    /// Hands a record to the disk; `then` is held until it is synced (design 2.4).
    pub(super) fn persist(&mut self, rec: Record, now: Tick, then: Vec<Effect>, effects: &mut Vec<Effect>) {
        self.tok += 1;
        self.log_recs += 1;
        self.log_bytes += rec.weight();
        if matches!(rec, Record::DurableState(_)) {
            self.log_recs = 0;
            self.log_bytes = 0;
        }
        self.unsynced.push_back((self.tok, now, self.last(), then));
        effects.push(Effect::Persist { tok: self.tok, rec });
        if self.log_bytes > self.room.slot_after() || self.log_recs > SLOT_RECS {
            self.slot(now, Vec::new(), effects);
        }
    }

    /// Writes the whole state into the other slot and starts a new short log.
    pub(super) fn slot(&mut self, now: Tick, then: Vec<Effect>, effects: &mut Vec<Effect>) {
        let img = DurableState {
            me: self.me.clone(),
            formed: self.formed,
            promised: self.promised,
            log_term: self.log_term,
            ledger: self.ledger.clone(),
            entries: self.log.iter().filter(|e| e.index > self.accepted()).cloned().collect(),
        };
        self.persist(Record::DurableState(Box::new(img)), now, then, effects);
    }

    pub(super) fn on_synced(&mut self, tok: u64, now: Tick, effects: &mut Vec<Effect>) {
        while self.unsynced.front().is_some_and(|u| u.0 <= tok) {
            let Some((_, _, last, then)) = self.unsynced.pop_front() else { return };
            self.synced = last.min(self.last());
            effects.extend(then);
        }
        if let (true, VoterRole::Candidate { term, .. }) = (self.alone(), &self.role) {
            let (term, tail) = (*term, self.tail_after(self.accepted()));
            self.on_stopped(self.id(), term, tail, now, effects);
        }
        if self.is_leader() {
            self.advance(now, effects);
        }
    }

    /// A write was refused: the voter steps aside, and nothing that waited for the disk is ever said.
    /// What it has accepted stays, since a majority holds that; the rest may be ahead of its disk.
    pub(super) fn on_sync_failed(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        if self.dead {
            return;
        }
        // The others need not wait out the silence of a leader that has stepped down.
        self.on_stopping(now, effects);
        self.dead = true;
        self.role = VoterRole::Follower { leader: None, heard: now };
        self.unsynced.clear();
        effects.push(Effect::Interrupted);
    }

    /// The disk works again: the voter starts anew from what it holds, as a new process would. It keeps
    /// what its process was told, and counts its writes on, so that no late word of an earlier one counts.
    pub(super) fn on_recovered(&mut self, image: DurableState, now: Tick, effects: &mut Vec<Effect>) {
        if !self.dead {
            return;
        }
        // One that has lost its folder knows that there is a cluster, and must not found another.
        let lost = self.formed && image.me.incarnation != self.me.incarnation;
        let me = self.me.clone();
        let fresh = Voter::new(me, &self.cluster, self.seeds.clone(), self.t.clone(), Some(image), now);
        *self = Voter {
            founds: self.founds && !lost,
            expects: self.expects,
            secret: self.secret,
            room: self.room,
            tok: self.tok,
            ..fresh
        };
        effects.push(Effect::Interrupted);
    }

    /// The own disk has not answered for too long (design 2.4).
    pub fn overdue(&self, now: Tick) -> bool {
        self.unsynced.front().is_some_and(|u| now.since(u.1) > self.t.sync_timeout_ms())
    }
}
