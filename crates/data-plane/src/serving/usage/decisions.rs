//! Decided counts that a holder hands to other routers before it reports them to the platform. A later holder reports
//! the same counts again, never different ones. Pure.

use common::{FencingToken, Tenant};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of windows, the newest ones, whose decisions are stored.
pub const KEPT_WINDOWS: usize = 8;

/// The counts of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The window's number: it began `window` window lengths after the start of 1970.
    pub window: u64,
    /// Requests that started to run in it, by tenant.
    pub counts: BTreeMap<Tenant, u64>,
}

/// Why a decision is not stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeepError {
    /// A later holder has made a request already, under this fencing token.
    Superseded(FencingToken),
    /// Other counts are stored for the window.
    Differs,
}

/// The decisions that a router stores.
#[derive(Debug, Default)]
pub struct KeptDecisions {
    /// The highest fencing token that was seen.
    fencing_token: FencingToken,
    reports: BTreeMap<u64, UsageReport>,
}

impl KeptDecisions {
    /// Accepts a fencing token unless a higher one was seen.
    fn check(&mut self, fencing_token: FencingToken) -> Result<(), FencingToken> {
        if fencing_token < self.fencing_token {
            return Err(self.fencing_token);
        }
        self.fencing_token = fencing_token;
        Ok(())
    }

    /// Stores a decision. The first one for a window is never replaced.
    ///
    /// # Errors
    /// See [`KeepError`].
    pub fn keep(&mut self, fencing_token: FencingToken, report: &UsageReport) -> Result<(), KeepError> {
        self.check(fencing_token).map_err(KeepError::Superseded)?;
        let kept = self.reports.entry(report.window).or_insert_with(|| report.clone());
        let same = kept == report;
        while self.reports.len() > KEPT_WINDOWS {
            self.reports.pop_first();
        }
        if same { Ok(()) } else { Err(KeepError::Differs) }
    }

    /// All stored decisions, for a new holder. From now on requests of earlier holders are rejected.
    ///
    /// # Errors
    /// The highest fencing token that was seen, if it is above this one.
    pub fn collect(&mut self, fencing_token: FencingToken) -> Result<Vec<UsageReport>, FencingToken> {
        self.check(fencing_token)?;
        Ok(self.reports.values().cloned().collect())
    }
}
