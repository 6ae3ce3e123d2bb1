//! The replicated state machine: the cluster state, the outcomes of operators' operations, and functions that derive
//! answers from the state. It does no input or output (design 2.1).

pub mod cluster_state;
pub mod operation_status;
pub mod operations;
pub mod partition_risk;
pub mod singleton;
pub mod state_update;
pub mod voter_replacement;

pub use cluster_state::ClusterState;
pub use operation_status::{OperationStatus, operation_status};
pub use operations::AcceptedOperations;
