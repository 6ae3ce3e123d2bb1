//! Tests of single modules, in one binary to save linking time.

mod capacity_grant;
mod forwarding;
mod placement_table;
mod region_choice;
mod replay_guard;
mod replica_choice;
mod replica_health;
mod request_queue;
mod retry_budget;
mod retry_policy;
mod summary;
mod user_key;
