//! The data plane: routers that place users in regions, choose replicas and forward requests (design 5 and 6).

#![warn(missing_docs)]

pub mod attempt;
pub(crate) mod attempt_history;
pub mod capacity_grant;
pub mod contact;
pub mod contact_ages;
pub mod counters;
pub mod daemon;
pub mod dispatch;
pub mod forwarding;
pub mod gateway;
pub mod grant_exchange;
pub mod health_prober;
pub mod heartbeat;
pub mod load;
pub mod placement;
pub mod placement_table;
pub mod plan;
pub mod publisher_takeover;
pub mod region_choice;
pub mod remote_forwarding;
pub mod replay_guard;
pub mod replica_choice;
pub mod replica_health;
pub mod request_queue;
pub mod response;
pub mod response_body;
pub mod retry_budget;
pub mod retry_policy;
pub mod router;
pub mod rpc;
pub mod rpc_service;
pub mod serving;
pub mod shard_transfer;
pub mod summary;
pub mod usable_replicas;
pub mod user_key;
