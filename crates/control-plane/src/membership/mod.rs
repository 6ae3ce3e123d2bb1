//! Membership (design 3.1): leases as the leader counts them, and a node's own side of its membership.

mod follow;
pub mod lease;
pub mod member;

pub use lease::{HeldLease, Leases, Renewal};
pub use member::Member;
