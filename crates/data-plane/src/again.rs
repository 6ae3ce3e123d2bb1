//! The decision on another go (design 6.2), apart from doing it.

/// Most goes that one job may have.
const MOST_GOES: u32 = 3;
/// What a go left behind, for the decision on the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum After {
    NotRun,
    MayHaveRun,
}

/// Whether a job may have another go, tokens apart (design 6.2).
pub fn may_go_again(after: After, repeatable: bool, inner: bool, goes: u32) -> bool {
    let again = after == After::NotRun || repeatable || common::mutation::enabled("once-goes-again");
    !inner && goes < MOST_GOES && again
}
