//! Tests of `data_plane::serving::workload_isolation`.

use crate::kit::route;
use common::Tick;
use configuration::{Route, RouteKind};
use data_plane::serving::workload_isolation::WorkloadIsolation;
use rstest::rstest;
use std::sync::Arc;

fn at(name: &str, homes: &[&str], service: &str) -> Arc<Route> {
    let r = Route {
        homes: homes.iter().map(|h| (*h).into()).collect(),
        shares: vec![(service.into(), 1), ("idle".into(), 0)],
        max_event_gap_ms: Some(200),
        ..route(name, RouteKind::Streaming)
    };
    Arc::new(r)
}

/// Long by an eighth of the pause that is in time, at 50 tokens a millisecond.
#[rstest]
#[case::by_pause(Some(200), 1_250, false)]
#[case::above_it(Some(200), 1_251, true)]
#[case::by_target(None, 6_250, false)]
#[case::above_that(None, 6_251, true)]
fn long_by_the_route(#[case] max_event_gap_ms: Option<u64>, #[case] tokens: u32, #[case] want: bool) {
    let r = Arc::new(Route { max_event_gap_ms, ..route("talk", RouteKind::Streaming) });
    assert_eq!(WorkloadIsolation::default().long(&r, tokens, Tick(0)), want);
}

/// One prompt out of the ordinary does not change its route's kind, and many do.
#[test]
fn kinds_follow_the_mean() {
    let (mut m, r) = (WorkloadIsolation::default(), at("talk", &[], "chat"));
    (0..10).for_each(|_| assert!(!m.long(&r, 100, Tick(0))));
    assert!(!m.long(&r, 20_000, Tick(0)));
    assert!((0..100).any(|_| m.long(&r, 20_000, Tick(0))));
    assert!(!m.long(&at("other", &[], "chat"), 100, Tick(0)));
}

/// A short route for all regions, and a long one.
#[rstest]
#[case::everywhere(&[], "chat", "south", 0, true)]
#[case::at_home(&["south"], "chat", "south", 0, true)]
#[case::elsewhere(&["north"], "chat", "south", 0, false)]
#[case::other_service(&[], "draw", "south", 0, false)]
#[case::lately(&[], "chat", "south", 9_999, true)]
#[case::long_ago(&[], "chat", "south", 10_000, false)]
fn kinds_meet_by_homes(
    #[case] homes: &[&str],
    #[case] service: &str,
    #[case] region: &str,
    #[case] later: u64,
    #[case] want: bool,
) {
    let mut m = WorkloadIsolation::default();
    m.long(&at("papers", homes, service), 20_000, Tick(50));
    m.long(&at("talk", &[], "chat"), 100, Tick(50 + later));
    assert_eq!(m.meet(&"chat".into(), &region.into(), Tick(50 + later)), want);
    assert!(!m.meet(&"idle".into(), &region.into(), Tick(50)), "a share of nothing");
}
