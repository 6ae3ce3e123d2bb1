//! Serving by routes (design 9): the way of a request from a client's head to a replica's last
//! byte. Each room says at its head what it owns and what it may not know.

pub mod attempt;
pub mod board;
pub mod carry;
pub mod choose;
pub mod cold;
pub mod connection;
pub mod daemon;
pub mod dialect;
pub mod directory;
pub mod events;
pub mod exchange;
pub mod fleet;
pub mod front;
pub mod listing;
pub mod mix;
pub mod outgoing;
pub mod pieces;
pub mod place;
pub mod plan;
pub mod pool;
pub mod publication;
pub mod reading;
pub mod retries;
pub mod reuse;
pub mod state;
pub mod tell;
pub mod watch;

pub use dialect::{Dialect, EngineReport, Listed, Listing, Lookup, Names, Prompt};
pub use state::{Bounds, Serving, Site};
