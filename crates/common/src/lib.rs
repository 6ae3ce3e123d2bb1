//! Types, wire, clock, journal and settings shared by every foldshunt process (design 1.1).

pub mod clock;
pub mod connection;
pub mod fault;
pub mod http;
pub mod ids;
pub mod journal;
pub mod link;
pub mod logging;
pub mod metrics;
pub mod rendezvous;
pub mod runtime;
pub mod settings;
pub mod sync;
pub mod wire;

pub use clock::{Clock, Tick};
pub use fault::{Fault, Step};
pub use ids::*;
pub use sync::lock;
