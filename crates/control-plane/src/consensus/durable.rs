//! What a voter keeps on disk: a snapshot and the records that follow it (design 2.6). A start replays the
//! records in the order in which the voter wrote them.

use crate::{
    state_machine::ClusterState,
    types::{LogEntry, VoterInfo},
};
use common::{Index, Term};
use serde::{Deserialize, Serialize};

/// A snapshot: everything that a voter must not forget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DurableState {
    /// The voter's identity.
    pub me: VoterInfo,
    /// It holds the state of a cluster; without, it is blank.
    #[serde(rename = "formed")]
    pub initialized: bool,
    /// The newest term that it promised to take part in.
    #[serde(rename = "promised")]
    pub current_term: Term,
    /// The term in which its log was installed.
    pub log_term: Term,
    /// Committed changes, applied.
    #[serde(rename = "ledger")]
    pub cluster_state: ClusterState,
    /// Entries that are not known to be committed.
    pub entries: Vec<LogEntry>,
}

/// One record of the short log that follows a snapshot.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A new snapshot; it begins a new short log.
    DurableState(Box<DurableState>),
    /// A promise to take part in no older term.
    Promise(Term),
    /// The log of a new term.
    Install {
        /// The new term.
        term: Term,
        /// A committed index; entries behind it are replaced.
        #[serde(rename = "cut")]
        truncate_to: Index,
        /// What follows.
        entries: Vec<LogEntry>,
    },
    /// Entries behind the end of the log.
    Append {
        /// Up to here all is committed: a start applies it (design 2.8).
        #[serde(rename = "accepted")]
        commit_index: Index,
        /// What follows.
        entries: Vec<LogEntry>,
    },
}

/// Upper bound on the length of a promise, in bytes.
const PROMISE_BYTES: usize = 64;
/// What a record of entries takes besides them.
const RECORD_OVERHEAD_BYTES: usize = 96;

impl Record {
    /// Upper bound on its length in the short log, in bytes.
    pub fn weight(&self) -> usize {
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
    pub fn blank(me: &VoterInfo) -> Self {
        Self {
            me: me.clone(),
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

    /// Whether a record can have been written right behind this state: its entries follow where the log
    /// ends, or where the record truncates it.
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

    /// Brings the state forward by one record, as the voter did when it wrote it.
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
