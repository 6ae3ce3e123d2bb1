//! One binary for serving by routes: its pure rooms, then the way of a request in a world in memory.

mod attempt_state;
mod authentication;
mod carried;
mod connection;
mod fleet;
mod kit;
mod limits;
mod own_answers;
mod placement;
mod plan;
mod prefill;
mod prompt_length;
mod region_choice;
mod replica_choice;
mod replica_list;
mod replica_list_pages;
mod replica_report;
mod replica_view;
mod report_subscription;
mod retry_budget;
mod slow_start;
mod source_backoff;
mod stage;
mod stream_relay;
