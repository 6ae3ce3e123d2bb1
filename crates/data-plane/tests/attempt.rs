//! One attempt at an upstream that fails at some stage (design 6.2, 6.3): what is certain afterwards, and that a
//! truncated body never ends cleanly.

use data_plane::attempt::{AttemptTarget, Outcome, OutgoingRequest, attempt, strip_internal_headers};
use http_body_util::BodyExt;
use rstest::rstest;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// What the upstream does.
#[derive(Clone, Copy, Debug)]
enum Upstream {
    NotListening,
    ClosesAtOnce,
    ClosesAfterReading,
    Sends(&'static str),
}

async fn read_request(connection: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let mut buf = [0u8; 1024];
    while !received.ends_with(b"the body") {
        match connection.read(&mut buf).await {
            Ok(n) if n > 0 => received.extend_from_slice(&buf[..n]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&received).into_owned()
}

async fn start_upstream(upstream: Upstream) -> SocketAddr {
    let listener = TcpListener::bind((IP, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        if matches!(upstream, Upstream::NotListening) {
            return;
        }
        let (mut connection, _) = listener.accept().await.unwrap();
        match upstream {
            Upstream::Sends(response) => {
                read_request(&mut connection).await;
                connection.write_all(response.as_bytes()).await.unwrap();
                connection.shutdown().await.unwrap();
            }
            Upstream::ClosesAfterReading => drop(read_request(&mut connection).await),
            _ => {}
        }
    });
    if matches!(upstream, Upstream::NotListening) {
        // The listener is dropped before anyone connects.
        while TcpStream::connect(address).await.is_ok() {
            tokio::task::yield_now().await;
        }
    }
    address
}

fn target(
    address: SocketAddr,
    blocked_reason: &(dyn Fn() -> Option<&'static str> + Send + Sync),
) -> AttemptTarget<'_> {
    AttemptTarget { local_ip: IP, address, connect_ms: 5_000, left_ms: 5_000, blocked_reason }
}

fn request() -> OutgoingRequest {
    OutgoingRequest {
        method: hyper::Method::POST,
        uri: "/v1/verdicts".parse().unwrap(),
        headers: hyper::HeaderMap::new(),
        body: "the body".into(),
    }
}

/// The outcome in words; for a response, how its body ended.
async fn outcome(upstream: Upstream) -> String {
    let address = start_upstream(upstream).await;
    match attempt(target(address, &|| None), &request(), &[], ()).await {
        Outcome::NotRun(_) => "not run".into(),
        Outcome::Unknown(_) => "unknown".into(),
        Outcome::Done(response) => match response.into_body().collect().await {
            Ok(body) => format!("complete: {}", String::from_utf8_lossy(&body.to_bytes())),
            Err(_) => "truncated".into(),
        },
    }
}

/// An attempt is certain not to have run only if the connection failed, and only a complete body ends cleanly (design
/// 6.2, 6.3).
#[rstest]
#[case::before_connect(Upstream::NotListening, "not run")]
#[case::after_connect(Upstream::ClosesAtOnce, "unknown")]
#[case::before_headers(Upstream::ClosesAfterReading, "unknown")]
#[case::garbage(Upstream::Sends("what is this\r\n\r\n"), "unknown")]
#[case::half_a_header(Upstream::Sends("HTTP/1.1 200 OK\r\ncontent-le"), "unknown")]
#[case::truncated_length(Upstream::Sends("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nfour"), "truncated")]
#[case::truncated_chunks(
    Upstream::Sends("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n"),
    "truncated"
)]
#[case::neither_length_nor_chunks(Upstream::Sends("HTTP/1.1 200 OK\r\n\r\nfour"), "unknown")]
#[case::complete_length(
    Upstream::Sends("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfour"),
    "complete: four"
)]
#[case::complete_chunks(
    Upstream::Sends("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n"),
    "complete: four"
)]
#[case::no_body(Upstream::Sends("HTTP/1.1 204 No Content\r\n\r\n"), "complete: ")]
#[tokio::test]
async fn outcome_by_stage_of_failure(#[case] upstream: Upstream, #[case] expected: &str) {
    assert_eq!(outcome(upstream).await, expected);
}

/// Headers of one connection are not forwarded, and a client can't forge the headers that routers send each other.
#[test]
fn hop_by_hop_and_internal_headers_are_stripped() {
    let mut headers = hyper::HeaderMap::new();
    for (k, v) in [
        ("connection", "x-one, keep-alive"),
        ("x-one", "1"),
        ("x-two", "2"),
        ("transfer-encoding", "chunked"),
        ("foldshunt-hop", "forged"),
        ("foldshunt-job", "forged"),
    ] {
        headers.insert(k, v.parse().unwrap());
    }
    strip_internal_headers(&mut headers);
    assert_eq!(headers.keys().map(|k| k.as_str()).collect::<Vec<_>>(), ["x-two"]);
}

/// If the attempt is no longer allowed once the connection is open, no byte is sent.
#[tokio::test]
async fn a_blocked_attempt_sends_nothing() {
    let listener = TcpListener::bind((IP, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let received = tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.unwrap();
        let mut bytes = Vec::new();
        let _ = connection.read_to_end(&mut bytes).await;
        bytes.len()
    });
    let outcome = attempt(target(address, &|| Some("cut off")), &request(), &[], ()).await;
    assert!(matches!(outcome, Outcome::NotRun(e) if e.cause() == "cut off" && e.step == "last look"));
    assert_eq!(received.await.unwrap(), 0);
}
