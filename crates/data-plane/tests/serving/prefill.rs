//! Tests of `data_plane::serving::prefill`.

use crate::test_data::prompt;
use common::{ReplicaId, Tick};
use data_plane::serving::prefill::{PrefillTracker, PromptSent, prefixes};
use rstest::rstest;

fn note(parts: &[(u64, u32)], tokens: u32, memory: u64) -> PromptSent {
    PromptSent { replica: "r1".into(), prefixes: prefixes(&prompt(parts, tokens)), tokens, memory }
}

/// A prefix is all parts up to it, in their order; the last part is the request's own.
#[test]
fn prefixes_grow_part_by_part() {
    let of = |parts: &[(u64, u32)]| prefixes(&prompt(parts, 0));
    let abc = of(&[(1, 10), (2, 20), (3, 30)]);
    assert_eq!(abc.iter().map(|p| p.1).collect::<Vec<_>>(), [10, 30]);
    assert_eq!(of(&[(1, 10), (2, 20), (4, 5)]), abc);
    assert_eq!(of(&[(1, 10), (2, 20)]), abc[..1]);
    assert_ne!(of(&[(2, 20), (1, 10), (3, 30)])[1].0, abc[1].0);
    assert!(of(&[(1, 10)]).is_empty() && of(&[]).is_empty());
    assert_eq!(of(&[(1, u32::MAX), (2, 9), (3, 1)])[1].1, u32::MAX);
}

#[rstest]
#[case::all_of_it(&[(1, 100), (2, 200), (8, 50)], 350, 50)]
#[case::first_part(&[(1, 100), (9, 200), (8, 50)], 350, 250)]
#[case::another_start(&[(2, 200), (1, 100), (8, 50)], 350, 350)]
#[case::told_too_short(&[(1, 100), (2, 200), (8, 50)], 120, 0)]
fn unread_is_what_no_kept_prefix_covers(
    #[case] parts: &[(u64, u32)],
    #[case] tokens: u32,
    #[case] want: u32,
) {
    let mut r = PrefillTracker::default();
    let asked = prefixes(&prompt(parts, tokens));
    assert_eq!(r.unread_tokens(&"r1".into(), &asked, tokens), tokens);
    r.record_sent(&note(&[(1, 100), (2, 200), (3, 50)], 350, 0), 50.0, Tick(0));
    assert_eq!(r.unread_tokens(&"r1".into(), &asked, tokens), want);
    assert_eq!(r.unread_tokens(&"r2".into(), &asked, tokens), tokens);
}

/// Memory for two of three prompts of 300 tokens: the one that was used last longest ago goes.
#[rstest]
#[case::untouched(None, [300, 50, 50])]
#[case::used_again(Some(1), [50, 300, 50])]
fn kept_prefixes_go_by_least_recent_use(#[case] again: Option<u64>, #[case] want: [u32; 3]) {
    let mut r = PrefillTracker::default();
    let one = |n: u64| note(&[(n, 250), (n + 10, 50)], 300, 1_000);
    let used = [1, 2].into_iter().chain(again).chain([3]);
    for (t, n) in used.enumerate() {
        r.record_sent(&one(n), 50.0, Tick(t as u64));
    }
    let left = [1, 2, 3].map(|n| r.unread_tokens(&"r1".into(), &one(n).prefixes, 300));
    assert_eq!(left, want);
}

/// What a replica was sent adds up, and runs out with time; what it keeps is not read again.
#[test]
fn waits_add_up_and_run_out() {
    let (mut r, id) = (PrefillTracker::default(), ReplicaId::new("r1"));
    let long = note(&[(1, 4_000), (2, 1_000)], 5_000, 0);
    r.record_sent(&long, 50.0, Tick(1_000));
    assert_eq!(r.wait_ms(&id, Tick(1_000)), 100.0);
    r.record_sent(&long, 50.0, Tick(1_040));
    assert_eq!(r.wait_ms(&id, Tick(1_040)), 80.0);
    assert_eq!(r.wait_ms(&id, Tick(1_119)), 1.0);
    assert_eq!(r.wait_ms(&id, Tick(9_000)), 0.0);
    r.record_sent(&note(&[], 500, 0), 50.0, Tick(9_000));
    assert_eq!(r.wait_ms(&id, Tick(9_000)), 10.0);
    r.retain(&|id| id.as_str() != "r1");
    assert_eq!(r.wait_ms(&id, Tick(9_000)), 0.0);
    assert_eq!(r.unread_tokens(&id, &long.prefixes, 5_000), 5_000);
}
