//! Whatever arrives at a port for own processes (design 1.8): junk, another cluster, another service,
//! messages that are cut short or too long close their own connection, and the next call is answered.

use common::{
    rpc::{Handshake, LocalNode, RpcClient, listen},
    wire::{MAX_FRAME_BYTES, MAX_HANDSHAKE_BYTES, PROTOCOL_VERSION, encode},
};
use rstest::rstest;
use serde::{Deserialize, Serialize};
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const SERVICE: &str = "numbers";

#[derive(Debug, Serialize, Deserialize)]
struct Number(u64);

impl tarpc::RequestName for Number {
    fn name(&self) -> &str {
        "number"
    }
}

fn me(cluster: &str) -> LocalNode {
    LocalNode { cluster: cluster.into(), node: "n".into(), ip: IP, timeout_ms: 60_000 }
}

/// A service that answers with the next number, and how many it has answered.
async fn numbers() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind((IP, 0)).await.unwrap();
    let at = listener.local_addr().unwrap();
    let answered = Arc::new(AtomicUsize::new(0));
    let counted = answered.clone();
    tokio::spawn(listen(listener, me("c"), SERVICE, move |_, Number(n)| {
        counted.fetch_add(1, Ordering::AcqRel);
        async move { Number(n + 1) }
    }));
    (at, answered)
}

fn framed(body: &[u8]) -> Vec<u8> {
    let len = (body.len() as u32).to_be_bytes();
    len.iter().chain(body).copied().collect()
}

fn handshake(proto: u32, cluster: &str, service: &str) -> Vec<u8> {
    let handshake = Handshake { proto, cluster: cluster.into(), service: service.into(), node: "x".into() };
    framed(&encode(&handshake).unwrap())
}

fn good_hello() -> Vec<u8> {
    handshake(PROTOCOL_VERSION, "c", SERVICE)
}

fn after_hello(bytes: &[u8]) -> Vec<u8> {
    good_hello().into_iter().chain(bytes.iter().copied()).collect()
}

#[rstest]
#[case::nothing(vec![])]
#[case::one_byte(vec![7])]
#[case::a_request_of_http(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n".to_vec())]
#[case::zeros(vec![0; 5_000])]
#[case::ones(vec![0xff; 5_000])]
#[case::a_hello_too_long(((MAX_HANDSHAKE_BYTES + 1) as u32).to_be_bytes().to_vec())]
#[case::a_hello_of_junk(framed(&[0x5a; 300]))]
#[case::a_hello_cut_short(good_hello()[..good_hello().len() - 3].to_vec())]
#[case::of_another_cluster(handshake(PROTOCOL_VERSION, "another", SERVICE))]
#[case::of_another_protocol(handshake(PROTOCOL_VERSION + 1, "c", SERVICE))]
#[case::of_another_service(handshake(PROTOCOL_VERSION, "c", "letters"))]
#[case::junk_behind_the_hello(after_hello(&framed(&[0x5a; 300])))]
#[case::an_empty_message(after_hello(&framed(&[])))]
#[case::a_message_too_long(after_hello(&((MAX_FRAME_BYTES + 1) as u32).to_be_bytes()))]
#[case::the_longest_length_there_is(after_hello(&[0xff; 4]))]
#[case::a_message_cut_short(after_hello(&framed(&[1; 64])[..40]))]
#[tokio::test]
async fn junk_ends_its_own_connection_alone(#[case] bytes: Vec<u8>) {
    let (at, answered) = numbers().await;
    let lines = RpcClient::<Number, Number>::new(me("c"), SERVICE);
    assert_eq!(lines.call("ask", at, Number(1)).await.unwrap().0, 2);
    for _ in 0..3 {
        let mut stranger = TcpStream::connect(at).await.unwrap();
        // The other side may close before all of it is written.
        let _ = stranger.write_all(&bytes).await;
        let _ = stranger.shutdown().await;
        let mut told = Vec::new();
        let _ = stranger.read_to_end(&mut told).await;
    }
    assert_eq!(answered.load(Ordering::Acquire), 1, "nothing of it was taken for a call");
    assert_eq!(lines.call("ask", at, Number(2)).await.unwrap().0, 3, "an open connection goes on");
    let fresh = RpcClient::<Number, Number>::new(me("c"), SERVICE);
    assert_eq!(fresh.call("ask", at, Number(3)).await.unwrap().0, 4, "and new ones are taken");
}

/// The connection ends although the stranger keeps its own side open and says no more.
#[rstest]
#[case::a_hello_too_long((1_u32 << 20).to_be_bytes().to_vec())]
#[case::a_message_too_long(after_hello(&((MAX_FRAME_BYTES + 1) as u32).to_be_bytes()))]
#[case::junk_behind_the_hello(after_hello(&framed(&[0x5a; 300])))]
#[tokio::test]
async fn what_is_junk_at_once_is_not_waited_for(#[case] bytes: Vec<u8>) {
    let (at, _) = numbers().await;
    let mut stranger = TcpStream::connect(at).await.unwrap();
    stranger.write_all(&bytes).await.unwrap();
    let mut told = Vec::new();
    // Without an end this waits for the service's election time-out of four minutes.
    let _ = stranger.read_to_end(&mut told).await;
}

/// Named at the caller too: the reason of the reject.
#[tokio::test]
async fn another_cluster_is_named() {
    let (at, _) = numbers().await;
    let err = RpcClient::<Number, Number>::new(me("another"), SERVICE).call("ask", at, Number(1)).await;
    let err = err.unwrap_err();
    assert!(err.step == common::error::HANDSHAKE && err.cause().contains("is foreign"), "{err}");
}
