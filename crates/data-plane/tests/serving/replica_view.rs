//! Tests of `data_plane::serving::replica_view`.

use crate::test_data::{LIST_MAX_AGE_MS, choice_context, prompt, replica_report, replica_row, zones};
use common::{Region, Service, Tick};
use data_plane::load::RegionLoad;
use data_plane::serving::{
    prefill::PrefillTracker,
    replica_choice::{ChoiceContext, choose_replica},
    replica_report::ReplicaReport,
    replica_view::{Candidate, ReceivedReport, ReplicaView, ReportStore},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use std::{collections::BTreeMap, sync::atomic::Ordering};

/// Design 9.3: held are load reports of `p0`, number 5, fresh at 100.
#[rstest]
#[case::newer("p0", 6, 101, true)]
#[case::at_the_same_time("p0", 6, 100, true)]
#[case::longer_on_its_way("p0", 6, 99, true)]
#[case::told_twice("p0", 5, 101, false)]
#[case::lower_number("p0", 4, 200, false)]
#[case::other_publisher("p1", 1, 101, true)]
#[case::other_publisher_older("p1", 9, 99, false)]
fn boards_never_go_back(#[case] publisher: &str, #[case] seq: u64, #[case] at: u64, #[case] taken: bool) {
    let mut f = ReportStore::default();
    assert!(f.accept(replica_report("n1", 5, vec![replica_row(0, 7)]), Tick(100)));
    let mut b = replica_report("n1", seq, vec![replica_row(0, 9)]);
    b.publisher = publisher.into();
    assert_eq!(f.accept(b, Tick(at)), taken);
    let running = f.by_zone[&"n1".into()].report.rows[0].running;
    assert_eq!(running, if taken { 9 } else { 7 });
    let fresh_at = f.by_zone[&"n1".into()].fresh_at;
    assert!(
        fresh_at >= Tick(100) && (fresh_at >= Tick(at) || !taken),
        "what is held grows no older: {fresh_at:?}"
    );
    assert!(f.accept(replica_report("n2", 1, vec![]), Tick(1)), "areas have nothing to do with each other");
}

/// What was open when the load reports were fresh, and what is now.
#[rstest]
#[case::no_change(10, 4, 4, 10.0)]
#[case::own_change(10, 4, 7, 13.0)]
#[case::given_back(30, 4, 3, 29.0)]
#[case::all_given_back(10, 8, 0, 2.0)]
#[case::never_below_the_own(4, 8, 6, 6.0)]
#[case::never_below_nothing(3, 5, 0, 0.0)]
#[case::figures_below_the_own(1, 5, 5, 5.0)]
fn load_counts_what_was_sent_since(
    #[case] running: u32,
    #[case] then: i64,
    #[case] now: i64,
    #[case] want: f64,
) {
    let mut f = ReportStore::default();
    assert!(f.accept(replica_report("n1", 1, vec![replica_row(0, 0)]), Tick(0)));
    f.build_view(&zones(), 1, LIST_MAX_AGE_MS).replicas_of(&"chat".into())[0]
        .local
        .open
        .store(then, Ordering::Relaxed);
    assert!(f.accept(replica_report("n1", 2, vec![replica_row(0, running)]), Tick(1)));
    let fleet = f.build_view(&zones(), 1, LIST_MAX_AGE_MS);
    let c = &fleet.replicas_of(&"chat".into())[0];
    c.local.open.store(now, Ordering::Relaxed);
    assert_eq!(c.load(), want);
}

/// So many routers send eight requests each by one stale report of replicas with 20 slots each, as many of them as
/// have room for all: the load of each replica afterwards. `best_of_all` is the choice that no longer is: the least
/// loaded of all by that report.
fn herd(routers: usize, best_of_all: bool, seed: u64) -> Vec<u32> {
    let mut chance = SmallRng::seed_from_u64(seed);
    let mut load: Vec<u32> = (0..routers * 10 / 12).map(|n| n as u32 * 2 % 20).collect();
    let rows: Vec<_> = load.iter().enumerate().map(|(n, l)| replica_row(n, *l)).collect();
    let fleets: Vec<ReplicaView> = (0..routers)
        .map(|_| {
            let mut f = ReportStore::default();
            assert!(f.accept(replica_report("n1", 1, rows.clone()), Tick(0)));
            f.build_view(&zones(), 1, LIST_MAX_AGE_MS)
        })
        .collect();
    let (reading, p) = (PrefillTracker::default(), prompt(&[], 200));
    for _ in 0..8 {
        for fleet in &fleets {
            let w = ChoiceContext {
                max_pause_ms: 1_000.0,
                random_unit: chance.random(),
                ..choice_context(&p, &reading)
            };
            let cands: Vec<&Candidate> = fleet.replicas_of(&"chat".into()).iter().collect();
            let least = cands.iter().copied().min_by(|a, b| a.load().total_cmp(&b.load()));
            let c = if best_of_all { least } else { choose_replica(&cands, &w) }.expect("candidates");
            c.local.open.fetch_add(1, Ordering::Relaxed);
            load[rows.iter().position(|r| r.id == c.id).expect("a row")] += 1;
        }
    }
    load
}

/// The incident: twelve routers each filled what one stale report showed as free, and replicas turned
/// requests away as full. With 75 routers each has a request or two at a replica, and its own count tells nothing.
#[rstest]
fn no_herd_on_stale_figures(#[values(12, 75)] routers: usize, #[values(1, 2, 3, 4, 5)] seed: u64) {
    let over = |load: &[u32]| load.iter().map(|l| l.saturating_sub(20)).sum::<u32>();
    let (few, all) = (herd(routers, false, seed), herd(routers, true, seed));
    assert!(over(&few) <= routers as u32, "{few:?}");
    assert!(over(&all) > 2 * routers as u32, "the best of all must do worse: {all:?}");
}

/// A list that its publisher can't renew counts on only while nobody else has read any: seen to fail, a publisher that
/// alone was cut off from the platform renewed the age of its list by itself.
#[rstest]
#[case::renewed(1_000, 1_500, (0, 3_001), 1_000)]
#[case::not_old_yet(1_000, 4_000, (0, 3_001), 1_000)]
#[case::old_for_both(1_000, 5_000, (0, 3_001), 5_000)]
#[case::another_read_beside_it(1_000, 5_000, (2_500, 3_001), 5_000)]
#[case::another_read_since(1_000, 5_000, (2_501, 3_001), 1_000)]
#[case::another_is_current(1_000, 5_000, (4_900, 0), 1_000)]
#[case::nothing_came_of_another(1_000, 5_000, (500, 100), 1_000)]
fn whose_list_counts(
    #[case] at: u64,
    #[case] received: u64,
    #[case] (other_at, other_age_ms): (u64, u64),
    #[case] listed_at: u64,
) {
    let mut f = ReportStore::default();
    let of = |zone, at: u64, age_ms, received: u64| ReceivedReport {
        report: ReplicaReport { age_ms, ..replica_report(zone, 1, vec![replica_row(0, 0)]) },
        fresh_at: Tick(at),
        received_at: Tick(received),
    };
    assert!(f.accept_received(of("n2", other_at, other_age_ms, other_at + other_age_ms)));
    assert!(f.accept_received(of("n1", at, received - at, received)));
    let fleet = f.build_view(&zones(), 3_000, LIST_MAX_AGE_MS);
    let of_zone =
        fleet.replicas_of(&"chat".into()).iter().find(|c| c.zone == "n1".into()).expect("its replica");
    assert_eq!(of_zone.listed_at, Tick(listed_at));
}

/// Passes of a region add up over its zones, and count as long as the oldest of its load reports.
#[test]
fn lends_add_up_and_run_out() {
    let mut f = ReportStore::default();
    for (zone, n, at) in [("n1", 3, 100), ("n2", 4, 50), ("s1", 7, 70), ("elsewhere", 9, 1)] {
        let mut b = replica_report(zone, 1, vec![]);
        b.lending_grants = [("chat".into(), n)].into();
        assert!(f.accept(b, Tick(at)));
    }
    let fleet = f.build_view(&zones(), 3_000, LIST_MAX_AGE_MS);
    let at = |r: &str| fleet.lending_grants[&(Region::new(r), Service::new("chat"))];
    assert_eq!(at("north"), (7, Tick(3_050)));
    assert_eq!(at("south"), (7, Tick(3_070)));
    assert_eq!(fleet.lending_grants.len(), 2);
}

#[test]
fn regions_count_what_is_usable() {
    let mut f = ReportStore::default();
    let gone = data_plane::serving::replica_report::ReplicaRow { draining: true, ..replica_row(2, 5) };
    assert!(f.accept(replica_report("n1", 1, vec![replica_row(0, 3), gone]), Tick(0)));
    assert!(f.accept(replica_report("n2", 1, vec![replica_row(1, 4)]), Tick(0)));
    assert!(f.accept(replica_report("s1", 1, vec![replica_row(3, 19)]), Tick(0)));
    let fleet = f.build_view(&zones(), 1, LIST_MAX_AGE_MS);
    let cands = fleet.replicas_of(&"chat".into());
    cands.iter().find(|c| c.id == "r0".into()).unwrap().local.open.store(2, Ordering::Relaxed);
    let seen = fleet.region_loads(&"chat".into(), &|c| !c.draining);
    let want: BTreeMap<Region, RegionLoad> = [
        ("north".into(), RegionLoad { healthy: true, capacity: 40.0, consumption: 9.0 }),
        ("south".into(), RegionLoad { healthy: true, capacity: 20.0, consumption: 19.0 }),
    ]
    .into();
    assert_eq!(seen, want);
    assert!(fleet.region_loads(&"draw".into(), &|_| true).is_empty());
}

/// What is open at a replica outlives boards, also one that left it out; an unused one is forgotten.
#[test]
fn own_counts_outlive_boards() {
    let mut f = ReportStore::default();
    let open = |f: &mut ReportStore, seq: u64, rows: Vec<_>| {
        assert!(f.accept(replica_report("n1", seq, rows), Tick(seq)));
        let fleet = f.build_view(&zones(), 1, LIST_MAX_AGE_MS);
        fleet.replicas_of(&"chat".into()).first().map(|c| c.local.clone())
    };
    open(&mut f, 1, vec![replica_row(0, 0)]).unwrap().open.store(1, Ordering::Relaxed);
    assert!(open(&mut f, 2, vec![]).is_none());
    let back = open(&mut f, 3, vec![replica_row(0, 0)]).unwrap();
    assert_eq!(back.open.load(Ordering::Relaxed), 1);
    back.avoid(Tick(50));
    back.open.store(0, Ordering::Relaxed);
    assert!(back.is_avoided(Tick(49)) && !back.is_avoided(Tick(50)));
    assert!(open(&mut f, 4, vec![]).is_none());
    assert!(!open(&mut f, 5, vec![replica_row(0, 0)]).unwrap().is_avoided(Tick(49)));
}
