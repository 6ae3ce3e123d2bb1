//! What every foldshunt process shares (design 1): identifiers, clock, settings, RPC between nodes, HTTP, logs,
//! metrics, and the seam to network, time and chance that lets the daemons run under simulation.

#![warn(missing_docs)]

pub mod clock;
pub mod connection;
pub mod error;
pub mod event_log;
pub mod http;
pub mod ids;
pub mod logging;
pub mod metrics;
pub mod mutation;
pub mod rendezvous;
pub mod rpc;
pub mod runtime;
pub mod settings;
pub mod sync;
pub mod wire;

pub use clock::{Clock, Tick};
pub use error::{PeerError, Step};
pub use ids::*;
pub use sync::lock;
