//! Tests of single modules, in one binary because linking takes most of the build time.

mod event_log;
mod wire;
