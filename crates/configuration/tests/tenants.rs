//! The tenant of an API key, and the home regions of a tenant's request on a route.

use common::Region;
use configuration::{ApiKey, DuplicateKey, Route, RouteKind, TenantPolicy, Tenants, home_regions};
use rstest::rstest;
use std::collections::BTreeSet;

fn regions(names: &[&str]) -> BTreeSet<Region> {
    names.iter().map(|name| Region::new(*name)).collect()
}

fn tenant(name: &str, homes: &[&str]) -> TenantPolicy {
    TenantPolicy { name: name.into(), urgency: None, homes: regions(homes) }
}

fn route(homes: &[&str]) -> Route {
    Route {
        name: "talk".into(),
        host: "example.org".into(),
        prefix: "/talk/".into(),
        kind: RouteKind::ReadOnly,
        request_timeout_ms: 1_000,
        latency_target_ms: 1_000,
        urgency: 3,
        service_weights: vec![("chat".into(), 1)],
        max_attempts: 1,
        affinity: false,
        resumable: false,
        max_event_gap_ms: None,
        homes: regions(homes),
        public: false,
    }
}

fn keys<'a>(keys: &'a [&str]) -> impl Iterator<Item = ApiKey> + 'a {
    keys.iter().map(ApiKey::new)
}

#[test]
fn a_key_belongs_to_one_tenant() {
    let mut tenants = Tenants::default();
    assert_eq!(tenants.add(tenant("a", &[]), keys(&["k1", "k2", "k1"])), Ok(()));
    assert_eq!(tenants.add(tenant("b", &[]), keys(&["k3"])), Ok(()));
    assert_eq!(tenants.add(tenant("c", &[]), keys(&["k2"])), Err(DuplicateKey { holder: "a".into() }));
    let holder = |key| tenants.holder(key).map(|tenant| tenant.name.as_str());
    assert_eq!([holder("k1"), holder("k2"), holder("k3")], [Some("a"), Some("a"), Some("b")]);
    assert_eq!([holder("k"), holder("")], [None, None]);
}

#[test]
fn debug_output_does_not_contain_keys() {
    let mut tenants = Tenants::default();
    tenants.add(tenant("a", &[]), keys(&["secret"])).unwrap();
    assert!(!format!("{tenants:?}").contains("secret"));
}

#[rstest]
#[case::neither(&[], &[], None)]
#[case::only_the_route(&["n"], &[], Some(&["n"][..]))]
#[case::only_the_tenant(&[], &["s"], Some(&["s"][..]))]
#[case::both(&["n", "s"], &["s", "w"], Some(&["s"][..]))]
#[case::nothing_in_common(&["n"], &["s"], Some(&[][..]))]
fn homes_are_the_intersection_of_route_and_tenant(
    #[case] route_homes: &[&str],
    #[case] tenant_homes: &[&str],
    #[case] expected: Option<&[&str]>,
) {
    let homes = home_regions(&route(route_homes), Some(&tenant("a", tenant_homes)));
    assert_eq!(homes, expected.map(regions));
    assert_eq!(
        home_regions(&route(route_homes), None),
        (!route_homes.is_empty()).then(|| regions(route_homes))
    );
}
