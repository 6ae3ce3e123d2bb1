//! Invalid input on an RPC port (design 1.8): random bytes, handshakes of another cluster, protocol or service, and
//! messages that are truncated or too long end only their own connection. Other connections keep working.

use common::{
    rpc::{Handshake, LocalNode, RpcClient, listen},
    wire::{MAX_FRAME_BYTES, MAX_HANDSHAKE_BYTES, PROTOCOL_VERSION, encode},
};
use rstest::rstest;
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

mod numbers;
use numbers::{Number, SERVICE};

const IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

fn local_node(cluster: &str) -> LocalNode {
    LocalNode {
        cluster: cluster.into(),
        node: "n".into(),
        ip: IP,
        timeout_ms: 60_000,
        max_unidentified_connections: 64,
    }
}

/// Starts a service that answers with the next number; returns its address and the count of answered calls.
async fn start_service() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind((IP, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let answered = Arc::new(AtomicUsize::new(0));
    let counted = answered.clone();
    tokio::spawn(listen(listener, local_node("c"), SERVICE, move |_, Number(n)| {
        counted.fetch_add(1, Ordering::AcqRel);
        async move { Number(n + 1) }
    }));
    (address, answered)
}

/// Prefixes a body with its length, as on the wire.
fn framed(body: &[u8]) -> Vec<u8> {
    let len = (body.len() as u32).to_be_bytes();
    len.iter().chain(body).copied().collect()
}

fn handshake(protocol_version: u32, cluster: &str, service: &str) -> Vec<u8> {
    let handshake =
        Handshake { protocol_version, cluster: cluster.into(), service: service.into(), node: "x".into() };
    framed(&encode(&handshake).unwrap())
}

fn valid_handshake() -> Vec<u8> {
    handshake(PROTOCOL_VERSION, "c", SERVICE)
}

fn after_handshake(bytes: &[u8]) -> Vec<u8> {
    valid_handshake().into_iter().chain(bytes.iter().copied()).collect()
}

#[rstest]
#[case::nothing(vec![])]
#[case::one_byte(vec![7])]
#[case::an_http_request(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n".to_vec())]
#[case::zeros(vec![0; 5_000])]
#[case::ones(vec![0xff; 5_000])]
#[case::a_handshake_too_long(((MAX_HANDSHAKE_BYTES + 1) as u32).to_be_bytes().to_vec())]
#[case::a_handshake_of_random_bytes(framed(&[0x5a; 300]))]
#[case::a_truncated_handshake(valid_handshake()[..valid_handshake().len() - 3].to_vec())]
#[case::of_another_cluster(handshake(PROTOCOL_VERSION, "another", SERVICE))]
#[case::of_another_protocol(handshake(PROTOCOL_VERSION + 1, "c", SERVICE))]
#[case::of_another_service(handshake(PROTOCOL_VERSION, "c", "letters"))]
#[case::random_bytes_after_the_handshake(after_handshake(&framed(&[0x5a; 300])))]
#[case::an_empty_message(after_handshake(&framed(&[])))]
#[case::a_message_too_long(after_handshake(&((MAX_FRAME_BYTES + 1) as u32).to_be_bytes()))]
#[case::the_largest_possible_length(after_handshake(&[0xff; 4]))]
#[case::a_truncated_message(after_handshake(&framed(&[1; 64])[..40]))]
#[tokio::test]
async fn invalid_input_ends_only_its_own_connection(#[case] bytes: Vec<u8>) {
    let (address, answered) = start_service().await;
    let client = RpcClient::<Number, Number>::new(local_node("c"), SERVICE);
    assert_eq!(client.call("ask", address, Number(1)).await.unwrap().0, 2);
    for _ in 0..3 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        // The service may close the connection before everything is written.
        let _ = stream.write_all(&bytes).await;
        let _ = stream.shutdown().await;
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received).await;
    }
    assert_eq!(answered.load(Ordering::Acquire), 1, "none of the input counts as a call");
    assert_eq!(client.call("ask", address, Number(2)).await.unwrap().0, 3, "the open connection still works");
    let new_client = RpcClient::<Number, Number>::new(local_node("c"), SERVICE);
    assert_eq!(
        new_client.call("ask", address, Number(3)).await.unwrap().0,
        4,
        "a new connection is accepted"
    );
}

/// The service ends the connection at once, although the peer keeps its side open and sends nothing more.
#[rstest]
#[case::a_handshake_too_long((1_u32 << 20).to_be_bytes().to_vec())]
#[case::a_message_too_long(after_handshake(&((MAX_FRAME_BYTES + 1) as u32).to_be_bytes()))]
#[case::random_bytes_after_the_handshake(after_handshake(&framed(&[0x5a; 300])))]
#[tokio::test]
async fn invalid_input_ends_the_connection_without_a_timeout(#[case] bytes: Vec<u8>) {
    let (address, _) = start_service().await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(&bytes).await.unwrap();
    let mut received = Vec::new();
    // If the service didn't end the connection, this would wait for the handshake timeout of four minutes.
    let _ = stream.read_to_end(&mut received).await;
}

/// The client learns why its handshake was rejected.
#[tokio::test]
async fn a_client_of_another_cluster_gets_the_reason() {
    let (address, _) = start_service().await;
    let err = RpcClient::<Number, Number>::new(local_node("another"), SERVICE)
        .call("ask", address, Number(1))
        .await;
    let err = err.unwrap_err();
    assert!(
        err.step == common::error::HANDSHAKE && err.cause().contains("is not the cluster of this node"),
        "{err}"
    );
}
