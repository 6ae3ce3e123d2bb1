//! Size limits (design 2.8): whatever may be logged fits the short log, the slot and the wire, in every
//! interleaving. All limits are ratios to the length of the short log.

use super::VoterInfo;

/// Length of the file that holds the short log, in bytes.
pub const SHORT_LOG_BYTES: u64 = 2 << 20;
/// Length of a file that holds a snapshot (a slot), in bytes.
pub const SLOT_BYTES: u64 = 4 << 20;
/// Most voters of a cluster: a term's number has room for one more (design 2.2).
pub const MAX_VOTERS: usize = 7;
/// Longest name in a change, in bytes.
pub(super) const MAX_NAME_BYTES: usize = 64;
/// What a voter takes besides its names, at most.
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
    /// The longest document, packed.
    pub fn document(&self) -> usize {
        self.log / 2
    }

    /// Most entries in one record, one append or one state update. Also the limit on what is logged and not
    /// yet committed, and on the committed entries that are retained.
    pub fn batch(&self) -> usize {
        self.log / 8 * 5
    }

    /// Records after which a new snapshot is written: one more batch still fits behind them.
    pub fn snapshot_after(&self) -> usize {
        self.log / 4
    }

    /// Length of a slot.
    pub fn slot(&self) -> usize {
        self.log * 2
    }

    /// Limit on a whole snapshot. A change that makes the state smaller may use a little more of the slot,
    /// so that a full state can still be reduced.
    pub fn snapshot(&self, grows: bool) -> usize {
        self.slot() - self.slot() / if grows { 8 } else { 32 }
    }
}

impl VoterInfo {
    /// Upper bound on its encoded length, in bytes.
    pub(crate) fn max_encoded_len(&self) -> usize {
        self.node.as_str().len() + self.zone.as_str().len() + VOTER_OVERHEAD_BYTES
    }
}
