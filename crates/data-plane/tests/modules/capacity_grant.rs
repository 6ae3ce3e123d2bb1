//! Tests of `data_plane::capacity_grant`.

use common::{FencingToken, Region, Service, Tick};
use data_plane::capacity_grant::{CapacityGrant, GrantIssuer, GrantUse};

fn spent(p: &CapacityGrant, node: &str) -> GrantUse {
    GrantUse {
        region: p.region.clone(),
        service: p.service.clone(),
        fencing_token: p.fencing_token,
        serial: p.serial,
        node: node.into(),
    }
}

/// Design 5.5: never more than the room in total; used, expired, replaced and old grants
/// reject by name; a region that was unwell lends nothing until a full set of checks.
#[test]
fn passes_from_grant_to_bounce() {
    let (r, s) = (Region::new("r"), Service::new("s"));
    let mut l = GrantIssuer::default();
    l.set_fencing_token(FencingToken(4));
    l.observe(true, Tick(0));
    assert!(!l.is_healthy(Tick(2999), 3000) && l.is_healthy(Tick(3000), 3000));
    l.observe(false, Tick(3001));
    l.observe(true, Tick(3002));
    assert!(!l.is_healthy(Tick(6000), 3000));
    let a = l.grant(&r, &s, &"a".into(), 5.0, 2, 1000, Tick(0)).unwrap();
    let b = l.grant(&r, &s, &"b".into(), 5.0, 2, 1000, Tick(0)).unwrap();
    assert_eq!((a.count, b.count), (3, 2));
    assert_eq!(l.grant(&r, &s, &"c".into(), 5.0, 2, 1000, Tick(0)), None);
    assert_eq!(l.redeem(&spent(&b, "b"), Tick(1)), Ok(()));
    assert_eq!(l.redeem(&spent(&b, "b"), Tick(1)), Ok(()));
    assert_eq!(l.redeem(&spent(&b, "b"), Tick(1)), Err("pass used up"));
    assert_eq!(l.redeem(&spent(&a, "a"), Tick(1000)), Err("pass expired"));
    let mut old = spent(&a, "a");
    old.fencing_token = FencingToken(3);
    assert_eq!(l.redeem(&old, Tick(1)), Err("stale fence"));
    l.set_fencing_token(FencingToken(5));
    assert_eq!(l.redeem(&spent(&a, "a"), Tick(1)), Err("stale fence"));
}
