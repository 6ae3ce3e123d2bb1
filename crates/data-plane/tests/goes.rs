//! A go against an upstream that fails at each stage (design 6.2, 6.3): what is certain
//! afterwards, and that no cut body ever ends cleanly.

use data_plane::attempt::{AttemptTarget, Outcome, OutgoingRequest, attempt, strip_internal_headers};
use http_body_util::BodyExt;
use rstest::rstest;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

#[derive(Clone, Copy, Debug)]
enum Upstream {
    Gone,
    ClosesAtOnce,
    ClosesAfterReading,
    Says(&'static str),
}

async fn read_job(s: &mut TcpStream) -> String {
    let mut got = Vec::new();
    let mut buf = [0u8; 1024];
    while !got.ends_with(b"the body") {
        match s.read(&mut buf).await {
            Ok(n) if n > 0 => got.extend_from_slice(&buf[..n]),
            _ => break,
        }
    }
    String::from_utf8_lossy(&got).into_owned()
}

async fn upstream(u: Upstream) -> SocketAddr {
    let listener = TcpListener::bind((IP, 0)).await.unwrap();
    let at = listener.local_addr().unwrap();
    tokio::spawn(async move {
        if matches!(u, Upstream::Gone) {
            return;
        }
        let (mut s, _) = listener.accept().await.unwrap();
        match u {
            Upstream::Says(what) => {
                read_job(&mut s).await;
                s.write_all(what.as_bytes()).await.unwrap();
                s.shutdown().await.unwrap();
            }
            Upstream::ClosesAfterReading => drop(read_job(&mut s).await),
            _ => {}
        }
    });
    if matches!(u, Upstream::Gone) {
        // The listener is dropped before anyone connects.
        while TcpStream::connect(at).await.is_ok() {
            tokio::task::yield_now().await;
        }
    }
    at
}

fn way(to: SocketAddr, forbidden: &(dyn Fn() -> Option<&'static str> + Send + Sync)) -> AttemptTarget<'_> {
    AttemptTarget { ip: IP, to, connect_ms: 5_000, left_ms: 5_000, forbidden }
}

fn sent() -> OutgoingRequest {
    OutgoingRequest {
        method: hyper::Method::POST,
        uri: "/v1/verdicts".parse().unwrap(),
        headers: hyper::HeaderMap::new(),
        body: "the body".into(),
    }
}

/// What became of it, in words: the outcome, and for answers how the body ended.
async fn outcome(u: Upstream) -> String {
    let at = upstream(u).await;
    match attempt(way(at, &|| None), &sent(), &[], ()).await {
        Outcome::NotRun(_) => "not run".into(),
        Outcome::Unknown(_) => "unknown".into(),
        Outcome::Done(r) => match r.into_body().collect().await {
            Ok(b) => format!("whole: {}", String::from_utf8_lossy(&b.to_bytes())),
            Err(_) => "broken".into(),
        },
    }
}

/// Conformance, design 6.2 and 6.3.
#[rstest]
#[case::before_connect(Upstream::Gone, "not run")]
#[case::after_connect(Upstream::ClosesAtOnce, "unknown")]
#[case::before_headers(Upstream::ClosesAfterReading, "unknown")]
#[case::garbage(Upstream::Says("what is this\r\n\r\n"), "unknown")]
#[case::half_a_head(Upstream::Says("HTTP/1.1 200 OK\r\ncontent-le"), "unknown")]
#[case::short_by_length(Upstream::Says("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nfour"), "broken")]
#[case::short_by_chunks(
    Upstream::Says("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n"),
    "broken"
)]
#[case::end_not_to_be_told(Upstream::Says("HTTP/1.1 200 OK\r\n\r\nfour"), "unknown")]
#[case::whole_by_length(Upstream::Says("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfour"), "whole: four")]
#[case::whole_by_chunks(
    Upstream::Says("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n"),
    "whole: four"
)]
#[case::none_at_all(Upstream::Says("HTTP/1.1 204 No Content\r\n\r\n"), "whole: ")]
#[tokio::test]
async fn at_each_stage(#[case] u: Upstream, #[case] want: &str) {
    assert_eq!(outcome(u).await, want);
}

/// What belongs to one connection stays there, and nobody outside can speak as a member.
#[test]
fn headers_of_one_connection_are_not_passed_on() {
    let mut h = hyper::HeaderMap::new();
    for (k, v) in [
        ("connection", "x-one, keep-alive"),
        ("x-one", "1"),
        ("x-two", "2"),
        ("transfer-encoding", "chunked"),
        ("foldshunt-hop", "forged"),
        ("foldshunt-job", "forged"),
    ] {
        h.insert(k, v.parse().unwrap());
    }
    strip_internal_headers(&mut h);
    assert_eq!(h.keys().map(|k| k.as_str()).collect::<Vec<_>>(), ["x-two"]);
}

/// What came to light while the connection was being made still counts: not a byte is sent.
#[tokio::test]
async fn the_last_look_comes_before_the_first_byte() {
    let listener = TcpListener::bind((IP, 0)).await.unwrap();
    let at = listener.local_addr().unwrap();
    let received = tokio::spawn(async move {
        let (mut s, _) = listener.accept().await.unwrap();
        let mut got = Vec::new();
        let _ = s.read_to_end(&mut got).await;
        got.len()
    });
    let res = attempt(way(at, &|| Some("cut off")), &sent(), &[], ()).await;
    assert!(matches!(res, Outcome::NotRun(e) if e.cause() == "cut off" && e.step == "last look"));
    assert_eq!(received.await.unwrap(), 0);
}
