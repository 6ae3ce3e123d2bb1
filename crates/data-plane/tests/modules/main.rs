//! One binary for the tests of single modules: linking is what takes the time.

mod again;
mod budget;
mod choose;
mod digest;
mod hop;
mod key;
mod lend;
mod replay;
mod replica;
mod tab;
mod waitlist;
mod watched;
