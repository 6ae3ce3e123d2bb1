//! Types that all layers of the control plane share: nodes, replicas, changes, documents, log entries, and limits
//! on their size. Nothing here depends on another layer.

mod change;
mod document;
mod log;
mod node;
mod size;

pub use change::{ApplyOutcome, Change, Replica, ReplicaChange};
pub use document::{Document, MAX_DOCUMENT_BYTES};
pub use log::{LogEntry, take_batch};
pub use node::{LostMember, Member, NodeInfo, Role, VoterInfo};
pub use size::{MAX_VOTERS, SHORT_LOG_BYTES, SLOT_BYTES, SizeLimits};
