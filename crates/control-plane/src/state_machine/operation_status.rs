//! The status of an operator's operation, which decides how it is answered (design 4.9). The operator service and
//! the simulator share this code.

use super::ClusterState;
use crate::types::ApplyOutcome;
use common::OpId;

/// The status of an operation in a cluster state that a majority has confirmed as the newest.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub enum OperationStatus {
    /// Not decided yet, and based on the current version.
    Open,
    /// Decided, with this outcome.
    Decided(ApplyOutcome),
    /// Not decided, and based on another version than the current one.
    Superseded,
    /// Based on a version so old that its outcome may no longer be kept.
    Forgotten,
}

/// The status of the operation `op`, which is based on document version `base_version`, if the version in force is
/// `current`. An accepted operation is never reported as superseded, however many were accepted after it.
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
