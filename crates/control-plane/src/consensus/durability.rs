//! A voter and its disk (design 2.4): nothing is said before the record that it rests on is synced.

use super::*;

/// Records after which a new snapshot is written.
const RECORDS_PER_SNAPSHOT: usize = 512;

/// A write that is not known to be synced.
#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    token: u64,
    since: Tick,
    /// End of the log when it was written.
    last_index: Index,
    /// Effects that wait for it.
    pub(super) then: Vec<Effect>,
}

/// Writes on their way to the disk, and how long the short log has grown.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingWrites {
    last_token: u64,
    queue: VecDeque<PendingWrite>,
    /// Bytes and records since the last snapshot.
    log_bytes: usize,
    log_records: usize,
}

impl PendingWrites {
    pub(super) fn newest_mut(&mut self) -> Option<&mut PendingWrite> {
        self.queue.back_mut()
    }

    /// No writes, counted on: a late acknowledgement of an earlier one counts for nothing.
    pub(super) fn restarted(&self) -> Self {
        Self { last_token: self.last_token, ..Self::default() }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    fn push(&mut self, record: &Record, since: Tick, last_index: Index, then: Vec<Effect>) -> u64 {
        self.last_token += 1;
        if matches!(record, Record::DurableState(_)) {
            (self.log_records, self.log_bytes) = (0, 0);
        } else {
            self.log_records += 1;
            self.log_bytes += record.weight();
        }
        self.queue.push_back(PendingWrite { token: self.last_token, since, last_index, then });
        self.last_token
    }

    fn pop_synced(&mut self, token: u64) -> Option<PendingWrite> {
        let synced = self.queue.front().is_some_and(|write| write.token <= token);
        synced.then(|| self.queue.pop_front()).flatten()
    }

    fn snapshot_due(&self, limits: &SizeLimits) -> bool {
        self.log_bytes > limits.snapshot_after() || self.log_records > RECORDS_PER_SNAPSHOT
    }
}

impl Voter {
    /// Hands a record to the disk; the effects in `then` wait until it is synced.
    pub(super) fn persist(
        &mut self,
        record: Record,
        now: Tick,
        then: Vec<Effect>,
        effects: &mut Vec<Effect>,
    ) {
        let token = self.writes.push(&record, now, self.last_index(), then);
        effects.push(Effect::Persist { token, record });
        if self.writes.snapshot_due(&self.size_limits) {
            self.write_snapshot(now, Vec::new(), effects);
        }
    }

    /// Writes the whole state into the other slot, which begins a new short log.
    pub(super) fn write_snapshot(&mut self, now: Tick, then: Vec<Effect>, effects: &mut Vec<Effect>) {
        let state = DurableState {
            me: self.me.clone(),
            initialized: self.initialized,
            current_term: self.current_term,
            log_term: self.log_term,
            cluster_state: self.cluster_state.clone(),
            entries: self.entries_after(self.commit_index()),
        };
        self.persist(Record::DurableState(Box::new(state)), now, then, effects);
    }

    pub(super) fn handle_synced(&mut self, token: u64, now: Tick, effects: &mut Vec<Effect>) {
        while let Some(write) = self.writes.pop_synced(token) {
            self.durable_index = write.last_index.min(self.last_index());
            effects.extend(write.then);
        }
        if let (true, VoterRole::Candidate { term, .. }) = (self.is_sole_voter(), &self.role) {
            let (term, tail) = (*term, self.log_tail_after(self.commit_index()));
            self.handle_vote(self.id(), term, tail, now, effects);
        }
        if self.is_leader() {
            self.advance_commit_index(now, effects);
        }
    }

    /// A write was refused: the voter steps aside, and nothing that waited for the disk is ever said. What it
    /// has committed stays, since a majority holds that; the rest may be ahead of its disk.
    pub(super) fn handle_sync_failed(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        if self.disk_failed {
            return;
        }
        // The others need not wait for the election time-out of a leader that has stepped down.
        self.step_down(now, effects);
        self.disk_failed = true;
        self.role = VoterRole::Follower { leader: None, last_contact: now };
        self.writes.queue.clear();
        effects.push(Effect::Interrupted);
    }

    /// The disk works again: the voter starts anew from what it holds, as a new process would. It keeps what
    /// its process was given, and goes on counting its writes, so that a late acknowledgement of an earlier
    /// one counts for nothing.
    pub(super) fn handle_recovered(&mut self, durable: DurableState, now: Tick, effects: &mut Vec<Effect>) {
        if !self.disk_failed {
            return;
        }
        // One that has lost its folder knows that there is a cluster, and must not bootstrap another.
        let lost_folder = self.initialized && durable.me.incarnation != self.me.incarnation;
        let (me, seeds, timing) = (self.me.clone(), self.seeds.clone(), self.timing.clone());
        let restarted = Voter::new(me, &self.cluster, seeds, timing, Some(durable), now);
        *self = Voter {
            may_bootstrap: self.may_bootstrap && !lost_folder,
            expected_voters: self.expected_voters,
            first_start: self.first_start,
            secret: self.secret,
            size_limits: self.size_limits,
            writes: self.writes.restarted(),
            ..restarted
        };
        effects.push(Effect::Interrupted);
    }

    /// The own disk has not answered for too long (design 2.4).
    pub fn sync_overdue(&self, now: Tick) -> bool {
        let oldest = self.writes.queue.front();
        oldest.is_some_and(|write| now.since(write.since) > self.timing.sync_timeout_ms())
    }
}
