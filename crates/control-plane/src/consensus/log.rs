//! The replicated log of one voter: its tail, truncation, commits, compaction and limits.

use super::*;

/// Number of committed entries kept in the log, for state updates and for followers that lag a little.
const RETAINED_ENTRIES: usize = 256;

impl Voter {
    /// The log after `from`. It includes a snapshot if the log no longer reaches back that far, or if the entries
    /// would exceed the limit of one record or message.
    pub(super) fn log_tail_after(&self, from: Index) -> LogTail {
        let too_long =
            self.commit_index() > from && self.max_encoded_len_after(from) > self.size_limits.batch();
        let needs_snapshot = self.snapshot_index > from || from == Index(0) || too_long;
        let snapshot = needs_snapshot.then(|| self.cluster_state.clone());
        let base = snapshot.as_ref().map_or(from, |state| state.index);
        LogTail {
            log_term: self.log_term,
            last: self.last_index(),
            commit_index: self.commit_index(),
            snapshot,
            entries: self.entries_after(base),
        }
    }

    /// The entries that it doesn't know to be committed.
    pub(super) fn uncommitted(&self) -> impl Iterator<Item = &LogEntry> {
        let commit_index = self.commit_index();
        self.log.iter().skip_while(move |entry| entry.index <= commit_index)
    }

    pub(super) fn entries_after(&self, index: Index) -> Vec<LogEntry> {
        self.log.iter().filter(|entry| entry.index > index).cloned().collect()
    }

    /// Upper bound on the encoded length of the entries after `index`, in bytes.
    fn max_encoded_len_after(&self, index: Index) -> usize {
        self.log.iter().filter(|entry| entry.index > index).map(LogEntry::max_encoded_len).sum()
    }

    /// Truncates the log, then appends entries. A snapshot that is not older than the state replaces all of it.
    pub(super) fn install_log(
        &mut self,
        truncate_to: Index,
        snapshot: Option<ClusterState>,
        entries: Vec<LogEntry>,
        effects: &mut Vec<Effect>,
    ) {
        match snapshot.filter(|state| state.index >= self.commit_index()) {
            Some(state) => {
                self.snapshot_index = state.index;
                self.cluster_state = state;
                self.log.clear();
                effects.push(Effect::SnapshotInstalled);
            }
            None => self.log.retain(|entry| entry.index <= truncate_to),
        }
        self.durable_index = self.durable_index.min(self.last_index());
        let last = self.last_index();
        self.log.extend(entries.into_iter().filter(|entry| entry.index > last));
    }

    /// Applies the entries up to `index`, which are known to be committed.
    pub(super) fn commit_to(&mut self, index: Index, now: Tick, effects: &mut Vec<Effect>) {
        let from = self.commit_index();
        let committed: Vec<LogEntry> =
            self.log.iter().filter(|entry| entry.index > from && entry.index <= index).cloned().collect();
        for entry in committed {
            let outcome = self.cluster_state.apply(entry.index, &entry.change);
            if let (VoterRole::Leader { peers, .. }, Change::ReplaceVoter(replacement)) =
                (&mut self.role, &entry.change)
            {
                // A blank voter is sent a snapshot at once with this default progress.
                peers.entry(replacement.incarnation).or_default().admitted_at = now;
            }
            effects.push(Effect::Committed { entry, outcome });
        }
        self.compact();
    }

    /// Removes old committed entries from the log beyond the limits on their number and bytes.
    fn compact(&mut self) {
        let commit_index = self.commit_index();
        let committed = self.log.iter().filter(|entry| entry.index <= commit_index);
        let mut bytes: usize = committed.map(LogEntry::max_encoded_len).sum();
        while self.log.front().is_some_and(|entry| entry.index < commit_index)
            && (self.log.len() > RETAINED_ENTRIES || bytes > self.size_limits.batch())
        {
            if let Some(entry) = self.log.pop_front() {
                bytes -= entry.max_encoded_len();
                self.snapshot_index = entry.index;
            }
        }
    }

    /// The limit that a change would exceed, if any, assuming that all pending entries are committed too.
    pub(super) fn exceeded_limit(&self, change: &Change) -> Option<NotLogged> {
        let document = match change {
            Change::Apply { text, .. } => text.packed_len(),
            _ => 0,
        };
        let pending =
            self.max_encoded_len_after(self.commit_index()) + LogEntry::max_encoded_len_with(change);
        let growth: usize = self.uncommitted().map(|entry| entry.change.max_state_growth()).sum();
        let state = self.cluster_state.max_encoded_len() + pending + growth + change.max_state_growth();
        [
            (!change.names_within_limit(), NotLogged::NameTooLong),
            (document > self.size_limits.document(), NotLogged::DocumentTooLong),
            (pending > self.size_limits.batch(), NotLogged::TooMuchPending),
            (state > self.size_limits.snapshot(change.may_grow_state()), NotLogged::StateTooLarge),
        ]
        .into_iter()
        .find_map(|(exceeds, why)| exceeds.then_some(why))
    }
}

impl LogTail {
    /// The voter sets at the end of this tail, if its entries follow `base`.
    pub fn configuration(&self, base: &ClusterState, commit_index: Index) -> Configuration {
        let state = self.snapshot.as_ref().unwrap_or(base);
        Configuration::at_end_of_log(state, self.entries.iter(), commit_index)
    }
}
