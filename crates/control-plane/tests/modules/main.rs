//! One binary for the tests of single modules: linking is what takes the time.

mod cluster_state;
mod lease;
mod partition_risk;
mod patch;
mod state_update;
