//! What a router is asked by the holder of the duty, and answers.

use super::{
    decisions::{KeepError, KeptDecisions, UsageReport},
    recorder::StartRecorder,
};
use crate::router::lock;
use common::{FencingToken, Tenant, Tick, clock::time_of_day_ms};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Mutex};

/// A question of the holder.
#[derive(Debug, Serialize, Deserialize)]
pub enum UsageRequest {
    /// How many requests began to run between two ages, counted back from now.
    Starts {
        /// The older one, in milliseconds.
        from_age_ms: u64,
        /// The younger one, in milliseconds.
        until_age_ms: u64,
    },
    /// Asks to keep a decision.
    Keep {
        /// Under which the holder acts.
        fencing_token: FencingToken,
        /// The decision.
        report: UsageReport,
    },
    /// A new holder asks for the decisions of former ones.
    Collect {
        /// Under which it acts.
        fencing_token: FencingToken,
    },
}

/// The answer to one.
#[derive(Debug, Serialize, Deserialize)]
pub enum UsageResponse {
    /// What began.
    Starts {
        /// The time of day here, in milliseconds.
        time_of_day_ms: u64,
        /// By tenant.
        counts: BTreeMap<Tenant, u64>,
    },
    /// The decision is kept.
    Kept,
    /// Another decision is kept for the window.
    Differs,
    /// A higher fencing token was seen.
    Superseded(FencingToken),
    /// The decisions that are kept here.
    Collected {
        /// The time of day here, in milliseconds.
        time_of_day_ms: u64,
        /// One for each window.
        reports: Vec<UsageReport>,
    },
}

/// What each router remembers for the holder.
#[derive(Debug, Default)]
pub struct UsageRecord {
    /// What began to run.
    pub starts: Mutex<StartRecorder>,
    /// Decisions of holders.
    pub decisions: Mutex<KeptDecisions>,
}

impl UsageRecord {
    /// Answers a question of the holder.
    pub fn answer(&self, question: UsageRequest, now: Tick) -> UsageResponse {
        let time_of_day_ms = time_of_day_ms();
        match question {
            UsageRequest::Starts { from_age_ms, until_age_ms } => UsageResponse::Starts {
                time_of_day_ms,
                counts: lock(&self.starts).counts_between(now - from_age_ms, now - until_age_ms),
            },
            UsageRequest::Keep { fencing_token, report } => {
                match lock(&self.decisions).keep(fencing_token, &report) {
                    Ok(()) => UsageResponse::Kept,
                    Err(KeepError::Differs) => UsageResponse::Differs,
                    Err(KeepError::Superseded(known)) => UsageResponse::Superseded(known),
                }
            }
            UsageRequest::Collect { fencing_token } => match lock(&self.decisions).collect(fencing_token) {
                Ok(reports) => UsageResponse::Collected { time_of_day_ms, reports },
                Err(known) => UsageResponse::Superseded(known),
            },
        }
    }
}
