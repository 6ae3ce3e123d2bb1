//! Which operations made the newest documents (design 4.9): part of the cluster state, so that an operation
//! that is sent again is acknowledged again.

use common::{OpId, Revision};
use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher13};
use std::{collections::VecDeque, hash::Hasher};

/// Accepted documents whose operations are known, counted back from the newest.
pub const MAX_ACCEPTED_OPERATIONS: usize = 4_096;

/// Upper bound on the encoded length of one operation, in bytes.
pub const MAX_OPERATION_BYTES: usize = 20;

/// The operations that made the newest revisions, as hashes of their names, one for each revision.
///
/// Every accepted document makes the next revision, so the position of a hash tells its revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedOperations {
    hashes: VecDeque<u128>,
}

impl AcceptedOperations {
    /// Records the operation that made the newest revision; the oldest one is forgotten.
    pub fn record(&mut self, op: &OpId) {
        self.hashes.push_back(hash(op));
        if self.hashes.len() > MAX_ACCEPTED_OPERATIONS {
            self.hashes.pop_front();
        }
    }

    /// The revision that an operation made, where `newest` is the newest revision.
    pub fn revision_of(&self, op: &OpId, newest: Revision) -> Option<Revision> {
        let wanted = hash(op);
        let age = self.hashes.iter().rev().position(|known| *known == wanted)?;
        Some(Revision(newest.0 - age as u64))
    }

    /// How many operations are known.
    pub fn len(&self) -> usize {
        self.hashes.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.hashes.is_empty()
    }

    /// Upper bound on its encoded length, in bytes.
    pub fn max_encoded_len(&self) -> usize {
        self.hashes.len() * MAX_OPERATION_BYTES
    }

    /// Whether an operation that builds on version `base_version` may have been accepted and forgotten. Each
    /// accepted document has a higher version than the one before it, so at least as many versions as
    /// operations are kept lie between a forgotten one's base and the current version.
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
