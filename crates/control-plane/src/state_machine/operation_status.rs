//! What an operator's operation is to be answered by the cluster state (design 4.9). The operator service
//! and the simulator decide by the same code.

use super::ClusterState;
use crate::types::ApplyOutcome;
use common::OpId;

/// Where an operation is in a state that a majority holds to be the newest.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
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

/// The status of the operation `op`, which builds on version `base_version`, where `current` is the version
/// in force. An accepted operation is never superseded, however many were accepted after it.
pub fn operation_status(state: &ClusterState, op: &OpId, base_version: u64, current: u64) -> OperationStatus {
    if let Some(outcome) = state.outcome(op) {
        return OperationStatus::Decided(outcome);
    }
    if base_version == current {
        return OperationStatus::Open;
    }
    if state.accepted_operations.may_have_forgotten(base_version, current) {
        return OperationStatus::Forgotten;
    }
    OperationStatus::Superseded
}
