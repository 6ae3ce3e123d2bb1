//! Membership (design 3.1): the leader's record of leases, and a node's own side: renewing its lease and following
//! the cluster state.

pub mod lease;
pub mod local_member;
mod state_follower;

pub use lease::{HeldLease, Leases, Renewal};
pub use local_member::LocalMember;
