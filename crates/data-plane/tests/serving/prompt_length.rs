//! Tests of `data_plane::serving::prompt_length`.

use crate::test_data::route;
use common::Tick;
use configuration::{Route, RouteKind};
use data_plane::serving::prompt_length::PromptLengths;
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
    assert_eq!(PromptLengths::default().note(&r, tokens, Tick(0)), want);
}

/// One prompt out of the ordinary does not change its route's kind, and many do.
#[test]
fn kinds_follow_the_mean() {
    let (mut m, r) = (PromptLengths::default(), at("talk", &[], "chat"));
    (0..10).for_each(|_| assert!(!m.note(&r, 100, Tick(0))));
    assert!(!m.note(&r, 20_000, Tick(0)));
    assert!((0..100).any(|_| m.note(&r, 20_000, Tick(0))));
    assert!(!m.note(&at("other", &[], "chat"), 100, Tick(0)));
}

/// A route that sent nothing for long is learned anew.
#[rstest]
#[case::lately(599_999, true)]
#[case::long_ago(600_000, false)]
fn idle_routes_are_forgotten(#[case] later: u64, #[case] want: bool) {
    let (mut m, r) = (PromptLengths::default(), at("papers", &[], "chat"));
    assert!(m.note(&r, 20_000, Tick(50)));
    assert!(!m.note(&at("talk", &[], "chat"), 100, Tick(50 + later)));
    assert_eq!(m.note(&r, 100, Tick(51 + later)), want);
}
