//! Tests of `data_plane::serving::plan` and of when a refused client should come back.

use crate::test_data::{header_names, prompt, route};
use common::Tick;
use configuration::{Route, RouteKind};
use data_plane::serving::{
    dispatch::retry_after_ms,
    plan::{deadline, user_key},
};
use hyper::{HeaderMap, header::HeaderValue};
use rstest::rstest;

/// The route holds for 10 s.
#[rstest]
#[case::nothing_said(None, 10_000)]
#[case::less("250", 250)]
#[case::spaces(" 250 ", 250)]
#[case::more("60000", 10_000)]
#[case::nothing_left("0", 0)]
#[case::no_number("soon", 10_000)]
#[case::negative("-5", 10_000)]
#[case::far_too_large("99999999999999999999999", 10_000)]
fn the_caller_waits_as_it_says(#[case] said: impl Into<Option<&'static str>>, #[case] want: u64) {
    let name = header_names().time_left;
    let h: HeaderMap = said.into().map(|v| (name, HeaderValue::from_static(v))).into_iter().collect();
    let got = deadline(&header_names(), &h, &route("talk", RouteKind::ReadOnly), Tick(7_000));
    assert_eq!(got, Tick(7_000 + want));
}

type Parts = &'static [(u64, u32)];

/// Against the shared parts 1 and 2, for `chat`, in the north.
#[rstest]
#[case::same(&[(1, 10), (2, 20), (3, 30)], "chat", "north", true)]
#[case::own_last_part(&[(1, 10), (2, 20), (4, 99)], "chat", "north", true)]
#[case::other_part(&[(1, 10), (5, 20), (3, 30)], "chat", "north", false)]
#[case::other_order(&[(2, 20), (1, 10), (3, 30)], "chat", "north", false)]
#[case::one_more(&[(1, 10), (2, 20), (3, 30), (4, 1)], "chat", "north", false)]
#[case::one_less(&[(1, 10), (2, 20)], "chat", "north", false)]
#[case::other_region(&[(1, 10), (2, 20), (3, 30)], "chat", "south", false)]
#[case::other_service(&[(1, 10), (2, 20), (3, 30)], "draw", "north", false)]
fn keys_by_shared_parts(
    #[case] parts: Parts,
    #[case] service: &str,
    #[case] region: &str,
    #[case] same: bool,
) {
    let r = Route { affinity: true, ..route("talk", RouteKind::ReadOnly) };
    let key = |p: &[(u64, u32)], s: &str, at: &str| user_key(&r, &s.into(), &prompt(p, 60), &at.into());
    let base = key(&[(1, 10), (2, 20), (3, 30)], "chat", "north");
    assert!(base.is_some());
    assert_eq!(key(parts, service, region) == base, same);
}

#[rstest]
#[case::no_parts(true, &[])]
#[case::only_its_own(true, &[(1, 10)])]
#[case::not_sticky(false, &[(1, 10), (2, 20)])]
fn no_key_where_nothing_is_shared(#[case] affinity: bool, #[case] parts: Parts) {
    let r = Route { affinity, ..route("talk", RouteKind::ReadOnly) };
    assert_eq!(user_key(&r, &"chat".into(), &prompt(parts, 30), &"north".into()), None);
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
