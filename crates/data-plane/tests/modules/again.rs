//! Tests of `data_plane::again`.

use data_plane::again::{After, may_go_again};
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
