//! Tests of `data_plane::placement_table`.

use common::{FencingToken, Region, Service, Tick};
use data_plane::placement_table::{PlacementOutcome, PlacementRow, PlacementTable, UserKey};

/// Region, version, and whether the proposed region was stored.
fn held(outcome: PlacementOutcome) -> (String, u64, bool) {
    match outcome {
        PlacementOutcome::Held { region, version, won } => (region.to_string(), version, won),
        PlacementOutcome::Empty => ("-".into(), 0, false),
    }
}

/// Concurrent requests for a user without a placement all get the first writer's region. A placement that became
/// ineligible is replaced once, by the first that names its version (design 5.3).
#[test]
fn first_writer_wins() {
    let (key, service) = (UserKey(7), Service::new("m"));
    let mut table = PlacementTable::default();
    let mut resolve = |stale, pick: &str, now| {
        held(table.resolve(
            key,
            &service,
            stale,
            (!pick.is_empty()).then(|| Region::new(pick)),
            1000,
            Tick(now),
        ))
    };
    assert_eq!(resolve(None, "", 0).0, "-");
    let (region, first, won) = resolve(None, "north", 1);
    assert!(won && region == "north");
    assert_eq!(resolve(None, "south", 2), ("north".into(), first, false));
    let (region, second, won) = resolve(Some(first), "south", 3);
    assert!(won && region == "south" && second != first);
    assert_eq!(resolve(Some(first), "east", 4), ("south".into(), second, false));
    // A valid use extends the time to live; an unused placement expires.
    assert_eq!(resolve(None, "", 1003).0, "south");
    assert_eq!(resolve(None, "", 2002).0, "south");
    assert_eq!(resolve(None, "", 3002).0, "-");
}

/// A row that an owner inherited outranks a late copy from the previous owner. In a simulation (seed 653 of the data
/// plane), such a copy arrived at a follower after the change of owner, and permanently outranked the new owner's row.
#[test]
fn inherited_row_outranks_late_copies() {
    let (key, service) = (UserKey(7), Service::new("m"));
    let row = |region: &str, version| PlacementRow {
        key,
        service: service.clone(),
        region: region.into(),
        version,
        ttl_ms: 900,
    };
    let (mut owner, mut follower) = (PlacementTable::default(), PlacementTable::default());
    owner.install_row(row("north", 24 << 32 | 28), Tick(0));
    follower.install_row(row("south", 24 << 32 | 29), Tick(0));
    owner.check_fencing_token(key.shard(&service), FencingToken(26)).unwrap();
    let (region, version, _) = held(owner.resolve(key, &service, None, None, 900, Tick(1)));
    follower.install_row(row(&region, version), Tick(1));
    assert_eq!(follower.row(key, &service, Tick(2)).unwrap().region, Region::new("north"));
}

/// A lower fencing token of a shard is rejected; other shards are unaffected.
#[test]
fn lower_fencing_token_is_rejected() {
    let mut table = PlacementTable::default();
    assert!(table.check_fencing_token(3, FencingToken(5)).is_ok());
    assert_eq!(table.check_fencing_token(3, FencingToken(4)), Err(FencingToken(5)));
    assert!(table.check_fencing_token(4, FencingToken(4)).is_ok());
}
