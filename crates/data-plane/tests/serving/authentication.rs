//! Tests of `data_plane::serving::authentication`: the tenant of a request by its credentials.

use crate::test_data::{header_names, route};
use configuration::{ApiKey, RequestLimits, Route, RouteKind, RouteMap, TenantPolicy, Tenants};
use data_plane::serving::authentication::{Unauthenticated, tenant};
use hyper::{HeaderMap, header::AUTHORIZATION};
use rstest::rstest;

/// A configuration with the tenants `a` (key `k1`) and `b` (key `k2`), or without tenants.
fn route_map(with_tenants: bool) -> RouteMap {
    let mut tenants = Tenants::default();
    let policy = |name: &str| TenantPolicy { name: name.into(), urgency: None, homes: Default::default() };
    tenants.add(policy("a"), [ApiKey::new("k1")]).unwrap();
    tenants.add(policy("b"), [ApiKey::new("k2")]).unwrap();
    RouteMap::new(1, vec![], vec![], RequestLimits::default()).with_tenants(with_tenants.then_some(tenants))
}

fn head(credentials: &[&str]) -> HeaderMap {
    let mut head = HeaderMap::new();
    for credential in credentials {
        head.append(AUTHORIZATION, credential.parse().unwrap());
    }
    head
}

#[rstest]
#[case::known(&["Token k2"], false, Ok(Some("b")))]
#[case::scheme_in_any_case(&["token  k1 "], false, Ok(Some("a")))]
#[case::unknown(&["Token k3"], false, Err(Unauthenticated))]
#[case::missing(&[], false, Err(Unauthenticated))]
#[case::empty(&["Token "], false, Err(Unauthenticated))]
#[case::no_scheme(&["k1"], false, Err(Unauthenticated))]
#[case::other_scheme(&["Basic k1"], false, Err(Unauthenticated))]
#[case::two_credentials(&["Token k1", "Token k2"], false, Err(Unauthenticated))]
#[case::public_and_known(&["Token k2"], true, Ok(Some("b")))]
#[case::public_and_unknown(&["Token k3"], true, Err(Unauthenticated))]
#[case::public_and_missing(&[], true, Ok(None))]
fn a_key_names_its_tenant(
    #[case] credentials: &[&str],
    #[case] public: bool,
    #[case] expected: Result<Option<&str>, Unauthenticated>,
) {
    let route = Route { public, ..route("talk", RouteKind::ReadOnly) };
    let found = tenant(&header_names(), &route_map(true), &route, &head(credentials));
    let found = found.map(|tenant| tenant.map(|tenant| tenant.name.to_string()));
    assert_eq!(found, expected.map(|name| name.map(str::to_string)));
}

#[test]
fn without_tenants_no_key_is_needed() {
    let route = route("talk", RouteKind::ReadOnly);
    for credentials in [&[][..], &["Token k3"][..]] {
        assert_eq!(tenant(&header_names(), &route_map(false), &route, &head(credentials)), Ok(None));
    }
}
