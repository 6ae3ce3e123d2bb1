//! Tests of `data_plane::retry_policy`.

use data_plane::retry_policy::{FailedAttempt, may_retry};
use rstest::rstest;

/// Conformance, design 6.2: a `once` request has another attempt only where nothing of it was sent.
#[rstest]
#[case::once_not_sent(FailedAttempt::NotRun, false, false, 1, true)]
#[case::once_may_have_run(FailedAttempt::MayHaveRun, false, false, 1, false)]
#[case::repeatable_may_have_run(FailedAttempt::MayHaveRun, true, false, 1, true)]
#[case::inner_hops_never(FailedAttempt::NotRun, true, true, 1, false)]
#[case::three_at_most(FailedAttempt::NotRun, true, false, 3, false)]
fn another_go(
    #[case] after: FailedAttempt,
    #[case] idempotent: bool,
    #[case] inner: bool,
    #[case] attempts: u32,
    #[case] want: bool,
) {
    assert_eq!(may_retry(after, idempotent, inner, attempts), want);
}
