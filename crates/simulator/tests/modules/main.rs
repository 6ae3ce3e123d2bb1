//! Tests of single modules, in one binary to save linking time.

mod chaos;
mod deployment;
mod fault;
