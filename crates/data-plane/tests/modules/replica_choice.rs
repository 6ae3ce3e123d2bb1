//! Tests of `data_plane::replica_choice`.

use common::{NodeId, Tick};
use data_plane::{
    load::{Candidate, ReplicaLoad},
    replica_choice::has_room,
};
use std::sync::{Arc, atomic::Ordering};

fn seen(consumption: f64, allowance: Option<u32>, seq: u64) -> Candidate {
    let load = ReplicaLoad {
        id: "r".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        healthy: true,
        capacity: 8.0,
        consumption,
        allowance,
    };
    Candidate { load, zone: "a".into(), local: Arc::default(), fresh_at: Tick(0), seq, routers: Arc::new([]) }
}

/// How many requests all routers together add on one and the same report.
fn added(consumption: f64, allowance: Option<u32>, routers: usize, seq: u64) -> i64 {
    let routers: Vec<NodeId> = (0..routers).map(|n| format!("p{n}").as_str().into()).collect();
    let one = |me: &NodeId| {
        let c = Candidate { routers: routers.clone().into(), ..seen(consumption, allowance, seq) };
        (0..100)
            .take_while(|_| {
                has_room(&c, &routers, me.as_str()) && c.local.open.fetch_add(1, Ordering::Relaxed) >= 0
            })
            .count()
    };
    routers.iter().map(one).sum::<usize>() as i64
}

/// Found by a crowd on the fleet: with 4 slots and 6 routers, 24 requests were open at one
/// replica, since each router took all the room that the last report showed.
#[test]
fn routers_share_what_a_report_shows_as_free() {
    for seq in 0..20 {
        assert_eq!(added(8.0, None, 6, seq), 0);
        assert_eq!(added(5.0, None, 6, seq), 3);
        assert_eq!(added(0.0, None, 6, seq), 8);
        assert!(added(4.0, None, 6, seq) <= 6);
        assert_eq!(added(0.0, Some(2), 6, seq), 2, "a cold one is never flooded");
    }
}
