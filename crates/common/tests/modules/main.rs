//! Tests of single modules, in one binary because linking takes most of the build time.

mod event_log;
mod memory_budget;
mod wire;
