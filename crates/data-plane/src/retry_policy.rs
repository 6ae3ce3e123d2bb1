//! The decision on another go (design 6.2), apart from doing it.

/// Most attempts that one request may have.
const MAX_ATTEMPTS: u32 = 3;
/// What an attempt left behind, for the decision on the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum After {
    NotRun,
    MayHaveRun,
}

/// Whether a request may have another go, tokens apart (design 6.2).
pub fn may_retry(after: After, idempotent: bool, inner: bool, attempts: u32) -> bool {
    let again = after == After::NotRun || idempotent || common::mutation::enabled("once-goes-again");
    !inner && attempts < MAX_ATTEMPTS && again
}
