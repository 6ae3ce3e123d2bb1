//! Tests of `data_plane::region_choice`.

use common::Region;
use configuration::Policy;
use data_plane::{
    load::RegionLoad,
    region_choice::{candidates, draw, draw_by_key, is_eligible, weight},
};
use rstest::rstest;
use std::collections::BTreeMap;

fn p(healthy: bool, capacity: f64, consumption: f64) -> RegionLoad {
    RegionLoad { healthy, capacity, consumption }
}

/// Conformance, design 5.1.
#[rstest]
#[case::idle(p(true, 100.0, 0.0), true)]
#[case::at_the_bound(p(true, 100.0, 95.0), true)]
#[case::above_it(p(true, 100.0, 95.1), false)]
#[case::unhealthy(p(false, 100.0, 0.0), false)]
#[case::no_capacity(p(true, 0.0, 0.0), false)]
fn reuse_tests(#[case] seen: RegionLoad, #[case] want: bool) {
    assert_eq!(is_eligible(Some(&seen), &Policy::standard("s")), want);
}

/// The source's own example: 2000 capacity, 1 and 2 consumed.
#[rstest]
#[case(1.0, 2100.0 / 101.0)]
#[case(2.0, 2100.0 / 102.0)]
fn weights(#[case] used: f64, #[case] want: f64) {
    assert!((weight(&p(true, 2000.0, used), 0.05) - want).abs() < 1e-9);
}

#[test]
fn homes_and_passes_bind_the_draw() {
    let seen =
        BTreeMap::from([("a", p(true, 10.0, 0.0)), ("b", p(true, 10.0, 0.0)), ("c", p(true, 10.0, 9.9))])
            .into_iter()
            .map(|(k, v)| (Region::new(k), v))
            .collect();
    let homes = ["b", "c"].map(Region::new).into_iter().collect();
    let pol = Policy::standard("s");
    let names = |open: &dyn Fn(&Region) -> bool| -> Vec<String> {
        candidates(&seen, &homes, &pol, open).into_iter().map(|c| c.0.to_string()).collect()
    };
    assert_eq!(names(&|_| true), ["b"]);
    assert!(names(&|r| r.as_str() != "b").is_empty());
}

#[test]
fn draws_follow_the_weights_and_agree_by_key() {
    let cands = [(Region::new("a"), 3.0), (Region::new("b"), 1.0)];
    let n = 20_000u64;
    let by_key = (0..n).filter(|k| draw_by_key(&cands, *k).unwrap().as_str() == "a").count();
    let by_unit = (0..n).filter(|k| draw(&cands, *k as f64 / n as f64).unwrap().as_str() == "a").count();
    assert!((14_600..15_400).contains(&by_key), "{by_key}");
    assert_eq!(by_unit, 15_000);
}
