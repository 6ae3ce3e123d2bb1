//! Tests of `data_plane::serving::slow_start`.

use crate::test_data::node_ids;
use common::{ReplicaId, Tick};
use data_plane::serving::slow_start::{Bucket, send_rate};
use rstest::rstest;

/// All times at which greedy routers send, the first of each at its phase.
fn sent(rates: &[f64], phase: &dyn Fn(usize) -> u64) -> Vec<u64> {
    let mut all = Vec::new();
    for (n, per_s) in rates.iter().enumerate() {
        let mut b = Bucket::default();
        for t in phase(n)..4_000 {
            if b.ready(Tick(t)) {
                b.take(*per_s, Tick(t));
                all.push(t);
            }
        }
    }
    all.sort_unstable();
    all
}

/// The most in any second, both its ends counted.
fn most(all: &[u64]) -> usize {
    (0..all.len()).map(|i| all[i..].iter().take_while(|t| **t <= all[i] + 1_000).count()).max().unwrap_or(0)
}

/// Design 9.5: whatever the routers' phases, any second stays within the bound of all together.
#[rstest]
fn all_routers_stay_within_the_bound(#[values(1, 3, 12, 40, 93)] n: usize) {
    let all = node_ids(n);
    for bound in 5..=100 {
        for replica in ["r1", "r2"] {
            let id = ReplicaId::new(replica);
            let rates: Vec<f64> =
                all.iter().filter_map(|me| send_rate(f64::from(bound), &id, me, &all)).collect();
            assert!(!rates.is_empty(), "nobody may send: {n} routers, bound {bound}");
            let phases: [&dyn Fn(usize) -> u64; 4] =
                [&|_| 0, &|k| k as u64 * 37 % 1_000, &|k| k as u64 * 611 % 997, &|k| (k as u64 % 2) * 999];
            for phase in phases {
                let seen = most(&sent(&rates, phase));
                assert!(seen <= bound as usize, "{seen} in a second: {n} routers, bound {bound}");
            }
        }
    }
}

/// Who sends is settled without talk: the same whatever order a router knows the others in, and as
/// many as there are parts.
#[rstest]
fn all_agree_on_who_sends(#[values(1, 3, 12, 40, 93)] n: usize, #[values(5.0, 30.0, 100.0)] bound: f64) {
    let all = node_ids(n);
    let id = ReplicaId::new("r1");
    let who = |order: &[common::NodeId]| -> Vec<common::NodeId> {
        all.iter().filter(|me| send_rate(bound, &id, me, order).is_some()).cloned().collect()
    };
    let mut order = all.clone();
    let first = who(&order);
    for turn in 0..n {
        order.rotate_left(1);
        if turn % 3 == 0 {
            order.reverse();
        }
        assert_eq!(who(&order), first);
    }
    let rates: Vec<f64> = first.iter().filter_map(|me| send_rate(bound, &id, me, &all)).collect();
    assert!(rates.windows(2).all(|w| w[0] == w[1]), "equal parts: {rates:?}");
    assert!(first.len() <= n);
}

/// Another replica is another few's to warm.
#[test]
fn replicas_have_different_senders() {
    let all = node_ids(40);
    let who = |id: &str| -> Vec<bool> {
        all.iter().map(|me| send_rate(10.0, &id.into(), me, &all).is_some()).collect()
    };
    assert!((0..20).map(|n| who(&format!("r{n}"))).any(|w| w != who("r0")));
}
