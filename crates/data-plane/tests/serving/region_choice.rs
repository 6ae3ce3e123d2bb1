//! Tests of `data_plane::serving::region_choice` and `data_plane::serving::directory`.

use common::Region;
use data_plane::load::RegionLoad;
use data_plane::serving::{
    directory::{RouterAddr, nearest},
    region_choice::candidates,
};
use rstest::rstest;
use std::collections::BTreeMap;

/// Regions that are open to this router, healthy and not overloaded, with the weight
/// 1.05 x capacity / (consumption + 0.05 x capacity).
#[rstest]
#[case::idle(100.0, 0.0, true, Some(21.0))]
#[case::half(100.0, 50.0, true, Some(105.0 / 55.0))]
#[case::at_the_limit(100.0, 95.0, true, Some(1.05))]
#[case::overloaded(100.0, 95.1, true, None)]
#[case::no_capacity(0.0, 0.0, true, None)]
#[case::not_open(100.0, 0.0, false, None)]
fn candidate_regions(
    #[case] capacity: f64,
    #[case] consumption: f64,
    #[case] open: bool,
    #[case] want: Option<f64>,
) {
    let seen: BTreeMap<Region, RegionLoad> = [
        ("a".into(), RegionLoad { healthy: true, capacity, consumption }),
        ("b".into(), RegionLoad { healthy: true, capacity: 10.0, consumption: 0.0 }),
    ]
    .into();
    let got = candidates(&seen, &|r| open || r.as_str() == "b");
    assert_eq!(got.len(), 1 + usize::from(want.is_some()));
    let weight = got.iter().find(|c| c.0.as_str() == "a").map(|c| c.1);
    assert_eq!(weight.is_some(), want.is_some());
    assert!((weight.unwrap_or(0.0) - want.unwrap_or(0.0)).abs() < 1e-9, "{weight:?}");
}

/// Routers as `zone/region`, by their index. A zone's clients get the routers of their zone if there are two or more.
#[rstest]
#[case::zone(&["n1/north", "n1/north", "n2/north", "s1/south"], "n1", "north", &[0, 1])]
#[case::region(&["n1/north", "n2/north", "s1/south"], "n1", "north", &[0, 1])]
#[case::all(&["n1/north", "s1/south", "s2/south"], "n1", "north", &[0, 1, 2])]
#[case::only_one(&["s1/south"], "n1", "north", &[0])]
#[case::unknown_client(&["n1/north", "n2/north"], "x", "y", &[0, 1])]
#[case::only_zone_given(&["n1/north", "n1/north", "s1/south"], "n1", "", &[0, 1])]
#[case::zone_without_region(&["n1/", "n2/", "s1/south"], "n1", "", &[0, 1, 2])]
#[case::no_routers(&[], "n1", "north", &[])]
fn nearest_large_enough_group(
    #[case] all: &[&str],
    #[case] zone: &str,
    #[case] region: &str,
    #[case] want: &[u16],
) {
    let router = |(n, at): (usize, &&str)| {
        let (zone, region) = at.split_once('/').expect("zone/region");
        let region = (!region.is_empty()).then(|| region.into());
        RouterAddr { addr: ([10, 0, 0, 1], n as u16).into(), zone: zone.into(), region }
    };
    let all: Vec<RouterAddr> = all.iter().enumerate().map(router).collect();
    let got: Vec<u16> = nearest(&all, zone, region).iter().map(|a| a.port()).collect();
    assert_eq!(got, want);
}

#[test]
fn an_answer_lists_at_most_64_routers() {
    let router = |n: u16| RouterAddr { addr: ([10, 0, 0, 1], n).into(), zone: "n1".into(), region: None };
    assert_eq!(nearest(&(0..200).map(router).collect::<Vec<_>>(), "n1", "north").len(), 64);
}
