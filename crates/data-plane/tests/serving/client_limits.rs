//! Limits on what clients may send, how long they may take, and how long their connections may be idle (design 9.2).

use crate::{
    router_fixture::{RouterFixture, Setup, run_scenario},
    test_data::route,
};
use common::{http::full, runtime::Stream};
use configuration::{RequestLimits, Route, RouteKind};
use rstest::rstest;
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    time::{Instant, sleep, timeout},
};

const LIMITS: RequestLimits = RequestLimits {
    max_header_bytes: 1_000,
    max_body_bytes: 64,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
};
/// A client may measure a span shorter by this much, since the answer was in transit at its start.
const TRANSIT_MS: u64 = 5;
/// How much later than at its limit something may happen.
const TOLERANCE_MS: u64 = 300;

fn read() -> Route {
    route("read", RouteKind::ReadOnly)
}

/// A complete request head of exactly this many bytes.
fn head(bytes: usize) -> String {
    let bare = "POST /read/1 HTTP/1.1\r\nhost: example.org\r\ncontent-length: 0\r\nx-fill: \r\n\r\n";
    bare.replace("x-fill: ", &format!("x-fill: {}", "a".repeat(bytes - bare.len())))
}

/// Reads the next answer with its body, and returns its status and head; `None` if the connection ends before that.
async fn read_answer(stream: &mut Stream) -> Option<(u16, String)> {
    let mut got = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&got).to_ascii_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|l| l.strip_prefix("content-length: ")?.parse().ok());
            if body.len() >= length.unwrap_or(0usize) {
                let code = head.split(' ').nth(1)?.parse().ok()?;
                return Some((code, head.to_string()));
            }
        }
        let mut buf = [0u8; 4_096];
        match stream.read(&mut buf).await {
            Ok(n) if n > 0 => got.extend_from_slice(&buf[..n]),
            _ => return None,
        }
    }
}

/// Sends a request and reads the answer.
async fn ask(stream: &mut Stream) -> Option<(u16, String)> {
    stream.write_all(head(200).as_bytes()).await.ok()?;
    read_answer(stream).await
}

/// Milliseconds until the router closes the connection.
async fn closed_after(stream: &mut Stream) -> u64 {
    let began = Instant::now();
    let end = async { while matches!(stream.read(&mut [0u8; 512]).await, Ok(n) if n > 0) {} };
    timeout(Duration::from_secs(600), end).await.expect("an end within ten minutes");
    began.elapsed().as_millis() as u64
}

/// Asserts that something took as long as its limit.
fn assert_took(measured_ms: u64, limit_ms: u64) {
    let least_ms = limit_ms.saturating_sub(TRANSIT_MS);
    assert!((least_ms..=limit_ms + TOLERANCE_MS).contains(&measured_ms), "{measured_ms} ms, not {limit_ms}");
}

#[rstest]
#[case::small(200, 1_000, 200)]
#[case::at_the_limit(1_000, 1_000, 200)]
#[case::over_the_limit(1_001, 1_000, 431)]
#[case::large_at_the_limit(40_000, 40_000, 200)]
#[case::large_over_the_limit(40_001, 40_000, 431)]
#[case::far_over_the_limit(500_000, 1_000, 431)]
fn heads_are_limited(#[case] bytes: usize, #[case] max_header_bytes: usize, #[case] code: u16) {
    run_scenario(1, Setup::default(), vec![read()], &[], move |fixture| async move {
        fixture.set_limits(RequestLimits { max_header_bytes, ..LIMITS });
        let mut stream = fixture.raw_connection().await;
        let _ = stream.write_all(head(bytes).as_bytes()).await;
        assert_eq!(read_answer(&mut stream).await.map(|a| a.0), Some(code));
        assert_eq!(fixture.received_requests().len(), usize::from(code == 200));
        if code != 200 {
            assert_took(closed_after(&mut stream).await, 0);
        }
    });
}

/// A changed limit applies to connections that are already open, whether it is larger or smaller.
#[test]
fn a_changed_limit_applies_to_open_connections() {
    run_scenario(1, Setup::default(), vec![read()], &[], |fixture| async move {
        fixture.set_limits(LIMITS);
        let mut stream = fixture.raw_connection().await;
        assert_eq!(ask(&mut stream).await.expect("an answer").0, 200);
        fixture.set_limits(RequestLimits { max_header_bytes: 30_000, ..LIMITS });
        stream.write_all(head(30_000).as_bytes()).await.expect("sent");
        assert_eq!(read_answer(&mut stream).await.expect("an answer").0, 200);
        fixture.set_limits(LIMITS);
        stream.write_all(head(1_001).as_bytes()).await.expect("sent");
        assert_eq!(read_answer(&mut stream).await.expect("an answer").0, 431);
    });
}

/// A connection is closed if a request head is not complete in time, however its bytes are spread; a head that is
/// complete earlier is served.
#[rstest]
#[case::first_request(false)]
#[case::later_request(true)]
fn slow_heads_are_limited(#[case] later: bool, #[values(500, 3_000, 40_000)] header_timeout_ms: u64) {
    run_scenario(1, Setup::default(), vec![read()], &[], move |fixture| async move {
        fixture.set_limits(RequestLimits { header_timeout_ms, ..LIMITS });
        let open = || async {
            let mut stream = fixture.raw_connection().await;
            if later {
                ask(&mut stream).await.expect("an answer");
                sleep(Duration::from_millis(5_000)).await;
            }
            stream
        };
        let mut stream = open().await;
        let (first, rest) = ("POST /read/1 HTTP/1.1\r\nhost: exam", "ple.org\r\ncontent-length: 0\r\n\r\n");
        stream.write_all(first.as_bytes()).await.expect("sent");
        sleep(Duration::from_millis(header_timeout_ms * 9 / 10)).await;
        stream.write_all(rest.as_bytes()).await.expect("sent");
        assert_eq!(read_answer(&mut stream).await.expect("an answer").0, 200);

        let stream = open().await;
        let (mut reader, mut writer) = tokio::io::split(stream);
        common::runtime::spawn(async move {
            let _ = writer.write_all(first.as_bytes()).await;
            while writer.write_all(b"x").await.is_ok() {
                sleep(Duration::from_millis(100)).await;
            }
        });
        let began = Instant::now();
        while matches!(reader.read(&mut [0u8; 512]).await, Ok(n) if n > 0) {}
        assert_took(began.elapsed().as_millis() as u64, header_timeout_ms);
    });
}

/// An idle connection stays open for exactly `idle_ms`, and each answer announces that time.
#[rstest]
fn idle_connections_are_limited(#[values(2_000, 15_000, 60_000, 240_000)] idle_timeout_ms: u64) {
    run_scenario(1, Setup::default(), vec![read()], &[], move |fixture| async move {
        fixture.set_limits(RequestLimits { idle_timeout_ms, ..LIMITS });
        let mut stream = fixture.raw_connection().await;
        for _ in 0..3 {
            let (code, head) = ask(&mut stream).await.expect("an answer");
            assert_eq!(code, 200);
            assert!(head.contains(&format!("keep-alive: timeout={}\r\n", idle_timeout_ms / 1_000)), "{head}");
            sleep(Duration::from_millis(idle_timeout_ms * 9 / 10)).await;
        }
        ask(&mut stream).await.expect("an answer");
        assert_took(closed_after(&mut stream).await, idle_timeout_ms);
        let mut fresh = fixture.raw_connection().await;
        assert_took(closed_after(&mut fresh).await, idle_timeout_ms);
    });
}

/// A shorter idle time applies from the next answer on, since the router keeps to the time that it announced. A longer
/// one applies at once.
#[rstest]
#[case::shorter(60_000, 5_000, 60_000)]
#[case::longer(5_000, 60_000, 60_000)]
fn an_announced_idle_time_is_kept(#[case] announced: u64, #[case] then: u64, #[case] kept: u64) {
    run_scenario(1, Setup::default(), vec![read()], &[], move |fixture| async move {
        fixture.set_limits(RequestLimits { idle_timeout_ms: announced, ..LIMITS });
        let mut stream = fixture.raw_connection().await;
        ask(&mut stream).await.expect("an answer");
        let (mut again, began) = (fixture.raw_connection().await, Instant::now());
        ask(&mut again).await.expect("an answer");
        sleep(Duration::from_millis(1_000)).await;
        fixture.set_limits(RequestLimits { idle_timeout_ms: then, ..LIMITS });
        ask(&mut again).await.expect("an answer");
        assert_took(closed_after(&mut again).await, then);
        let left = kept.saturating_sub(began.elapsed().as_millis() as u64);
        assert_took(closed_after(&mut stream).await, left);
    });
}

/// A connection is not idle while an answer is being sent, however long that takes.
#[test]
fn an_answer_may_take_longer_than_the_idle_time() {
    use crate::router_fixture::ReplicaBehavior::PausesStreamAfter;
    let talk = Route { max_event_gap_ms: Some(100_000), ..route("talk", RouteKind::Streaming) };
    let talk = Route { request_timeout_ms: 300_000, resumable: false, ..talk };
    run_scenario(1, Setup::default(), vec![talk], &[PausesStreamAfter(3, 20_000)], |fixture| async move {
        fixture.set_limits(RequestLimits { idle_timeout_ms: 2_000, header_timeout_ms: 500, ..LIMITS });
        let response = fixture.post("/talk/1").await;
        assert!(response.complete && response.status == 200, "{response:?}");
    });
}

/// Hundreds of clients that send slowly or nothing do not delay others.
#[test]
fn slow_clients_do_not_delay_others() {
    run_scenario(1, Setup::default(), vec![read()], &[], |fixture| async move {
        fixture.set_limits(LIMITS);
        let mut slow = Vec::new();
        for n in 0..600 {
            let mut stream = fixture.raw_connection().await;
            if n % 2 == 0 {
                stream.write_all(b"POST /read/1 HTTP/1.1\r\nhos").await.expect("sent");
            }
            slow.push(stream);
        }
        let response = fixture.post_with("/read/1", &[], full("ask")).await;
        assert!(response.status == 200 && response.elapsed_ms < 100, "{response:?}");
        drop(slow);
    });
}

/// A body that does not arrive within the route's `hold_ms` is given up, and no replica gets the request.
#[test]
fn slow_bodies_are_limited() {
    run_scenario(
        1,
        Setup::default(),
        vec![read()],
        &[],
        |fixture: std::sync::Arc<RouterFixture>| async move {
            fixture.set_limits(LIMITS);
            let response = fixture.post_withholding_body("/read/1", 10).await;
            assert_eq!(response.status, 408, "{response:?}");
            assert_took(response.elapsed_ms, read().request_timeout_ms);
            assert!(fixture.received_requests().is_empty());
        },
    );
}
