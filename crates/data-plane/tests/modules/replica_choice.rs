//! Tests of `data_plane::replica_choice`.

use common::{NodeId, Tick};
use data_plane::{
    load::{Candidate, ReplicaLoad},
    replica_choice::has_room,
};
use std::sync::{Arc, atomic::Ordering};

/// A candidate with a capacity of 8.
fn candidate(consumption: f64, allowance: Option<u32>, seq: u64) -> Candidate {
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

/// How many requests all routers together add by the same report.
fn added(consumption: f64, allowance: Option<u32>, routers: usize, seq: u64) -> i64 {
    let routers: Vec<NodeId> = (0..routers).map(|n| format!("p{n}").as_str().into()).collect();
    let added_by = |me: &NodeId| {
        let candidate =
            Candidate { routers: routers.clone().into(), ..candidate(consumption, allowance, seq) };
        (0..100)
            .take_while(|_| {
                has_room(&candidate, &routers, me.as_str())
                    && candidate.local.open.fetch_add(1, Ordering::Relaxed) >= 0
            })
            .count()
    };
    routers.iter().map(added_by).sum::<usize>() as i64
}

/// Routers split the free capacity of a report. In a load test with 4 slots and 6 routers, 24 requests were open at one
/// replica, since each router used all of it.
#[test]
fn routers_split_the_free_capacity() {
    for seq in 0..20 {
        assert_eq!(added(8.0, None, 6, seq), 0);
        assert_eq!(added(5.0, None, 6, seq), 3);
        assert_eq!(added(0.0, None, 6, seq), 8);
        assert!(added(4.0, None, 6, seq) <= 6);
        assert_eq!(added(0.0, Some(2), 6, seq), 2, "no more than the allowance of a cold replica");
    }
}
