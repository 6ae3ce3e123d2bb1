//! Tests of `data_plane::capacity_grant`.

use common::{FencingToken, Region, Service, Tick};
use data_plane::capacity_grant::{CapacityGrant, GrantIssuer, GrantUse};

fn use_of(grant: &CapacityGrant, node: &str) -> GrantUse {
    GrantUse {
        region: grant.region.clone(),
        service: grant.service.clone(),
        fencing_token: grant.fencing_token,
        serial: grant.serial,
        node: node.into(),
    }
}

/// Grants never exceed the free capacity in total. A use beyond the count, after the expiry, or under an old fencing
/// token is rejected with its reason. A region that was unhealthy grants nothing until it was healthy for long enough
/// (design 5.5).
#[test]
fn grants_are_bounded_and_rejected_by_reason() {
    let (region, service) = (Region::new("r"), Service::new("s"));
    let mut issuer = GrantIssuer::default();
    issuer.set_fencing_token(FencingToken(4));
    issuer.observe(true, Tick(0));
    assert!(!issuer.is_healthy(Tick(2999), 3000) && issuer.is_healthy(Tick(3000), 3000));
    issuer.observe(false, Tick(3001));
    issuer.observe(true, Tick(3002));
    assert!(!issuer.is_healthy(Tick(6000), 3000));
    let a = issuer.grant(&region, &service, &"a".into(), 5.0, 2, 1000, Tick(0)).unwrap();
    let b = issuer.grant(&region, &service, &"b".into(), 5.0, 2, 1000, Tick(0)).unwrap();
    assert_eq!((a.count, b.count), (3, 2));
    assert_eq!(issuer.grant(&region, &service, &"c".into(), 5.0, 2, 1000, Tick(0)), None);
    assert_eq!(issuer.redeem(&use_of(&b, "b"), Tick(1)), Ok(()));
    assert_eq!(issuer.redeem(&use_of(&b, "b"), Tick(1)), Ok(()));
    assert_eq!(issuer.redeem(&use_of(&b, "b"), Tick(1)), Err("pass used up"));
    assert_eq!(issuer.redeem(&use_of(&a, "a"), Tick(1000)), Err("pass expired"));
    let mut old = use_of(&a, "a");
    old.fencing_token = FencingToken(3);
    assert_eq!(issuer.redeem(&old, Tick(1)), Err("stale fence"));
    issuer.set_fencing_token(FencingToken(5));
    assert_eq!(issuer.redeem(&use_of(&a, "a"), Tick(1)), Err("stale fence"));
}
