//! Size limits (design 2.8). Together they ensure that whatever may be logged fits the short log, a snapshot slot and
//! a message, in any order of events. All limits are ratios of the length of the short log.

use super::VoterInfo;

/// Length in bytes of a file that holds the short log: the records since the last snapshot.
pub const SHORT_LOG_BYTES: u64 = 2 << 20;
/// Length in bytes of a slot: a file that holds a snapshot.
pub const SLOT_BYTES: u64 = 4 << 20;
/// Most voters of a cluster. The number of a term has room for one more (design 2.2).
pub const MAX_VOTERS: usize = 7;
/// Longest name in a change, in bytes.
pub(super) const MAX_NAME_BYTES: usize = 64;
/// Upper bound on the encoded length of a voter without its names.
const VOTER_OVERHEAD_BYTES: usize = 112;

/// Limits in bytes, all derived from the length of the short log.
#[derive(Clone, Copy, Debug)]
pub struct SizeLimits {
    /// Length of the short log.
    pub log: usize,
}

impl Default for SizeLimits {
    fn default() -> Self {
        Self { log: SHORT_LOG_BYTES as usize }
    }
}

impl SizeLimits {
    /// Limit on a compressed document.
    pub fn document(&self) -> usize {
        self.log / 2
    }

    /// Limit on the entries in one record, one append or one state update; also on all entries that are logged and
    /// not yet committed, and on the committed entries that are retained.
    pub fn batch(&self) -> usize {
        self.log / 8 * 5
    }

    /// Length of the short log's records after which a new snapshot is written; one more batch still fits behind
    /// them.
    pub fn snapshot_after(&self) -> usize {
        self.log / 4
    }

    /// Length of a slot.
    pub fn slot(&self) -> usize {
        self.log * 2
    }

    /// Limit on a snapshot after a change. A change that can't grow the state may use a little more of the slot, so
    /// that a full state can still be made smaller.
    pub fn snapshot(&self, grows: bool) -> usize {
        self.slot() - self.slot() / if grows { 8 } else { 32 }
    }
}

impl VoterInfo {
    /// Upper bound on the encoded length, in bytes.
    pub(crate) fn max_encoded_len(&self) -> usize {
        self.node.as_str().len() + self.zone.as_str().len() + VOTER_OVERHEAD_BYTES
    }
}
