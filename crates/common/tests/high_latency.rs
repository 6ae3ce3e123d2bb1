//! Calls over links with high latency (design 1.8), in virtual time. Opening a connection takes several round trips, so it
//! must continue after the call that started it has timed out; otherwise no call would ever succeed.

use common::{
    rpc::{RpcClient, listen},
    runtime::{LatencyModel, Simulation, bind, spawn_at},
};
use rstest::rstest;
use std::{net::IpAddr, time::Duration};

mod numbers;
use numbers::{Number, SERVICE, TIMEOUT_MS, local_node};

const HEARTBEAT_MS: u64 = 100;

/// With a call at each heartbeat, one succeeds within the timeouts plus a few heartbeats, whatever the latency.
#[rstest]
fn a_call_over_a_slow_link_succeeds(#[values(1, 35, 80, 110, 150, 200)] one_way_ms: u64) {
    let answered_at = Simulation::run(3, None, |simulation| async move {
        let latency_us = one_way_ms * 1_000;
        simulation.set_latency(LatencyModel {
            min_us: latency_us,
            max_us: latency_us,
            spike_probability: 0.0,
            max_spike_us: latency_us,
        });
        let (near, far): (IpAddr, IpAddr) = ("127.1.0.1".parse().unwrap(), "127.1.0.2".parse().unwrap());
        let listener = bind((far, 7_000).into()).await.unwrap();
        spawn_at(
            far,
            listen(listener, local_node(far), SERVICE, |_, Number(n)| async move { Number(n + 1) }),
        );
        let client = RpcClient::<Number, Number>::new(local_node(near), SERVICE);
        while simulation.elapsed_ms() < 10_000 {
            if client.call("number", (far, 7_000).into(), Number(1)).await.is_ok() {
                return Some(simulation.elapsed_ms());
            }
            tokio::time::sleep(Duration::from_millis(HEARTBEAT_MS)).await;
        }
        None
    });
    assert!(
        answered_at.is_some_and(|ms| ms <= 2 * TIMEOUT_MS + 3 * HEARTBEAT_MS + 2 * one_way_ms),
        "{answered_at:?}"
    );
}
