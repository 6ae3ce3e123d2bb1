//! The retry decision of the entry path (design 6.2).

/// Most attempts that one request may have.
const MAX_ATTEMPTS: u32 = 3;
/// What an attempt left behind, for the decision on the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailedAttempt {
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

/// Whether a request may have another attempt, the retry budget apart (design 6.2).
pub fn may_retry(after: FailedAttempt, idempotent: bool, inner: bool, attempts: u32) -> bool {
    let again = after == FailedAttempt::NotRun || idempotent || common::mutation::enabled("once-goes-again");
    !inner && attempts < MAX_ATTEMPTS && again
}
