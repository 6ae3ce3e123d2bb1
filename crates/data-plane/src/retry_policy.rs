//! Decides whether a request may be attempted again (design 6.2).

/// Most attempts of one request.
const MAX_ATTEMPTS: u32 = 3;

/// What is known of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailedAttempt {
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// Whether a request may be attempted again, apart from the retry budget (design 6.2). One that another region
/// forwarded never is: that region decides.
pub fn may_retry(failed: FailedAttempt, idempotent: bool, forwarded: bool, attempts: u32) -> bool {
    let safe = failed == FailedAttempt::NotRun || idempotent || common::mutation::enabled("once-goes-again");
    !forwarded && attempts < MAX_ATTEMPTS && safe
}
