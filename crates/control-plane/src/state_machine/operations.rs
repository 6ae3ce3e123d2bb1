//! The operations that created the newest document revisions. They are part of the cluster state, so that an accepted
//! operation that is sent again is acknowledged again (design 4.9).

use common::{OpId, Revision};
use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher13};
use std::{collections::VecDeque, hash::Hasher};

/// Number of accepted documents, counted back from the newest, whose operations are kept.
pub const MAX_ACCEPTED_OPERATIONS: usize = 4_096;

/// Upper bound on the encoded length of one operation, in bytes.
pub const MAX_OPERATION_BYTES: usize = 20;

/// The operations that created the newest revisions, as hashes of their ids, one for each revision.
///
/// Every accepted document creates the next revision, so the position of a hash gives its revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedOperations {
    hashes: VecDeque<u128>,
}

impl AcceptedOperations {
    /// Records the operation that created the newest revision. Beyond [`MAX_ACCEPTED_OPERATIONS`] the oldest one is
    /// dropped.
    pub fn record(&mut self, op: &OpId) {
        self.hashes.push_back(hash(op));
        if self.hashes.len() > MAX_ACCEPTED_OPERATIONS {
            self.hashes.pop_front();
        }
    }

    /// The revision that an operation created, if it is kept. `newest` is the newest revision.
    pub fn revision_of(&self, op: &OpId, newest: Revision) -> Option<Revision> {
        let op_hash = hash(op);
        let age = self.hashes.iter().rev().position(|known| *known == op_hash)?;
        Some(Revision(newest.0 - age as u64))
    }

    /// Number of operations that are kept.
    pub fn len(&self) -> usize {
        self.hashes.len()
    }

    /// Whether no operation is kept.
    pub fn is_empty(&self) -> bool {
        self.hashes.is_empty()
    }

    /// Upper bound on the encoded length of all operations, in bytes.
    pub fn max_encoded_len(&self) -> usize {
        self.hashes.len() * MAX_OPERATION_BYTES
    }

    /// Whether an operation based on version `base_version` may have been accepted and dropped since. Each accepted
    /// document has a higher version than the one before it. So if an operation was dropped, its base is older than
    /// the current version by more than the number of operations that are kept.
    pub(super) fn may_have_forgotten(&self, base_version: u64, current: u64) -> bool {
        self.hashes.len() == MAX_ACCEPTED_OPERATIONS
            && current.saturating_sub(base_version) > MAX_ACCEPTED_OPERATIONS as u64
    }
}

fn hash(op: &OpId) -> u128 {
    let mut hasher = SipHasher13::new();
    hasher.write(op.as_str().as_bytes());
    hasher.finish128().as_u128()
}
