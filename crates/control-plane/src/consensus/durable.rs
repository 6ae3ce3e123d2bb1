//! The durable state of a voter: a snapshot and the records that follow it (design 2.6). A start replays the records
//! in the order in which the voter wrote them.

use crate::{
    state_machine::ClusterState,
    types::{LogEntry, VoterInfo},
};
use common::{Index, Term};
use serde::{Deserialize, Serialize};

/// A snapshot of everything that a voter must keep across restarts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DurableState {
    /// Identity of the voter.
    #[serde(rename = "me")]
    pub identity: VoterInfo,
    /// Whether it holds the state of a cluster; otherwise it is blank.
    #[serde(rename = "formed")]
    pub initialized: bool,
    /// The newest term that it has joined; it takes part in no older one.
    #[serde(rename = "promised")]
    pub current_term: Term,
    /// The term in which its log was installed.
    pub log_term: Term,
    /// The state after all committed changes.
    #[serde(rename = "ledger")]
    pub cluster_state: ClusterState,
    /// Log entries that are not known to be committed.
    pub entries: Vec<LogEntry>,
}

/// One record of the short log that follows a snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A new snapshot, which begins a new short log.
    DurableState(Box<DurableState>),
    /// The voter has joined this term and takes part in no older one.
    Promise(Term),
    /// The log of a new term.
    Install {
        /// The new term.
        term: Term,
        /// A committed index; entries after it are replaced.
        #[serde(rename = "cut")]
        truncate_to: Index,
        /// Entries after `truncate_to`.
        entries: Vec<LogEntry>,
    },
    /// Entries that are appended to the log.
    Append {
        /// Index up to which entries are committed; a start applies them (design 2.8).
        #[serde(rename = "accepted")]
        commit_index: Index,
        /// The entries.
        entries: Vec<LogEntry>,
    },
}

/// Upper bound on the encoded length of [`Record::Promise`], in bytes.
const PROMISE_BYTES: usize = 64;
/// Upper bound on the encoded length of a record without its entries, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 96;

impl Record {
    /// Upper bound on its length in the short log, in bytes; a snapshot is not part of the short log.
    pub fn max_encoded_len(&self) -> usize {
        match self {
            Record::DurableState(_) => 0,
            Record::Promise(_) => PROMISE_BYTES,
            Record::Install { entries, .. } | Record::Append { entries, .. } => {
                RECORD_OVERHEAD_BYTES + entries.iter().map(LogEntry::max_encoded_len).sum::<usize>()
            }
        }
    }
}

impl DurableState {
    /// The state of a voter that has written nothing but its identity.
    pub fn blank(identity: &VoterInfo) -> Self {
        Self {
            identity: identity.clone(),
            initialized: false,
            current_term: Term(0),
            log_term: Term(0),
            cluster_state: ClusterState::default(),
            entries: Vec::new(),
        }
    }

    fn last_index(&self) -> Index {
        self.entries.last().map_or(self.cluster_state.index, |entry| entry.index)
    }

    /// Whether a record can have been written directly after this state: its entries follow the end of the log, or
    /// the index to which the record truncates it.
    pub fn can_precede(&self, record: &Record) -> bool {
        let last = self.last_index();
        let (base, entries) = match record {
            Record::DurableState(_) | Record::Promise(_) => return true,
            Record::Install { truncate_to, entries, .. } => (*truncate_to, entries),
            Record::Append { entries, .. } => (last, entries),
        };
        let expected = (base.0 + 1)..;
        base <= last && entries.iter().zip(expected).all(|(entry, index)| entry.index.0 == index)
    }

    /// Applies one record to the state, as the voter did when it wrote the record.
    pub fn replay(&mut self, record: Record) {
        match record {
            Record::DurableState(state) => *self = *state,
            Record::Promise(term) => self.current_term = self.current_term.max(term),
            Record::Install { term, truncate_to, entries } => {
                self.current_term = self.current_term.max(term);
                self.log_term = term;
                self.entries.retain(|entry| entry.index <= truncate_to);
                let last = self.last_index();
                self.entries.extend(entries.into_iter().filter(|entry| entry.index > last));
                self.commit_to(truncate_to);
            }
            Record::Append { commit_index, entries } => {
                self.entries.extend(entries);
                self.commit_to(commit_index);
            }
        }
    }

    fn commit_to(&mut self, index: Index) {
        let committed = self.entries.iter().take_while(|entry| entry.index <= index).count();
        for entry in self.entries.drain(..committed) {
            let _ = self.cluster_state.apply(entry.index, &entry.change);
        }
    }
}
