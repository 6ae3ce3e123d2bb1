//! The control plane (design 2 and 3): a replicated log of changes, the cluster state that results from them, and the
//! nodes that replicate, follow and change that state.
//!
//! Layers, each depending only on those above it:
//!
//! - [`types`]: changes, nodes, documents, log entries, size limits
//! - [`state_machine`]: the cluster state, and pure functions of it
//! - [`consensus`]: the replicated log, without I/O
//! - [`storage`]: a voter's disk
//! - [`rpc`]: requests to a control node, and its responses
//! - [`membership`]: leases, and a node's own side of its membership
//! - [`control_node`]: the running node; [`daemon`] starts and stops it
//! - [`operator`]: operations for operators, and the HTTP API

#![warn(missing_docs)]

pub mod consensus;
pub mod control_node;
pub mod daemon;
pub mod membership;
pub mod operator;
pub mod rpc;
pub mod state_machine;
pub mod storage;
pub mod types;

pub use configuration::LANGUAGE_VERSION;
pub use state_machine::ClusterState;
pub use types::{ApplyOutcome, Change, Document, MAX_DOCUMENT_BYTES, Member, Replica, ReplicaChange, Role};
