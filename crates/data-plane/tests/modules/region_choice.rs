//! Tests of `data_plane::region_choice`.

use common::Region;
use configuration::Policy;
use data_plane::{
    load::RegionLoad,
    region_choice::{candidates, draw, draw_by_key, is_eligible, weight},
};
use rstest::rstest;
use std::collections::BTreeMap;

fn load(healthy: bool, capacity: f64, consumption: f64) -> RegionLoad {
    RegionLoad { healthy, capacity, consumption }
}

/// A user may stay in a region that is healthy and not overloaded (design 5.1).
#[rstest]
#[case::idle(load(true, 100.0, 0.0), true)]
#[case::at_the_limit(load(true, 100.0, 95.0), true)]
#[case::above_the_limit(load(true, 100.0, 95.1), false)]
#[case::unhealthy(load(false, 100.0, 0.0), false)]
#[case::no_capacity(load(true, 0.0, 0.0), false)]
fn eligible_regions(#[case] region: RegionLoad, #[case] expected: bool) {
    assert_eq!(is_eligible(Some(&region), &Policy::standard("s")), expected);
}

/// Weights at a capacity of 2000, of which 1 or 2 are in use.
#[rstest]
#[case(1.0, 2100.0 / 101.0)]
#[case(2.0, 2100.0 / 102.0)]
fn weights(#[case] used: f64, #[case] expected: f64) {
    assert!((weight(&load(true, 2000.0, used), 0.05) - expected).abs() < 1e-9);
}

/// Only eligible homes that are open to the router are candidates.
#[test]
fn homes_and_grants_limit_the_candidates() {
    let loads = BTreeMap::from([
        ("a", load(true, 10.0, 0.0)),
        ("b", load(true, 10.0, 0.0)),
        ("c", load(true, 10.0, 9.9)),
    ])
    .into_iter()
    .map(|(k, v)| (Region::new(k), v))
    .collect();
    let homes = ["b", "c"].map(Region::new).into_iter().collect();
    let policy = Policy::standard("s");
    let names = |open_to: &dyn Fn(&Region) -> bool| -> Vec<String> {
        candidates(&loads, &homes, &policy, open_to).into_iter().map(|c| c.0.to_string()).collect()
    };
    assert_eq!(names(&|_| true), ["b"]);
    assert!(names(&|r| r.as_str() != "b").is_empty());
}

/// Both draws choose each region by its share of the weights.
#[test]
fn draws_follow_the_weights() {
    let candidates = [(Region::new("a"), 3.0), (Region::new("b"), 1.0)];
    let n = 20_000u64;
    let by_key = (0..n).filter(|k| draw_by_key(&candidates, *k).unwrap().as_str() == "a").count();
    let by_unit = (0..n).filter(|k| draw(&candidates, *k as f64 / n as f64).unwrap().as_str() == "a").count();
    assert!((14_600..15_400).contains(&by_key), "{by_key}");
    assert_eq!(by_unit, 15_000);
}
