//! A voter and its disk (design 2.4): nothing is said before it is synced.

use super::*;

impl Voter {
    /// Hands a record to the disk; `then` is held until it is synced (design 2.4).
    pub(super) fn persist(
        &mut self,
        record: Record,
        now: Tick,
        then: Vec<Effect>,
        effects: &mut Vec<Effect>,
    ) {
        self.token += 1;
        self.log_records += 1;
        self.log_bytes += record.weight();
        if matches!(record, Record::DurableState(_)) {
            self.log_records = 0;
            self.log_bytes = 0;
        }
        self.unsynced.push_back((self.token, now, self.last(), then));
        effects.push(Effect::Persist { token: self.token, record });
        if self.log_bytes > self.room.slot_after() || self.log_records > SLOT_RECS {
            self.slot(now, Vec::new(), effects);
        }
    }

    /// Writes the whole state into the other slot and starts a new short log.
    pub(super) fn slot(&mut self, now: Tick, then: Vec<Effect>, effects: &mut Vec<Effect>) {
        let image = DurableState {
            me: self.me.clone(),
            initialized: self.initialized,
            current_term: self.current_term,
            log_term: self.log_term,
            cluster_state: self.cluster_state.clone(),
            entries: self.log.iter().filter(|e| e.index > self.accepted()).cloned().collect(),
        };
        self.persist(Record::DurableState(Box::new(image)), now, then, effects);
    }

    pub(super) fn handle_synced(&mut self, token: u64, now: Tick, effects: &mut Vec<Effect>) {
        while self.unsynced.front().is_some_and(|u| u.0 <= token) {
            let Some((_, _, last, then)) = self.unsynced.pop_front() else { return };
            self.durable_index = last.min(self.last());
            effects.extend(then);
        }
        if let (true, VoterRole::Candidate { term, .. }) = (self.is_sole_voter(), &self.role) {
            let (term, tail) = (*term, self.log_tail_after(self.accepted()));
            self.handle_vote(self.id(), term, tail, now, effects);
        }
        if self.is_leader() {
            self.advance_commit_index(now, effects);
        }
    }

    /// A write was refused: the voter steps aside, and nothing that waited for the disk is ever said.
    /// What it has accepted stays, since a majority holds that; the rest may be ahead of its disk.
    pub(super) fn handle_sync_failed(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        if self.disk_failed {
            return;
        }
        // The others need not wait out the silence of a leader that has stepped down.
        self.step_down(now, effects);
        self.disk_failed = true;
        self.role = VoterRole::Follower { leader: None, last_contact: now };
        self.unsynced.clear();
        effects.push(Effect::Interrupted);
    }

    /// The disk works again: the voter starts anew from what it holds, as a new process would. It keeps
    /// what its process was told, and counts its writes on, so that no late word of an earlier one counts.
    pub(super) fn handle_recovered(&mut self, image: DurableState, now: Tick, effects: &mut Vec<Effect>) {
        if !self.disk_failed {
            return;
        }
        // One that has lost its folder knows that there is a cluster, and must not found another.
        let lost = self.initialized && image.me.incarnation != self.me.incarnation;
        let me = self.me.clone();
        let fresh = Voter::new(me, &self.cluster, self.seeds.clone(), self.t.clone(), Some(image), now);
        *self = Voter {
            may_bootstrap: self.may_bootstrap && !lost,
            expected_voters: self.expected_voters,
            secret: self.secret,
            room: self.room,
            token: self.token,
            ..fresh
        };
        effects.push(Effect::Interrupted);
    }

    /// The own disk has not answered for too long (design 2.4).
    pub fn overdue(&self, now: Tick) -> bool {
        self.unsynced.front().is_some_and(|u| now.since(u.1) > self.t.sync_timeout_ms())
    }
}
