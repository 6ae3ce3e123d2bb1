//! One binary for the tests of single modules: linking is what takes the time.

mod lease;
mod ledger;
mod mass;
mod news;
mod patch;
