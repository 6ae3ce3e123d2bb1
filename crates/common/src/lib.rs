//! Code shared by all foldshunt processes (design 1): identifiers, clock, settings, RPC between nodes, HTTP, logs,
//! metrics, and the runtime layer for network, time and randomness that lets the daemons run in a simulation.

#![warn(missing_docs)]

pub mod clock;
pub mod connection;
pub mod error;
pub mod event_log;
pub mod http;
pub mod ids;
pub mod logging;
pub mod memory_budget;
pub mod metrics;
pub mod mutation;
pub mod program;
pub mod rendezvous;
pub mod rpc;
pub mod runtime;
pub mod settings;
pub mod source_backoff;
pub mod sync;
pub mod watched_file;
pub mod wire;

pub use clock::{Clock, Tick};
pub use error::{PeerError, Step};
pub use ids::*;
pub use sync::lock;
