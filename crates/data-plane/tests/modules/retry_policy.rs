//! Tests of `data_plane::retry_policy`.

use data_plane::retry_policy::{FailedAttempt, may_retry};
use rstest::rstest;

/// A request that may run only once is attempted again only if it certainly did not run (design 6.2).
#[rstest]
#[case::once_not_sent(FailedAttempt::NotRun, false, false, 1, true)]
#[case::once_may_have_run(FailedAttempt::MayHaveRun, false, false, 1, false)]
#[case::repeatable_may_have_run(FailedAttempt::MayHaveRun, true, false, 1, true)]
#[case::forwarded_never(FailedAttempt::NotRun, true, true, 1, false)]
#[case::three_at_most(FailedAttempt::NotRun, true, false, 3, false)]
fn retry_decision(
    #[case] failed: FailedAttempt,
    #[case] idempotent: bool,
    #[case] forwarded: bool,
    #[case] attempts: u32,
    #[case] expected: bool,
) {
    assert_eq!(may_retry(failed, idempotent, forwarded, attempts), expected);
}
