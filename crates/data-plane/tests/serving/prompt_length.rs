//! Tests of `data_plane::serving::prompt_length`.

use crate::test_data::route;
use common::Tick;
use configuration::{Route, RouteKind};
use data_plane::serving::prompt_length::PromptLengths;
use rstest::rstest;
use std::sync::Arc;

/// A streaming route with a longest pause of 200 ms.
fn streaming_route(name: &str, homes: &[&str], service: &str) -> Arc<Route> {
    let route = Route {
        homes: homes.iter().map(|h| (*h).into()).collect(),
        service_weights: vec![(service.into(), 1), ("idle".into(), 0)],
        max_event_gap_ms: Some(200),
        ..route(name, RouteKind::Streaming)
    };
    Arc::new(route)
}

/// A prompt is long if processing it, at 50 tokens per millisecond, takes more than an eighth of the longest allowed
/// pause.
#[rstest]
#[case::by_event_gap(Some(200), 1_250, false)]
#[case::above_event_gap(Some(200), 1_251, true)]
#[case::by_latency_target(None, 6_250, false)]
#[case::above_latency_target(None, 6_251, true)]
fn long_prompts_by_route(#[case] max_event_gap_ms: Option<u64>, #[case] tokens: u32, #[case] want: bool) {
    let route = Arc::new(Route { max_event_gap_ms, ..route("talk", RouteKind::Streaming) });
    assert_eq!(PromptLengths::default().note(&route, tokens, Tick(0)), want);
}

/// A single long prompt does not make its route one with long prompts, but many do.
#[test]
fn routes_are_classified_by_the_mean() {
    let (mut lengths, route) = (PromptLengths::default(), streaming_route("talk", &[], "chat"));
    (0..10).for_each(|_| assert!(!lengths.note(&route, 100, Tick(0))));
    assert!(!lengths.note(&route, 20_000, Tick(0)));
    assert!((0..100).any(|_| lengths.note(&route, 20_000, Tick(0))));
    assert!(!lengths.note(&streaming_route("other", &[], "chat"), 100, Tick(0)));
}

/// A route without requests for a long time is forgotten.
#[rstest]
#[case::lately(599_999, true)]
#[case::long_ago(600_000, false)]
fn idle_routes_are_forgotten(#[case] later_ms: u64, #[case] want: bool) {
    let (mut lengths, route) = (PromptLengths::default(), streaming_route("papers", &[], "chat"));
    assert!(lengths.note(&route, 20_000, Tick(50)));
    assert!(!lengths.note(&streaming_route("talk", &[], "chat"), 100, Tick(50 + later_ms)));
    assert_eq!(lengths.note(&route, 100, Tick(51 + later_ms)), want);
}
