//! What is known of an operator's orders (design 4.9): which were accepted, and what an order that
//! is sent again is to be told. No input or output: the operator service and the simulator decide by the same code.

use crate::{change::ApplyOutcome, cluster_state::ClusterState};
use common::{OpId, Revision};
use serde::{Deserialize, Serialize};
use siphasher::sip128::{Hasher128, SipHasher13};
use std::{collections::VecDeque, hash::Hasher};

/// Accepted documents whose operations are known, counted back from the newest.
pub const ACCEPTED_KEPT: usize = 4_096;

/// Most bytes that one operation takes on disk and on the wire.
pub const OPERATION_BYTES: usize = 20;

/// The operations that made the newest revisions, as hashes of their names, one for each revision.
///
/// Every accepted document makes the next revision, so the place of a hash tells its revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedOperations {
    hashes: VecDeque<u128>,
}

impl AcceptedOperations {
    /// Records the operation that made the newest revision; the oldest one is forgotten.
    pub fn record(&mut self, op: &OpId) {
        self.hashes.push_back(hash(op));
        if self.hashes.len() > ACCEPTED_KEPT {
            self.hashes.pop_front();
        }
    }

    /// The revision that an operation made, where `newest` is the newest revision.
    pub fn revision_of(&self, op: &OpId, newest: Revision) -> Option<Revision> {
        let wanted = hash(op);
        let age = self.hashes.iter().rev().position(|h| *h == wanted)?;
        Some(Revision(newest.0 - age as u64))
    }

    pub fn len(&self) -> usize {
        self.hashes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.hashes.is_empty()
    }

    /// No less than its length on disk and on the wire.
    pub fn weight(&self) -> usize {
        self.hashes.len() * OPERATION_BYTES
    }

    /// Whether an order that builds on version `expected_voters` may have been accepted and forgotten. Each
    /// accepted document has a higher version than the one before it, so as many versions as
    /// operations are kept lie at least between a forgotten one's base and the current version.
    fn may_have_forgotten(&self, expected_voters: u64, current: u64) -> bool {
        self.hashes.len() == ACCEPTED_KEPT && current.saturating_sub(expected_voters) > ACCEPTED_KEPT as u64
    }
}

fn hash(op: &OpId) -> u128 {
    let mut hasher = SipHasher13::new();
    hasher.write(op.as_str().as_bytes());
    hasher.finish128().as_u128()
}

/// How an order stands in a state of which a majority holds that it is the newest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperationStatus {
    /// Not decided so far, and built on the current version.
    Open,
    /// Decided before.
    Decided(ApplyOutcome),
    /// Built on another version than the current one.
    Superseded,
    /// Built on a version so old that its outcome may have been forgotten.
    Forgotten,
}

/// What a state says of the order `op`, which builds on version `expected_voters`, where `current` is the
/// version in place. An accepted order is never superseded, however many were accepted after it.
pub fn standing(
    cluster_state: &ClusterState,
    op: &OpId,
    expected_voters: u64,
    current: u64,
) -> OperationStatus {
    if let Some(outcome) = cluster_state.outcome(op) {
        return OperationStatus::Decided(outcome);
    }
    if expected_voters == current {
        return OperationStatus::Open;
    }
    if cluster_state.accepted.may_have_forgotten(expected_voters, current) {
        return OperationStatus::Forgotten;
    }
    OperationStatus::Superseded
}
