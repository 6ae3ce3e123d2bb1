//! The replicated state machine (design 2.1): the cluster state, what is known of operators' operations,
//! and pure questions about the state. No input or output.

pub mod cluster_state;
pub mod operation_status;
pub mod operations;
pub mod partition_risk;
pub mod singleton;
pub mod state_update;

pub use cluster_state::ClusterState;
pub use operation_status::{OperationStatus, operation_status};
pub use operations::AcceptedOperations;
