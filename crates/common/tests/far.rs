//! Calls over long lines (design 1.8), under virtual time: opening a connection takes several ways, so it
//! goes on behind a call that gave up waiting.

use common::{
    rpc::{LocalNode, RpcClient, listen},
    runtime::{LatencyModel, Simulation, bind, spawn_at},
};
use rstest::rstest;
use serde::{Deserialize, Serialize};
use std::{net::IpAddr, time::Duration};

const SERVICE: &str = "numbers";
const WAIT_MS: u64 = 500;
const BEAT_MS: u64 = 100;

#[derive(Debug, Serialize, Deserialize)]
struct Number(u64);

impl tarpc::RequestName for Number {
    fn name(&self) -> &str {
        "number"
    }
}

fn me(ip: IpAddr) -> LocalNode {
    LocalNode { cluster: "c".into(), node: ip.to_string(), ip, timeout_ms: WAIT_MS }
}

/// Calls that are sent with each heartbeat are answered within a second of the first, however long the line.
#[rstest]
fn a_call_over_a_long_line_is_answered(#[values(1, 35, 80, 110, 150, 200)] one_way_ms: u64) {
    let answered_at = Simulation::run(3, None, |world| async move {
        let way = one_way_ms * 1_000;
        world.set_latency(LatencyModel {
            min_us: way,
            max_us: way,
            spike_probability: 0.0,
            max_spike_us: way,
        });
        let (near, far): (IpAddr, IpAddr) = ("127.1.0.1".parse().unwrap(), "127.1.0.2".parse().unwrap());
        let listener = bind((far, 7_000).into()).await.unwrap();
        spawn_at(far, listen(listener, me(far), SERVICE, |_, Number(n)| async move { Number(n + 1) }));
        let lines = RpcClient::<Number, Number>::new(me(near), SERVICE);
        while world.elapsed_ms() < 10_000 {
            if lines.call("number", (far, 7_000).into(), Number(1)).await.is_ok() {
                return Some(world.elapsed_ms());
            }
            tokio::time::sleep(Duration::from_millis(BEAT_MS)).await;
        }
        None
    });
    assert!(
        answered_at.is_some_and(|ms| ms <= 2 * WAIT_MS + 3 * BEAT_MS + 2 * one_way_ms),
        "{answered_at:?}"
    );
}
