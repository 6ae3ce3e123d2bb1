//! The control plane (design 2 and 3): protocols as state machines without input or output,
//! and the daemon that drives them.

pub mod api;
pub mod change;
pub mod cluster_state;
pub mod consensus;
pub mod core;
pub mod daemon;
pub mod disk;
pub mod document;
pub mod lease;
pub mod member;
pub mod operations;
pub mod operator_service;
pub mod partition_risk;
pub mod patch;
pub mod rpc;
pub mod singleton;
pub mod state_update;
pub mod store;

pub use change::{ApplyOutcome, Change, Replica, ReplicaMove, Role};
pub use cluster_state::{ClusterState, Member};
pub use configuration::LANG;
pub use document::{Document, MAX_DOC};
