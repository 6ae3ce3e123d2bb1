//! Connections to a peer that is too busy to answer in time (design 1.8), in virtual time. If each late call cost the peer
//! another handshake, a cluster that starts at once would never become ready.

use common::{
    rpc::{RpcClient, listen},
    runtime::{LatencyModel, Simulation, Stream, bind, dial, spawn, spawn_at},
};
use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::time::sleep;

mod numbers;
use numbers::{Number, SERVICE, TIMEOUT_MS, local_node};

const HEARTBEAT_MS: u64 = 100;
/// Timeout for opening a connection, in call timeouts.
const OPEN_TIMEOUTS: u64 = 4;
/// Callers that use one client at the same time.
const CALLERS: usize = 8;
const WATCHED_MS: u64 = 10_000;

fn near() -> IpAddr {
    "127.1.0.1".parse().unwrap()
}

fn far() -> IpAddr {
    "127.1.0.2".parse().unwrap()
}

/// Calls a node from several tasks, again and again, until the time is over. Returns how many calls were answered.
async fn call_for(ms: u64, to: SocketAddr) -> usize {
    let client = Arc::new(RpcClient::<Number, Number>::new(local_node(near()), SERVICE));
    let answered = Arc::new(AtomicUsize::new(0));
    for n in 0..CALLERS {
        let (client, answered) = (client.clone(), answered.clone());
        spawn(async move {
            sleep(Duration::from_millis(n as u64)).await;
            loop {
                if client.call("number", to, Number(n as u64)).await.is_ok() {
                    answered.fetch_add(1, Ordering::AcqRel);
                }
                sleep(Duration::from_millis(HEARTBEAT_MS)).await;
            }
        });
    }
    sleep(Duration::from_millis(ms)).await;
    answered.load(Ordering::Acquire)
}

/// Forwards connections to `to` and counts them.
async fn counting_relay(at: SocketAddr, to: SocketAddr, accepted: Arc<AtomicUsize>) {
    let listener = bind(at).await.unwrap();
    loop {
        let (mut from_client, _) = listener.accept().await.unwrap();
        accepted.fetch_add(1, Ordering::AcqRel);
        spawn(async move {
            let mut to_server = dial(far(), to).await.unwrap();
            let _ = tokio::io::copy_bidirectional(&mut from_client, &mut to_server).await;
        });
    }
}

#[test]
fn a_peer_that_never_answers_gets_one_handshake_at_a_time() {
    let accepted = Simulation::run(5, None, |_| async {
        let listener = bind((far(), 7_000).into()).await.unwrap();
        let accepted = Arc::new(AtomicUsize::new(0));
        let count = accepted.clone();
        spawn_at(far(), async move {
            let mut held: Vec<Stream> = Vec::new();
            while let Ok((stream, _)) = listener.accept().await {
                count.fetch_add(1, Ordering::AcqRel);
                held.push(stream);
            }
        });
        call_for(WATCHED_MS, (far(), 7_000).into()).await;
        accepted.load(Ordering::Acquire)
    });
    let most = (WATCHED_MS / (OPEN_TIMEOUTS * TIMEOUT_MS) + 1) as usize;
    assert!((2..=most).contains(&accepted), "{accepted} handshakes; at most {most} fit one after the other");
}

#[test]
fn a_late_answer_does_not_cost_a_connection_that_answers_other_calls() {
    let (accepted, answered) = Simulation::run(5, None, |_| async {
        let listener = bind((far(), 7_000).into()).await.unwrap();
        // Odd calls are answered too late.
        let handler = |_, Number(n): Number| async move {
            sleep(Duration::from_millis(if n % 2 == 1 { 3 * TIMEOUT_MS } else { 1 })).await;
            Number(n)
        };
        spawn_at(far(), listen(listener, local_node(far()), SERVICE, handler));
        let accepted = Arc::new(AtomicUsize::new(0));
        spawn_at(far(), counting_relay((far(), 7_001).into(), (far(), 7_000).into(), accepted.clone()));
        sleep(Duration::from_millis(1)).await;
        let answered = call_for(WATCHED_MS, (far(), 7_001).into()).await;
        (accepted.load(Ordering::Acquire), answered)
    });
    assert!(answered > 100, "{answered} calls answered");
    assert_eq!(accepted, 1, "connections");
}

/// A peer that comes back is found at once, however long it was away.
#[test]
fn a_peer_that_listens_again_is_called_within_a_timeout() {
    for seed in 1..=20 {
        let answered_after_ms = Simulation::run(seed, None, |simulation| async move {
            simulation.set_latency(LatencyModel::default());
            let client = RpcClient::<Number, Number>::new(local_node(near()), SERVICE);
            let to: SocketAddr = (far(), 7_000).into();
            while simulation.elapsed_ms() < WATCHED_MS {
                assert!(client.call("number", to, Number(1)).await.is_err());
                sleep(Duration::from_millis(HEARTBEAT_MS)).await;
            }
            let listener = bind(to).await.unwrap();
            let answer = |_, number: Number| async move { number };
            spawn_at(far(), listen(listener, local_node(far()), SERVICE, answer));
            let listens_at = simulation.elapsed_ms();
            while client.call("number", to, Number(1)).await.is_err() {
                sleep(Duration::from_millis(HEARTBEAT_MS)).await;
            }
            simulation.elapsed_ms() - listens_at
        });
        assert!(answered_after_ms <= TIMEOUT_MS, "seed {seed}: {answered_after_ms} ms");
    }
}
