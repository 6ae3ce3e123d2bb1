//! Tests of single modules, in one binary since linking takes most of the build time.

mod cluster_state;
mod lease;
mod partition_risk;
mod patch;
mod state_update;
