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
    let again = after == After::NotRun || repeatable || gauge::ground::broken("once-goes-again");
    !inner && goes < MOST_GOES && again
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;

    /// Conformance, design 6.2: `once` goes again only where nothing of it was sent.
    #[rstest]
    #[case::once_not_sent(After::NotRun, false, false, 1, true)]
    #[case::once_may_have_run(After::MayHaveRun, false, false, 1, false)]
    #[case::repeatable_may_have_run(After::MayHaveRun, true, false, 1, true)]
    #[case::inner_hops_never(After::NotRun, true, true, 1, false)]
    #[case::three_at_most(After::NotRun, true, false, 3, false)]
    fn another_go(
        #[case] after: After,
        #[case] repeatable: bool,
        #[case] inner: bool,
        #[case] goes: u32,
        #[case] want: bool,
    ) {
        assert_eq!(may_go_again(after, repeatable, inner, goes), want);
    }
}
