//! Writes of a voter to its disk (design 2.4): a message is sent only once the records that it rests on are synced.

use super::*;

/// Number of records after which a new snapshot is written.
const RECORDS_PER_SNAPSHOT: usize = 512;

/// A write that is not yet known to be synced.
#[derive(Clone, Debug)]
pub(super) struct PendingWrite {
    token: u64,
    since: Tick,
    /// Last index of the log when it was written.
    last_index: Index,
    /// Effects to return once it is synced.
    pub(super) then: Vec<Effect>,
}

/// Writes that are not yet synced, oldest first, and the length of the short log that follows the last snapshot.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingWrites {
    last_token: u64,
    queue: VecDeque<PendingWrite>,
    /// Bytes and records written since the last snapshot.
    log_bytes: usize,
    log_records: usize,
}

impl PendingWrites {
    pub(super) fn newest_mut(&mut self) -> Option<&mut PendingWrite> {
        self.queue.back_mut()
    }

    /// An empty queue whose tokens continue, so that a late acknowledgement of an earlier write matches none.
    pub(super) fn cleared(&self) -> Self {
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
            self.log_bytes += record.max_encoded_len();
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
    /// Writes a record; the effects in `then` wait until it is synced.
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

    /// Writes a snapshot of the whole state, which begins a new short log.
    pub(super) fn write_snapshot(&mut self, now: Tick, then: Vec<Effect>, effects: &mut Vec<Effect>) {
        let state = DurableState {
            identity: self.identity.clone(),
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

    /// Handles a failed write: the voter stops taking part, and effects that waited for the disk are discarded. Its
    /// committed state remains valid, since a majority holds it; later entries may not be on its disk.
    pub(super) fn handle_sync_failed(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        if self.disk_failed {
            return;
        }
        // A leader tells the others, so that they need not wait for the election timeout.
        self.step_down(now, effects);
        self.disk_failed = true;
        self.role = VoterRole::Follower { leader: None, last_contact: now };
        self.writes.queue.clear();
        effects.push(Effect::Interrupted);
    }

    /// The disk works again: the voter starts over from what is stored there, as a new process would. It keeps its
    /// configuration, and its write tokens continue, so that a late acknowledgement of an earlier write matches none.
    pub(super) fn handle_recovered(&mut self, durable: DurableState, now: Tick, effects: &mut Vec<Effect>) {
        if !self.disk_failed {
            return;
        }
        // A voter that has lost its data folder was part of a cluster, and must not bootstrap another.
        let lost_data_folder = self.initialized && durable.identity.incarnation != self.identity.incarnation;
        let (identity, seeds, timing) = (self.identity.clone(), self.seeds.clone(), self.timing.clone());
        let restarted = Voter::new(identity, &self.cluster, seeds, timing, Some(durable), now);
        *self = Voter {
            may_bootstrap: self.may_bootstrap && !lost_data_folder,
            expected_voters: self.expected_voters,
            first_start: self.first_start,
            secret: self.secret,
            size_limits: self.size_limits,
            writes: self.writes.cleared(),
            ..restarted
        };
        effects.push(Effect::Interrupted);
    }

    /// Whether the oldest pending write has taken longer than the sync timeout (design 2.4).
    pub fn sync_overdue(&self, now: Tick) -> bool {
        let oldest = self.writes.queue.front();
        oldest.is_some_and(|write| now.since(write.since) > self.timing.sync_timeout_ms())
    }
}
