//! Counts that a holder has fixed, as it hands them to other routers before it reports them: the next holder repeats
//! them. Pure.

use common::{FencingToken, Tenant};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Windows of which a decision is kept: the newest.
pub const KEPT_WINDOWS: usize = 8;

/// The counts of one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Its number: it began so many window lengths after the start of 1970.
    pub window: u64,
    /// Requests that began to run in it, by tenant.
    pub counts: BTreeMap<Tenant, u64>,
}

/// Why a decision is not kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeepError {
    /// A later holder has asked already.
    Superseded(FencingToken),
    /// Other counts are kept for the window.
    Differs,
}

/// The decisions that a router keeps.
#[derive(Debug, Default)]
pub struct KeptDecisions {
    /// The highest that was seen.
    fencing_token: FencingToken,
    reports: BTreeMap<u64, UsageReport>,
}

impl KeptDecisions {
    /// Takes a fencing token unless a higher one was seen.
    fn check(&mut self, fencing_token: FencingToken) -> Result<(), FencingToken> {
        if fencing_token < self.fencing_token {
            return Err(self.fencing_token);
        }
        self.fencing_token = fencing_token;
        Ok(())
    }

    /// Keeps a decision; a window's first one stays.
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

    /// All that is kept, for a new holder: from now on those before it are refused.
    ///
    /// # Errors
    /// A higher fencing token was seen.
    pub fn collect(&mut self, fencing_token: FencingToken) -> Result<Vec<UsageReport>, FencingToken> {
        self.check(fencing_token)?;
        Ok(self.reports.values().cloned().collect())
    }
}
