//! Test harness (design 7): simulated callers and replicas, a whole fleet on one machine, and the seeded simulator.
//! The only package that starts processes.

pub mod actions;
pub mod audit;
pub mod caller;
pub mod chaos;
pub mod checks;
pub mod deployment;
pub mod fake_replica;
pub mod fault;
pub mod fleet;
mod launcher;
pub mod node;
pub mod operator;
pub mod relay;
pub mod replacements;
pub mod replica_log;
pub mod request_audit;
pub mod run;
pub mod sim;
pub mod simulated_process;
pub mod slow_start;
pub mod soak;
pub mod submissions;
pub mod sync_body;
pub mod timeline;
pub mod traffic;
pub mod world;
