//! Tests of `data_plane::serving::plan`, and of the time after which a refused client should come back.

use crate::test_data::{header_names, prompt, route};
use common::Tick;
use configuration::{Route, RouteKind};
use data_plane::serving::{
    dispatch::retry_after_ms,
    plan::{deadline, user_key},
};
use hyper::{HeaderMap, header::HeaderValue};
use rstest::rstest;

/// The route's `hold_ms` is 10 s.
#[rstest]
#[case::not_announced(None, 10_000)]
#[case::less("250", 250)]
#[case::spaces(" 250 ", 250)]
#[case::more("60000", 10_000)]
#[case::nothing_left("0", 0)]
#[case::no_number("soon", 10_000)]
#[case::negative("-5", 10_000)]
#[case::far_too_large("99999999999999999999999", 10_000)]
fn the_announced_time_limits_the_deadline(
    #[case] announced: impl Into<Option<&'static str>>,
    #[case] want: u64,
) {
    let name = header_names().time_left;
    let headers: HeaderMap =
        announced.into().map(|v| (name, HeaderValue::from_static(v))).into_iter().collect();
    let got = deadline(&header_names(), &headers, &route("talk", RouteKind::ReadOnly), Tick(7_000));
    assert_eq!(got, Tick(7_000 + want));
}

type Parts = &'static [(u64, u32)];

/// Compared with the key of a prompt with the shared parts 1 and 2, for `chat`, in the north.
#[rstest]
#[case::same(&[(1, 10), (2, 20), (3, 30)], "chat", "north", true)]
#[case::own_last_part(&[(1, 10), (2, 20), (4, 99)], "chat", "north", true)]
#[case::other_part(&[(1, 10), (5, 20), (3, 30)], "chat", "north", false)]
#[case::other_order(&[(2, 20), (1, 10), (3, 30)], "chat", "north", false)]
#[case::one_more(&[(1, 10), (2, 20), (3, 30), (4, 1)], "chat", "north", false)]
#[case::one_less(&[(1, 10), (2, 20)], "chat", "north", false)]
#[case::other_region(&[(1, 10), (2, 20), (3, 30)], "chat", "south", false)]
#[case::other_service(&[(1, 10), (2, 20), (3, 30)], "draw", "north", false)]
fn the_key_depends_on_shared_parts_service_and_region(
    #[case] parts: Parts,
    #[case] service: &str,
    #[case] region: &str,
    #[case] same: bool,
) {
    let route = Route { affinity: true, ..route("talk", RouteKind::ReadOnly) };
    let key = |p: &[(u64, u32)], s: &str, at: &str| user_key(&route, &s.into(), &prompt(p, 60), &at.into());
    let base = key(&[(1, 10), (2, 20), (3, 30)], "chat", "north");
    assert!(base.is_some());
    assert_eq!(key(parts, service, region) == base, same);
}

#[rstest]
#[case::no_parts(true, &[])]
#[case::only_an_own_part(true, &[(1, 10)])]
#[case::no_affinity(false, &[(1, 10), (2, 20)])]
fn no_key_without_shared_parts_or_affinity(#[case] affinity: bool, #[case] parts: Parts) {
    let route = Route { affinity, ..route("talk", RouteKind::ReadOnly) };
    assert_eq!(user_key(&route, &"chat".into(), &prompt(parts, 30), &"north".into()), None);
}

#[rstest]
#[case(0, 100)]
#[case(320, 100)]
#[case(1_600, 500)]
#[case(4_800, 1_500)]
#[case(60_000, 1_500)]
fn refused_clients_come_back_within_a_third(#[case] left: u64, #[case] want: u64) {
    assert_eq!(retry_after_ms(left), want);
    assert!(left < 300 || want * 3 <= left, "{want} of {left}");
}
