//! Entries of the replicated log.

use super::Change;
use common::Index;
use serde::{Deserialize, Serialize};

/// Upper bound on the encoded length of an entry without its change.
const ENTRY_OVERHEAD_BYTES: usize = 16;

/// A change at its position in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log; the first entry has index 1.
    #[serde(rename = "idx")]
    pub index: Index,
    /// Change that is applied to the cluster state once the entry is committed.
    pub change: Change,
}

impl LogEntry {
    /// Upper bound on the encoded length, in bytes.
    pub fn max_encoded_len(&self) -> usize {
        Self::max_encoded_len_with(&self.change)
    }

    /// Upper bound on the encoded length of an entry with this change, in bytes.
    pub fn max_encoded_len_with(change: &Change) -> usize {
        change.max_encoded_len() + ENTRY_OVERHEAD_BYTES
    }
}

/// As many of the first entries as fit into `max_bytes`, and at least one.
pub fn take_batch<'a>(entries: impl Iterator<Item = &'a LogEntry>, max_bytes: usize) -> Vec<LogEntry> {
    let mut bytes_left = max_bytes;
    let mut first = true;
    entries
        .take_while(|entry| {
            let fits = std::mem::take(&mut first) || entry.max_encoded_len() <= bytes_left;
            bytes_left = bytes_left.saturating_sub(entry.max_encoded_len());
            fits
        })
        .cloned()
        .collect()
}
