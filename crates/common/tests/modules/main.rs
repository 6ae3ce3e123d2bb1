//! One binary for the tests of single modules: linking is what takes the time.

mod event_log;
mod wire;
