//! Which prefixes replicas are assumed to hold, and for how long they read (design 9.5).

use crate::test_data::prompt;
use common::{ReplicaId, Tick};
use data_plane::serving::prefill::{PrefillTracker, PromptSent, prefixes};
use rstest::rstest;

fn prompt_sent(parts: &[(u64, u32)], tokens: u32, memory: u64) -> PromptSent {
    PromptSent { replica: "r1".into(), prefixes: prefixes(&prompt(parts, tokens)), tokens, memory }
}

/// A prefix consists of all parts up to it, in order; the last part belongs to the request alone.
#[test]
fn prefixes_grow_part_by_part() {
    let of = |parts: &[(u64, u32)]| prefixes(&prompt(parts, 0));
    let abc = of(&[(1, 10), (2, 20), (3, 30)]);
    assert_eq!(abc.iter().map(|prefix| prefix.1).collect::<Vec<_>>(), [10, 30]);
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
#[case::reported_too_short(&[(1, 100), (2, 200), (8, 50)], 120, 0)]
fn unread_tokens_exclude_known_prefixes(
    #[case] parts: &[(u64, u32)],
    #[case] tokens: u32,
    #[case] want: u32,
) {
    let mut tracker = PrefillTracker::default();
    let requested = prefixes(&prompt(parts, tokens));
    assert_eq!(tracker.unread_tokens(&"r1".into(), &requested, tokens), tokens);
    tracker.record_sent(&prompt_sent(&[(1, 100), (2, 200), (3, 50)], 350, 0), 50.0, Tick(0));
    assert_eq!(tracker.unread_tokens(&"r1".into(), &requested, tokens), want);
    assert_eq!(tracker.unread_tokens(&"r2".into(), &requested, tokens), tokens);
}

/// With memory for two of three prompts of 300 tokens, the least recently used one is dropped.
#[rstest]
#[case::untouched(None, [300, 50, 50])]
#[case::used_again(Some(1), [50, 300, 50])]
fn least_recently_used_prefixes_are_dropped(#[case] again: Option<u64>, #[case] want: [u32; 3]) {
    let mut tracker = PrefillTracker::default();
    let one = |n: u64| prompt_sent(&[(n, 250), (n + 10, 50)], 300, 1_000);
    let used = [1, 2].into_iter().chain(again).chain([3]);
    for (time, n) in used.enumerate() {
        tracker.record_sent(&one(n), 50.0, Tick(time as u64));
    }
    let unread = [1, 2, 3].map(|n| tracker.unread_tokens(&"r1".into(), &one(n).prefixes, 300));
    assert_eq!(unread, want);
}

/// Reading times of the prompts sent to a replica add up, and decrease with time; prefixes it holds are not read again.
#[test]
fn reading_times_add_up_and_run_out() {
    let (mut tracker, id) = (PrefillTracker::default(), ReplicaId::new("r1"));
    let long = prompt_sent(&[(1, 4_000), (2, 1_000)], 5_000, 0);
    tracker.record_sent(&long, 50.0, Tick(1_000));
    assert_eq!(tracker.wait_ms(&id, Tick(1_000)), 100.0);
    tracker.record_sent(&long, 50.0, Tick(1_040));
    assert_eq!(tracker.wait_ms(&id, Tick(1_040)), 80.0);
    assert_eq!(tracker.wait_ms(&id, Tick(1_119)), 1.0);
    assert_eq!(tracker.wait_ms(&id, Tick(9_000)), 0.0);
    tracker.record_sent(&prompt_sent(&[], 500, 0), 50.0, Tick(9_000));
    assert_eq!(tracker.wait_ms(&id, Tick(9_000)), 10.0);
    tracker.retain(&|id| id.as_str() != "r1");
    assert_eq!(tracker.wait_ms(&id, Tick(9_000)), 0.0);
    assert_eq!(tracker.unread_tokens(&id, &long.prefixes, 5_000), 5_000);
}
