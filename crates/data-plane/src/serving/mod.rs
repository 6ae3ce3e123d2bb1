//! Serving of requests by routes (design 9), from the head of a client's request to the last byte of the answer. The
//! documentation of each module says what it is responsible for.

pub mod attempt;
pub mod attempt_state;
pub mod authentication;
pub mod connection;
pub mod connection_reuse;
pub mod daemon;
pub mod directory;
pub mod dispatch;
pub mod event_splitter;
pub mod gateway;
pub mod health_prober;
mod list_reading;
pub mod plan;
pub mod pool;
pub mod prefill;
pub mod prefill_announce;
pub mod prompt_length;
pub mod protocol;
mod received_report;
pub mod region_choice;
pub mod replica_choice;
pub mod replica_list;
pub mod replica_report;
pub mod replica_selection;
pub mod replica_view;
pub mod report_publication;
pub mod report_subscription;
pub mod request_flush;
pub mod retry_budget;
pub mod slow_start;
pub mod state;
pub mod stream_relay;
pub mod sync_stream;
pub mod usage;

pub use protocol::{
    DutyCall, EngineReport, HeaderNames, ListPage, ListedReplica, Lookup, Prompt, ProtocolAdapter,
};
pub use state::{Bounds, Serving, Site};
pub use usage::{UsageDuty, UsageReport};
