//! Membership (design 3.1): leases as the leader counts them, and a node's own side of its membership.

pub mod lease;
pub mod local_member;
mod state_follower;

pub use lease::{HeldLease, Leases, Renewal};
pub use local_member::LocalMember;
