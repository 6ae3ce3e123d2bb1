//! Tests of `data_plane::serving::slow_start`.

use crate::test_data::node_ids;
use common::{ReplicaId, Tick};
use data_plane::serving::slow_start::{Bucket, send_rate};
use rstest::rstest;

/// All times at which routers send that use each token at once; each starts at its own phase.
fn sent(rates: &[f64], phase: &dyn Fn(usize) -> u64) -> Vec<u64> {
    let mut times = Vec::new();
    for (n, per_s) in rates.iter().enumerate() {
        let mut bucket = Bucket::default();
        for t in phase(n)..4_000 {
            if bucket.ready(Tick(t)) {
                bucket.take(*per_s, Tick(t));
                times.push(t);
            }
        }
    }
    times.sort_unstable();
    times
}

/// The most requests in any second, including both of its ends.
fn most_per_second(times: &[u64]) -> usize {
    (0..times.len())
        .map(|i| times[i..].iter().take_while(|t| **t <= times[i] + 1_000).count())
        .max()
        .unwrap_or(0)
}

/// Whatever the phases of the routers, all together stay within the allowed rate in any second (design 9.5).
#[rstest]
fn all_routers_stay_within_the_bound(#[values(1, 3, 12, 40, 93)] n: usize) {
    let all = node_ids(n);
    for bound in 5..=100 {
        for replica in ["r1", "r2"] {
            let id = ReplicaId::new(replica);
            let rates: Vec<f64> =
                all.iter().filter_map(|me| send_rate(f64::from(bound), &id, me, &all)).collect();
            assert!(!rates.is_empty(), "no router may send: {n} routers, bound {bound}");
            let phases: [&dyn Fn(usize) -> u64; 4] =
                [&|_| 0, &|k| k as u64 * 37 % 1_000, &|k| k as u64 * 611 % 997, &|k| (k as u64 % 2) * 999];
            for phase in phases {
                let seen = most_per_second(&sent(&rates, phase));
                assert!(seen <= bound as usize, "{seen} in a second: {n} routers, bound {bound}");
            }
        }
    }
}

/// Routers agree on which of them may send, without messages and in whatever order each knows the others, and all
/// senders get the same rate.
#[rstest]
fn all_agree_on_the_senders(#[values(1, 3, 12, 40, 93)] n: usize, #[values(5.0, 30.0, 100.0)] bound: f64) {
    let all = node_ids(n);
    let id = ReplicaId::new("r1");
    let senders = |order: &[common::NodeId]| -> Vec<common::NodeId> {
        all.iter().filter(|me| send_rate(bound, &id, me, order).is_some()).cloned().collect()
    };
    let mut order = all.clone();
    let first = senders(&order);
    for turn in 0..n {
        order.rotate_left(1);
        if turn % 3 == 0 {
            order.reverse();
        }
        assert_eq!(senders(&order), first);
    }
    let rates: Vec<f64> = first.iter().filter_map(|me| send_rate(bound, &id, me, &all)).collect();
    assert!(rates.windows(2).all(|w| w[0] == w[1]), "equal shares: {rates:?}");
    assert!(first.len() <= n);
}

/// Different replicas have different senders.
#[test]
fn replicas_have_different_senders() {
    let all = node_ids(40);
    let senders = |id: &str| -> Vec<bool> {
        all.iter().map(|me| send_rate(10.0, &id.into(), me, &all).is_some()).collect()
    };
    assert!((0..20).map(|n| senders(&format!("r{n}"))).any(|w| w != senders("r0")));
}
