//! What the holder of the usage duty requests from the other routers, and what they answer.

use super::{
    decisions::{KeepError, KeptDecisions, UsageReport},
    recorder::StartRecorder,
};
use crate::router::lock;
use common::{FencingToken, Tenant, Tick, clock::time_of_day_ms};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Mutex};

/// A request of the holder.
#[derive(Debug, Serialize, Deserialize)]
pub enum UsageRequest {
    /// Asks how many requests started to run between two points in time, each given by its age: how long ago it
    /// was when the request is answered.
    Starts {
        /// Age of the earlier one, in milliseconds.
        from_age_ms: u64,
        /// Age of the later one, in milliseconds.
        until_age_ms: u64,
    },
    /// Asks to store the counts that were decided for a window.
    Keep {
        /// The fencing token under which the holder acts.
        fencing_token: FencingToken,
        /// The decided counts.
        report: UsageReport,
    },
    /// A new holder asks for the decisions of former holders.
    Collect {
        /// The fencing token under which it acts.
        fencing_token: FencingToken,
    },
}

/// The answer to a [`UsageRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub enum UsageResponse {
    /// The requests that started.
    Starts {
        /// The time of day by the answering machine's clock, in milliseconds since 1970.
        time_of_day_ms: u64,
        /// Their number by tenant.
        counts: BTreeMap<Tenant, u64>,
    },
    /// The decision is stored.
    Kept,
    /// A different decision is stored for the window.
    Differs,
    /// The request is rejected, because a higher fencing token was seen: this one.
    Superseded(FencingToken),
    /// The decisions that are stored here.
    Collected {
        /// The time of day by the answering machine's clock, in milliseconds since 1970.
        time_of_day_ms: u64,
        /// At most one for each window.
        reports: Vec<UsageReport>,
    },
}

/// What each router stores for the holder.
#[derive(Debug, Default)]
pub struct UsageRecord {
    /// Requests that started to run.
    pub starts: Mutex<StartRecorder>,
    /// Decisions of holders.
    pub decisions: Mutex<KeptDecisions>,
}

impl UsageRecord {
    /// Answers a request of the holder.
    pub fn answer(&self, request: UsageRequest, now: Tick) -> UsageResponse {
        let time_of_day_ms = time_of_day_ms();
        match request {
            UsageRequest::Starts { from_age_ms, until_age_ms } => UsageResponse::Starts {
                time_of_day_ms,
                counts: lock(&self.starts).counts_between(now - from_age_ms, now - until_age_ms),
            },
            UsageRequest::Keep { fencing_token, report } => {
                match lock(&self.decisions).keep(fencing_token, &report) {
                    Ok(()) => UsageResponse::Kept,
                    Err(KeepError::Differs) => UsageResponse::Differs,
                    Err(KeepError::Superseded(highest)) => UsageResponse::Superseded(highest),
                }
            }
            UsageRequest::Collect { fencing_token } => match lock(&self.decisions).collect(fencing_token) {
                Ok(reports) => UsageResponse::Collected { time_of_day_ms, reports },
                Err(highest) => UsageResponse::Superseded(highest),
            },
        }
    }
}
