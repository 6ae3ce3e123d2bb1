//! Tests of `data_plane::placement_table`.

use common::{FencingToken, Region, Service, Tick};
use data_plane::placement_table::{PlacementOutcome, PlacementRow, PlacementTable, UserKey};

fn held(s: PlacementOutcome) -> (String, u64, bool) {
    match s {
        PlacementOutcome::Held { region, version, won } => (region.to_string(), version, won),
        PlacementOutcome::Empty => ("-".into(), 0, false),
    }
}

/// Design 5.3: racers on one miss all get the first writer's region; a failed placement is
/// replaced once, by whoever names the version that failed.
#[test]
fn racers_agree() {
    let (k, svc) = (UserKey(7), Service::new("m"));
    let mut t = PlacementTable::default();
    let mut ask = |stale, pick: &str, now| {
        held(t.resolve(k, &svc, stale, (!pick.is_empty()).then(|| Region::new(pick)), 1000, Tick(now)))
    };
    assert_eq!(ask(None, "", 0).0, "-");
    let (r, v1, won) = ask(None, "north", 1);
    assert!(won && r == "north");
    assert_eq!(ask(None, "south", 2), ("north".into(), v1, false));
    let (r, v2, won) = ask(Some(v1), "south", 3);
    assert!(won && r == "south" && v2 != v1);
    assert_eq!(ask(Some(v1), "east", 4), ("south".into(), v2, false));
    // Valid uses refresh; an entry that nobody uses is gone after its time.
    assert_eq!(ask(None, "", 1003).0, "south");
    assert_eq!(ask(None, "", 2002).0, "south");
    assert_eq!(ask(None, "", 3002).0, "-");
}

/// Found by the simulator (seed 653 of the data plane): a copy from the owner before arrived
/// late and stood above the new owner's row at a follower for good.
#[test]
fn an_inherited_row_outranks_late_copies() {
    let (k, svc) = (UserKey(7), Service::new("m"));
    let row = |region: &str, version| PlacementRow {
        key: k,
        service: svc.clone(),
        region: region.into(),
        version,
        ttl_ms: 900,
    };
    let (mut owner, mut follower) = (PlacementTable::default(), PlacementTable::default());
    owner.install_row(row("north", 24 << 32 | 28), Tick(0));
    follower.install_row(row("south", 24 << 32 | 29), Tick(0));
    owner.check_fencing_token(k.shard(&svc), FencingToken(26)).unwrap();
    let (region, version, _) = held(owner.resolve(k, &svc, None, None, 900, Tick(1)));
    follower.install_row(row(&region, version), Tick(1));
    assert_eq!(follower.row(k, &svc, Tick(2)).unwrap().region, Region::new("north"));
}

#[test]
fn lower_fences_bounce() {
    let mut t = PlacementTable::default();
    assert!(t.check_fencing_token(3, FencingToken(5)).is_ok());
    assert_eq!(t.check_fencing_token(3, FencingToken(4)), Err(FencingToken(5)));
    assert!(t.check_fencing_token(4, FencingToken(4)).is_ok());
}
