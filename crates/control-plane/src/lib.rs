//! The control plane (design 2 and 3): protocols as state machines without input or output,
//! and the daemon that drives them.

pub mod api;
pub mod change;
pub mod consensus;
pub mod core;
pub mod daemon;
pub mod desk;
pub mod disk;
pub mod document;
pub mod duty;
pub mod lease;
pub mod ledger;
pub mod mass;
pub mod member;
pub mod news;
pub mod operations;
pub mod patch;
pub mod rpc;
pub mod store;

pub use change::{Change, Replica, ReplicaMove, Role, Verdict};
pub use configuration::LANG;
pub use document::{Document, MAX_DOC};
pub use ledger::{Ledger, Member};
