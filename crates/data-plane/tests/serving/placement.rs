//! Placement of users in regions by several routers, which agree through the owners of the placement table's shards
//! (design 5.1, 5.3, 9.4).

use crate::{
    fleet::{Fleet, REPORTED, SUBSCRIBED, ip},
    test_data::{LIST_MAX_AGE_MS, prompt, replica_report, replica_row, route},
};
use common::{Region, Tick, Zone, runtime::Simulation};
use configuration::{Backend, Route, RouteKind, home_regions};
use data_plane::{
    placement_table::UserKey,
    router::{CachedPlacement, lock},
    serving::{Serving, plan::Plan, region_choice::PLACEMENT_TTL_MS, replica_view::ReportStore},
};
use hyper::{HeaderMap, Method, Uri};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::sleep;

/// Users by their key.
const USERS: std::ops::Range<u64> = 0..64;
/// Long enough for a call to the owner of a shard.
const SETTLE_MS: u64 = 2_000;
/// Two routers in the south that receive the same users' requests at the same time.
const RACERS: [usize; 2] = [REPORTED, REPORTED + 1];

fn regions_of_zones() -> BTreeMap<Zone, Region> {
    [("n1", "north"), ("w1", "west"), ("s1", "south")]
        .map(|(zone, region)| (zone.into(), region.into()))
        .into()
}

/// A user's request that arrives in the south, on a route with these home regions.
fn plan(user: u64, homes: &[&str]) -> Plan {
    let homes = homes.iter().map(|home| Region::new(*home)).collect();
    let route = Route { affinity: true, homes, ..route("talk", RouteKind::ReadOnly) };
    Plan {
        home_regions: home_regions(&route, None),
        tenant: None,
        route: Arc::new(route),
        service: "chat".into(),
        backend: Arc::new(Backend {
            name: "chat".into(),
            health_path: "/health".into(),
            max_connections: 100,
            slow_start_ms: 0,
            slow_start_per_s: 0.0,
            engine: None,
        }),
        prompt: prompt(&[(user, 100), (user + 1_000, 10)], 110),
        long_prompt: false,
        prefixes: Vec::new(),
        user_key: Some(UserKey(user)),
        received_at: Tick(0),
        deadline: Tick(u64::MAX),
        method: Method::GET,
        uri: Uri::from_static("/talk/1"),
        headers: HeaderMap::new(),
        body: bytes::Bytes::new(),
        request_id: None,
    }
}

/// Gives a router reports on how many requests run at the only replica, of 20 slots, of the north and of the west.
fn report_load(serving: &Serving, north: u32, west: u32) {
    let mut store = ReportStore::default();
    let now = serving.now();
    assert!(store.accept(replica_report("n1", 1, vec![replica_row(1, north)]), now));
    assert!(store.accept(replica_report("w1", 1, vec![replica_row(2, west)]), now));
    serving.replica_view.store(Arc::new(store.build_view(&regions_of_zones(), 3_000, LIST_MAX_AGE_MS)));
}

/// The region that one router would try first for each user.
async fn first_regions(fleet: &Fleet, n: usize) -> Vec<Region> {
    let choose = |serving: &Arc<Serving>| {
        let first = |user| {
            let regions = serving.ranked_regions(&plan(user, &["north", "west"]), &|_| true);
            regions.first().cloned().expect("two regions are home")
        };
        USERS.map(first).collect()
    };
    fleet.run_on(n, choose).await
}

/// The first regions at both routers.
async fn race(fleet: &Fleet) -> [Vec<Region>; 2] {
    let [a, b] = RACERS;
    [first_regions(fleet, a).await, first_regions(fleet, b).await]
}

/// Two routers with different load reports draw different first regions for some users, at the same time and without
/// waiting. The owner of each shard decides, and from then on both use its decision.
#[test]
fn racing_routers_agree_on_a_first_region() {
    Simulation::run(21, None, |world| async move {
        let fleet = Fleet::start_without_reports(world).await;
        let [a, b] = RACERS;
        report_load(&fleet.routers[a], 2, 18);
        report_load(&fleet.routers[b], 18, 2);
        let drawn = race(&fleet).await;
        assert_ne!(drawn[0], drawn[1], "the reports lead to the same draws: there is no race");
        sleep(Duration::from_millis(SETTLE_MS)).await;
        let settled = race(&fleet).await;
        assert_eq!(settled[0], settled[1]);
        let either = |user: usize| [&drawn[0][user], &drawn[1][user]].contains(&&settled[0][user]);
        assert!((0..settled[0].len()).all(either), "a region that neither router drew");
        // Opposite load reports move no user as long as both regions are healthy and not overloaded.
        report_load(&fleet.routers[a], 18, 2);
        assert_eq!(first_regions(&fleet, a).await, settled[0]);
    });
}

/// The owners are unreachable: each router uses its own draw, which is the same for the same load reports, does not
/// wait, and does not change from one request to the next. Once the owners are back, all routers agree.
#[test]
fn without_the_table_routers_agree_by_key() {
    Simulation::run(22, None, |world| async move {
        let fleet = Fleet::start_without_reports(world).await;
        let [a, b] = RACERS;
        let others = || (0..REPORTED + SUBSCRIBED).filter(|n| !RACERS.contains(n));
        let links: std::collections::BTreeSet<_> = others()
            .flat_map(|other| RACERS.map(|racer| (ip(racer), ip(other))))
            .chain([(ip(a), ip(b)), (ip(b), ip(a))])
            .collect();
        fleet.world.partition(links.iter().copied());
        for racer in RACERS {
            report_load(&fleet.routers[racer], 9, 11);
        }
        let drawn = race(&fleet).await;
        assert_eq!(drawn[0], drawn[1], "the same reports lead to the same draws");
        let regions: std::collections::BTreeSet<_> = drawn[0].iter().collect();
        assert_eq!(regions.len(), 2, "the test needs users in both regions");
        sleep(Duration::from_millis(SETTLE_MS)).await;
        report_load(&fleet.routers[a], 11, 9);
        let later = race(&fleet).await;
        assert_eq!(later, drawn, "no user moves while both regions are eligible");
        fleet.world.heal(&links);
        // Only a request that arrives after the previous call was given up asks the table again.
        for _ in 0..4 {
            race(&fleet).await;
            sleep(Duration::from_millis(6_000)).await;
        }
        let settled = race(&fleet).await;
        assert_eq!(settled[0], settled[1]);
    });
}

/// A cached placement outside the home regions is ignored for as long as it is valid; a draw does not leave them
/// either.
#[test]
fn a_cached_region_outside_the_home_regions_is_not_used() {
    Simulation::run(23, None, |world| async move {
        let fleet = Fleet::start_without_reports(world).await;
        let n = RACERS[0];
        report_load(&fleet.routers[n], 2, 2);
        let check = |serving: &Arc<Serving>| {
            for user in USERS {
                let cached = |region: &str| CachedPlacement {
                    region: region.into(),
                    version: 7,
                    confirmed_at: serving.now(),
                    until: serving.now() + PLACEMENT_TTL_MS,
                };
                let at = (UserKey(user), "chat".into());
                lock(&serving.router.placement_cache).insert(at.clone(), cached("west"));
                let regions = |homes: &[&str]| serving.ranked_regions(&plan(user, homes), &|_| true);
                assert_eq!(
                    regions(&["north", "west"])[0],
                    "west".into(),
                    "the cached one, if it is a home region"
                );
                assert_eq!(regions(&["north"]), ["north".into()], "user {user}");
            }
        };
        fleet.run_on(n, check).await;
    });
}
