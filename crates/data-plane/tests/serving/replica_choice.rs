//! Tests of `data_plane::serving::replica_choice`.

use crate::test_data::{candidates, choice_context, prompt, replica_row};
use common::{ReplicaId, Tick};
use data_plane::serving::{
    Prompt,
    prefill::{PrefillTracker, PromptSent, prefixes},
    replica_choice::{ChoiceContext, PREFILL_TOKENS_PER_MS, all_overdue, choose_replica, fits_memory},
    replica_view::Candidate,
};
use rstest::rstest;
use std::collections::BTreeSet;

const NOW: Tick = Tick(100_000);

/// The request for which a replica is chosen.
struct TestRequest<'a> {
    prompt: &'a Prompt,
    reading: &'a PrefillTracker,
    long: bool,
}

/// The replicas that are chosen for a request, over many random numbers.
fn chosen(candidates: &[Candidate], request: &TestRequest<'_>) -> BTreeSet<ReplicaId> {
    let candidates: Vec<&Candidate> = candidates.iter().collect();
    let prefixes = prefixes(request.prompt);
    let one = |n: u32| {
        let context = ChoiceContext {
            affinity: true,
            long_prompt: request.long,
            prefixes: if request.long { &prefixes } else { &[] },
            now: NOW,
            random_unit: f64::from(n) / 400.0,
            ..choice_context(request.prompt, request.reading)
        };
        choose_replica(&candidates, &context).expect("candidates").id.clone()
    };
    (0..400).map(one).collect()
}

/// Replicas `r0` to `r{n-1}` without requests.
fn idle(n: usize) -> Vec<Candidate> {
    candidates((0..n).map(|i| replica_row(i, 0)).collect())
}

/// A long prompt of 20000 tokens, of which `r2` has 18000 cached. `r2` still has to process `others` tokens of other
/// prompts.
#[rstest]
#[case::nothing_else(0, true)]
#[case::a_short_wait(25_000, true)]
#[case::a_wait_shorter_than_the_repeated_prefill(90_000, true)]
#[case::a_longer_wait(200_000, false)]
fn long_prompts_go_where_their_prefix_is_cached(#[case] others: u32, #[case] at_r2: bool) {
    let p = prompt(&[(1, 10_000), (2, 8_000), (3, 2_000)], 20_000);
    let mut reading = PrefillTracker::default();
    let note = |prefixes, tokens| PromptSent { replica: "r2".into(), prefixes, tokens, memory: 1_000_000 };
    reading.record_sent(&note(prefixes(&p), 20_000), PREFILL_TOKENS_PER_MS, Tick(0));
    reading.record_sent(&note(vec![], others), PREFILL_TOKENS_PER_MS, NOW);
    let got = chosen(&idle(6), &TestRequest { prompt: &p, reading: &reading, long: true });
    assert_eq!(got == BTreeSet::from(["r2".into()]), at_r2, "{got:?}");
    assert_eq!(got.contains(&"r2".into()), at_r2, "{got:?}");
}

/// Any replica may get prompts of any length: no replicas are reserved for long or short ones.
#[rstest]
fn all_replicas_take_long_and_short_prompts(#[values(false, true)] long: bool) {
    let (p, reading) = (prompt(&[], 500), PrefillTracker::default());
    assert_eq!(chosen(&idle(11), &TestRequest { prompt: &p, reading: &reading, long }).len(), 11);
}

/// Prompts with the same shared prefix go to the same replica while that is idle; prompts without one are spread.
#[test]
fn short_prefixes_stay_together() {
    let reading = PrefillTracker::default();
    let chosen_for = |p: &Prompt, candidates: &[Candidate]| {
        chosen(candidates, &TestRequest { prompt: p, reading: &reading, long: false })
    };
    let all: Vec<BTreeSet<ReplicaId>> =
        (0..20).map(|n| chosen_for(&prompt(&[(n, 300), (99 + n, 20)], 320), &idle(6))).collect();
    assert!(all.iter().all(|s| s.len() == 1), "{all:?}");
    assert!(all.iter().flatten().collect::<BTreeSet<_>>().len() > 3, "prefixes spread: {all:?}");
    assert_eq!(
        chosen_for(&prompt(&[(7, 300), (1, 20)], 320), &idle(6)),
        chosen_for(&prompt(&[(7, 300), (2, 20)], 320), &idle(6))
    );
    assert_eq!(chosen_for(&prompt(&[(7, 320)], 320), &idle(6)).len(), 6);
    let full = |n: usize| if all[7].contains(&format!("r{n}").as_str().into()) { 20 } else { 0 };
    let got = chosen_for(
        &prompt(&[(7, 300), (106, 20)], 320),
        &candidates((0..6).map(|n| replica_row(n, full(n))).collect()),
    );
    assert!(got.is_disjoint(&all[7]), "{got:?}");
}

#[rstest]
#[case::unknown_memory(0, 4_000_000, true)]
#[case::exact(1_100, 1_000, true)]
#[case::one_less(1_099, 1_000, false)]
fn fits_by_memory(#[case] memory_total: u64, #[case] tokens_in: u32, #[case] want: bool) {
    let candidate = &candidates(vec![data_plane::serving::replica_report::ReplicaRow {
        memory_total,
        ..replica_row(0, 0)
    }])[0];
    assert_eq!(fits_memory(candidate, &prompt(&[], tokens_in)), want);
}

/// Requests take 300 ms and replicas have 20 slots, so a request waits 300 / 20 ms for each one above the slots.
#[rstest]
#[case::none(&[], 1.0, true)]
#[case::last_slot(&[19], 0.0, false)]
#[case::one_queued(&[20], 14.9, true)]
#[case::in_time(&[20], 15.0, false)]
#[case::another_is_free(&[200, 3], 0.0, false)]
#[case::all_far_over(&[200, 300], 1_000.0, true)]
fn overdue_if_no_candidate_has_a_slot_in_time(#[case] running: &[u32], #[case] ms: f64, #[case] want: bool) {
    let candidates = candidates(running.iter().enumerate().map(|(n, r)| replica_row(n, *r)).collect());
    let (p, reading) = (prompt(&[], 10), PrefillTracker::default());
    let context = ChoiceContext { now: NOW, ..choice_context(&p, &reading) };
    assert_eq!(all_overdue(&candidates.iter().collect::<Vec<_>>(), &context, ms), want);
}
