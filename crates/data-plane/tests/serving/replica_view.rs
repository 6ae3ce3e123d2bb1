//! How reports are accepted and combined into the replica view (design 9.3).

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

/// Held is report number 5 of `p0`, up to date at 100.
#[rstest]
#[case::newer("p0", 6, 101, true)]
#[case::at_the_same_time("p0", 6, 100, true)]
#[case::travelled_longer("p0", 6, 99, true)]
#[case::received_twice("p0", 5, 101, false)]
#[case::lower_number("p0", 4, 200, false)]
#[case::other_publisher("p1", 1, 101, true)]
#[case::other_publisher_older("p1", 9, 99, false)]
fn an_older_report_never_replaces_a_newer_one(
    #[case] publisher: &str,
    #[case] seq: u64,
    #[case] at: u64,
    #[case] taken: bool,
) {
    let mut store = ReportStore::default();
    assert!(store.accept(replica_report("n1", 5, vec![replica_row(0, 7)]), Tick(100)));
    let mut report = replica_report("n1", seq, vec![replica_row(0, 9)]);
    report.publisher = publisher.into();
    assert_eq!(store.accept(report, Tick(at)), taken);
    let running = store.by_zone[&"n1".into()].report.rows[0].running;
    assert_eq!(running, if taken { 9 } else { 7 });
    let fresh_at = store.by_zone[&"n1".into()].fresh_at;
    assert!(
        fresh_at >= Tick(100) && (fresh_at >= Tick(at) || !taken),
        "the held report must not become older: {fresh_at:?}"
    );
    assert!(store.accept(replica_report("n2", 1, vec![]), Tick(1)), "zones are independent");
}

/// Requests open when the report was taken, and now.
#[rstest]
#[case::no_change(10, 4, 4, 10.0)]
#[case::own_change(10, 4, 7, 13.0)]
#[case::ended(30, 4, 3, 29.0)]
#[case::all_ended(10, 8, 0, 2.0)]
#[case::at_least_the_own(4, 8, 6, 6.0)]
#[case::at_least_zero(3, 5, 0, 0.0)]
#[case::report_below_the_own(1, 5, 5, 5.0)]
fn load_includes_own_changes_since_the_report(
    #[case] running: u32,
    #[case] then: i64,
    #[case] now: i64,
    #[case] want: f64,
) {
    let mut store = ReportStore::default();
    assert!(store.accept(replica_report("n1", 1, vec![replica_row(0, 0)]), Tick(0)));
    store.build_view(&zones(), 1, LIST_MAX_AGE_MS).replicas_of(&"chat".into())[0]
        .local
        .open
        .store(then, Ordering::Relaxed);
    assert!(store.accept(replica_report("n1", 2, vec![replica_row(0, running)]), Tick(1)));
    let view = store.build_view(&zones(), 1, LIST_MAX_AGE_MS);
    let replica = &view.replicas_of(&"chat".into())[0];
    replica.local.open.store(now, Ordering::Relaxed);
    assert_eq!(replica.load(), want);
}

/// Load of each replica after each router has sent eight requests by one stale report. Each replica has 20 slots, and
/// all together have room for all requests. With `best_of_all` a router takes the replica that is least loaded by the
/// report, as a comparison.
fn simulate_load(routers: usize, best_of_all: bool, seed: u64) -> Vec<u32> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut load: Vec<u32> = (0..routers * 10 / 12).map(|n| n as u32 * 2 % 20).collect();
    let rows: Vec<_> = load.iter().enumerate().map(|(n, l)| replica_row(n, *l)).collect();
    let views: Vec<ReplicaView> = (0..routers)
        .map(|_| {
            let mut store = ReportStore::default();
            assert!(store.accept(replica_report("n1", 1, rows.clone()), Tick(0)));
            store.build_view(&zones(), 1, LIST_MAX_AGE_MS)
        })
        .collect();
    let (tracker, prompt) = (PrefillTracker::default(), prompt(&[], 200));
    for _ in 0..8 {
        for view in &views {
            let context = ChoiceContext {
                max_pause_ms: 1_000.0,
                random_unit: rng.random(),
                ..choice_context(&prompt, &tracker)
            };
            let candidates: Vec<&Candidate> = view.replicas_of(&"chat".into()).iter().collect();
            let least = candidates.iter().copied().min_by(|a, b| a.load().total_cmp(&b.load()));
            let replica =
                if best_of_all { least } else { choose_replica(&candidates, &context) }.expect("candidates");
            replica.local.open.fetch_add(1, Ordering::Relaxed);
            load[rows.iter().position(|row| row.id == replica.id).expect("a row")] += 1;
        }
    }
    load
}

/// Guards against herding: when each router filled the replicas that one stale report showed as free, replicas rejected
/// requests as full. With 75 routers each has only a few requests per replica, so its own count doesn't help.
#[rstest]
fn routers_do_not_herd_on_a_stale_report(
    #[values(12, 75)] routers: usize,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let over_capacity = |load: &[u32]| load.iter().map(|l| l.saturating_sub(20)).sum::<u32>();
    let (few_compared, all_compared) =
        (simulate_load(routers, false, seed), simulate_load(routers, true, seed));
    assert!(over_capacity(&few_compared) <= routers as u32, "{few_compared:?}");
    assert!(
        over_capacity(&all_compared) > 2 * routers as u32,
        "choosing the best of all must do worse: {all_compared:?}"
    );
}

/// A list that its publisher can't renew stays usable only while nobody else has read a newer one. Otherwise a
/// publisher that alone is cut off from the platform would keep its old list current by itself.
#[rstest]
#[case::renewed(1_000, 1_500, (0, 3_001), 1_000)]
#[case::not_old_yet(1_000, 4_000, (0, 3_001), 1_000)]
#[case::old_for_both(1_000, 5_000, (0, 3_001), 5_000)]
#[case::another_read_beside_it(1_000, 5_000, (2_500, 3_001), 5_000)]
#[case::another_read_since(1_000, 5_000, (2_501, 3_001), 1_000)]
#[case::another_is_current(1_000, 5_000, (4_900, 0), 1_000)]
#[case::no_news_of_another(1_000, 5_000, (500, 100), 1_000)]
fn an_old_list_counts_only_during_an_outage(
    #[case] at: u64,
    #[case] received: u64,
    #[case] (other_at, other_age_ms): (u64, u64),
    #[case] listed_at: u64,
) {
    let mut store = ReportStore::default();
    let received_report = |zone, at: u64, age_ms, received: u64| ReceivedReport {
        report: ReplicaReport { age_ms, ..replica_report(zone, 1, vec![replica_row(0, 0)]) },
        fresh_at: Tick(at),
        received_at: Tick(received),
    };
    assert!(store.accept_received(received_report("n2", other_at, other_age_ms, other_at + other_age_ms)));
    assert!(store.accept_received(received_report("n1", at, received - at, received)));
    let view = store.build_view(&zones(), 3_000, LIST_MAX_AGE_MS);
    let of_zone = view
        .replicas_of(&"chat".into())
        .iter()
        .find(|replica| replica.zone == "n1".into())
        .expect("its replica");
    assert_eq!(of_zone.listed_at, Tick(listed_at));
}

/// Lending grants of a region add up over its zones, and are valid for as long as those of the oldest report.
#[test]
fn lending_grants_add_up_and_expire() {
    let mut store = ReportStore::default();
    for (zone, n, at) in [("n1", 3, 100), ("n2", 4, 50), ("s1", 7, 70), ("elsewhere", 9, 1)] {
        let mut report = replica_report(zone, 1, vec![]);
        report.lending_grants = [("chat".into(), n)].into();
        assert!(store.accept(report, Tick(at)));
    }
    let view = store.build_view(&zones(), 3_000, LIST_MAX_AGE_MS);
    let grant = |region: &str| view.lending_grants[&(Region::new(region), Service::new("chat"))];
    assert_eq!(grant("north"), (7, Tick(3_050)));
    assert_eq!(grant("south"), (7, Tick(3_070)));
    assert_eq!(view.lending_grants.len(), 2);
}

#[test]
fn region_loads_count_usable_replicas() {
    let mut store = ReportStore::default();
    let draining = data_plane::serving::replica_report::ReplicaRow { draining: true, ..replica_row(2, 5) };
    assert!(store.accept(replica_report("n1", 1, vec![replica_row(0, 3), draining]), Tick(0)));
    assert!(store.accept(replica_report("n2", 1, vec![replica_row(1, 4)]), Tick(0)));
    assert!(store.accept(replica_report("s1", 1, vec![replica_row(3, 19)]), Tick(0)));
    let view = store.build_view(&zones(), 1, LIST_MAX_AGE_MS);
    let candidates = view.replicas_of(&"chat".into());
    candidates
        .iter()
        .find(|replica| replica.id == "r0".into())
        .unwrap()
        .local
        .open
        .store(2, Ordering::Relaxed);
    let seen = view.region_loads(&"chat".into(), &|replica| !replica.draining);
    let want: BTreeMap<Region, RegionLoad> = [
        ("north".into(), RegionLoad { healthy: true, capacity: 40.0, consumption: 9.0 }),
        ("south".into(), RegionLoad { healthy: true, capacity: 20.0, consumption: 19.0 }),
    ]
    .into();
    assert_eq!(seen, want);
    assert!(view.region_loads(&"draw".into(), &|_| true).is_empty());
}

/// Open requests at a replica are remembered even if a report omits it; unused state is dropped with the replica.
#[test]
fn local_load_outlives_reports() {
    let mut store = ReportStore::default();
    let open = |store: &mut ReportStore, seq: u64, rows: Vec<_>| {
        assert!(store.accept(replica_report("n1", seq, rows), Tick(seq)));
        let view = store.build_view(&zones(), 1, LIST_MAX_AGE_MS);
        view.replicas_of(&"chat".into()).first().map(|replica| replica.local.clone())
    };
    open(&mut store, 1, vec![replica_row(0, 0)]).unwrap().open.store(1, Ordering::Relaxed);
    assert!(open(&mut store, 2, vec![]).is_none());
    let returned = open(&mut store, 3, vec![replica_row(0, 0)]).unwrap();
    assert_eq!(returned.open.load(Ordering::Relaxed), 1);
    returned.avoid(Tick(50));
    returned.open.store(0, Ordering::Relaxed);
    assert!(returned.is_avoided(Tick(49)) && !returned.is_avoided(Tick(50)));
    assert!(open(&mut store, 4, vec![]).is_none());
    assert!(!open(&mut store, 5, vec![replica_row(0, 0)]).unwrap().is_avoided(Tick(49)));
}
