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

struct RequestTraits<'a> {
    prompt: &'a Prompt,
    reading: &'a PrefillTracker,
    long: bool,
}

/// Whom a request may come to, over many draws.
fn chosen(cands: &[Candidate], a: &RequestTraits<'_>) -> BTreeSet<ReplicaId> {
    let cands: Vec<&Candidate> = cands.iter().collect();
    let of = prefixes(a.prompt);
    let one = |n: u32| {
        let w = ChoiceContext {
            affinity: true,
            long_prompt: a.long,
            prefixes: if a.long { &of } else { &[] },
            now: NOW,
            random_unit: f64::from(n) / 400.0,
            ..choice_context(a.prompt, a.reading)
        };
        choose_replica(&cands, &w).expect("candidates").id.clone()
    };
    (0..400).map(one).collect()
}

fn idle(n: usize) -> Vec<Candidate> {
    candidates((0..n).map(|i| replica_row(i, 0)).collect())
}

/// A long prompt of 20000 tokens, 18000 of them kept at `r2`, which still reads so many of others.
#[rstest]
#[case::nothing_else(0, true)]
#[case::a_short_wait(25_000, true)]
#[case::a_wait_below_reading_again(90_000, true)]
#[case::a_wait_above_it(200_000, false)]
fn long_prompts_go_where_their_prefix_is(#[case] others: u32, #[case] kept: bool) {
    let p = prompt(&[(1, 10_000), (2, 8_000), (3, 2_000)], 20_000);
    let mut reading = PrefillTracker::default();
    let note = |prefixes, tokens| PromptSent { replica: "r2".into(), prefixes, tokens, memory: 1_000_000 };
    reading.record_sent(&note(prefixes(&p), 20_000), PREFILL_TOKENS_PER_MS, Tick(0));
    reading.record_sent(&note(vec![], others), PREFILL_TOKENS_PER_MS, NOW);
    let got = chosen(&idle(6), &RequestTraits { prompt: &p, reading: &reading, long: true });
    assert_eq!(got == BTreeSet::from(["r2".into()]), kept, "{got:?}");
    assert_eq!(got.contains(&"r2".into()), kept, "{got:?}");
}

/// Prompts of any length may come to any replica: what a long one holds up is weighed, not kept apart.
#[rstest]
fn all_replicas_are_for_both_kinds(#[values(false, true)] long: bool) {
    let (p, reading) = (prompt(&[], 500), PrefillTracker::default());
    assert_eq!(chosen(&idle(11), &RequestTraits { prompt: &p, reading: &reading, long }).len(), 11);
}

/// A shared prefix stays at one replica while that is idle, whoever asks; what is not shared spreads.
#[test]
fn short_prefixes_stay_together() {
    let reading = PrefillTracker::default();
    let of = |p: &Prompt, cands: &[Candidate]| {
        chosen(cands, &RequestTraits { prompt: p, reading: &reading, long: false })
    };
    let all: Vec<BTreeSet<ReplicaId>> =
        (0..20).map(|n| of(&prompt(&[(n, 300), (99 + n, 20)], 320), &idle(6))).collect();
    assert!(all.iter().all(|s| s.len() == 1), "{all:?}");
    assert!(all.iter().flatten().collect::<BTreeSet<_>>().len() > 3, "prefixes spread: {all:?}");
    assert_eq!(
        of(&prompt(&[(7, 300), (1, 20)], 320), &idle(6)),
        of(&prompt(&[(7, 300), (2, 20)], 320), &idle(6))
    );
    assert_eq!(of(&prompt(&[(7, 320)], 320), &idle(6)).len(), 6);
    let full = |n: usize| if all[7].contains(&format!("r{n}").as_str().into()) { 20 } else { 0 };
    let got = of(
        &prompt(&[(7, 300), (106, 20)], 320),
        &candidates((0..6).map(|n| replica_row(n, full(n))).collect()),
    );
    assert!(got.is_disjoint(&all[7]), "{got:?}");
}

#[rstest]
#[case::untold(0, 4_000_000, true)]
#[case::exactly(1_100, 1_000, true)]
#[case::one_less(1_099, 1_000, false)]
fn fits_by_memory(#[case] memory_total: u64, #[case] tokens_in: u32, #[case] want: bool) {
    let c = &candidates(vec![data_plane::serving::replica_report::ReplicaRow {
        memory_total,
        ..replica_row(0, 0)
    }])[0];
    assert_eq!(fits_memory(c, &prompt(&[], tokens_in)), want);
}

/// One request of 300 ms waits for a slot of 20: `over` x 300 / 20.
#[rstest]
#[case::none(&[], 1.0, true)]
#[case::last_slot(&[19], 0.0, false)]
#[case::one_waits(&[20], 14.9, true)]
#[case::in_time(&[20], 15.0, false)]
#[case::another_is_free(&[200, 3], 0.0, false)]
#[case::all_are_far_over(&[200, 300], 1_000.0, true)]
fn hopeless_where_nobody_begins_in_time(#[case] running: &[u32], #[case] ms: f64, #[case] want: bool) {
    let cands = candidates(running.iter().enumerate().map(|(n, r)| replica_row(n, *r)).collect());
    let (p, reading) = (prompt(&[], 10), PrefillTracker::default());
    let w = ChoiceContext { now: NOW, ..choice_context(&p, &reading) };
    assert_eq!(all_overdue(&cands.iter().collect::<Vec<_>>(), &w, ms), want);
}
