//! The data plane (design 5 and 6): a plan is made as data, then carried out.

pub mod again;
pub mod answer;
pub mod away;
pub mod body;
pub mod budget;
pub mod carry;
pub mod choose;
pub mod cut;
pub mod digest;
pub mod edge;
pub mod go;
pub mod hop;
pub mod key;
pub mod lend;
pub mod lending;
pub mod numbers;
pub mod place;
pub mod plan;
pub mod pressure;
pub mod probe;
pub mod rail;
pub mod replica;
pub mod router;
pub mod tab;
pub mod waitlist;
pub mod watched;
