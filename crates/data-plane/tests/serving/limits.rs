//! What a client may send, how long it may take, and how long its connection may rest (design 9.2).

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

const LIMITS: RequestLimits =
    RequestLimits { max_header_bytes: 1_000, max_body_bytes: 64, header_wait_ms: 3_000, idle_ms: 15_000 };
/// How much of a span a client does not see, since the answer was on its way.
const WAY_MS: u64 = 5;
/// Beyond a bound by this much at most is still in time: a hundredth of the longest.
const SLACK_MS: u64 = 300;

fn read() -> Route {
    route("read", RouteKind::ReadOnly)
}

/// A whole head of exactly so many bytes.
fn head(bytes: usize) -> String {
    let bare = "POST /read/1 HTTP/1.1\r\nhost: example.org\r\ncontent-length: 0\r\nx-fill: \r\n\r\n";
    bare.replace("x-fill: ", &format!("x-fill: {}", "a".repeat(bytes - bare.len())))
}

/// The next answer's status and head, once its body is here too; nothing where the connection ended.
async fn answer(s: &mut Stream) -> Option<(u16, String)> {
    let mut got = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&got).to_ascii_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let long = head.lines().find_map(|l| l.strip_prefix("content-length: ")?.parse().ok());
            if body.len() >= long.unwrap_or(0usize) {
                let code = head.split(' ').nth(1)?.parse().ok()?;
                return Some((code, head.to_string()));
            }
        }
        let mut buf = [0u8; 4_096];
        match s.read(&mut buf).await {
            Ok(n) if n > 0 => got.extend_from_slice(&buf[..n]),
            _ => return None,
        }
    }
}

async fn ask(s: &mut Stream) -> Option<(u16, String)> {
    s.write_all(head(200).as_bytes()).await.ok()?;
    answer(s).await
}

/// Milliseconds until the router closes the connection.
async fn closed_after(s: &mut Stream) -> u64 {
    let began = Instant::now();
    let end = async { while matches!(s.read(&mut [0u8; 512]).await, Ok(n) if n > 0) {} };
    timeout(Duration::from_secs(600), end).await.expect("an end within ten minutes");
    began.elapsed().as_millis() as u64
}

fn within(seen: u64, least: u64) {
    let least_seen = least.saturating_sub(WAY_MS);
    assert!((least_seen..=least + SLACK_MS).contains(&seen), "{seen} ms, not {least}");
}

#[rstest]
#[case::small(200, 1_000, 200)]
#[case::at_the_limit(1_000, 1_000, 200)]
#[case::over_it(1_001, 1_000, 431)]
#[case::large_at_the_limit(40_000, 40_000, 200)]
#[case::large_over_it(40_001, 40_000, 431)]
#[case::far_over_it(500_000, 1_000, 431)]
fn a_head_may_be_so_long(#[case] bytes: usize, #[case] most: usize, #[case] code: u16) {
    run_scenario(1, Setup::default(), vec![read()], &[], move |fixture| async move {
        fixture.set_limits(RequestLimits { max_header_bytes: most, ..LIMITS });
        let mut s = fixture.raw_connection().await;
        let _ = s.write_all(head(bytes).as_bytes()).await;
        assert_eq!(answer(&mut s).await.map(|a| a.0), Some(code));
        assert_eq!(fixture.received_requests().len(), usize::from(code == 200));
        if code != 200 {
            within(closed_after(&mut s).await, 0);
        }
    });
}

/// A larger limit holds on connections that were opened before it, too; so does a smaller one.
#[test]
fn a_limit_that_changes_holds_on_open_connections() {
    run_scenario(1, Setup::default(), vec![read()], &[], |fixture| async move {
        fixture.set_limits(LIMITS);
        let mut s = fixture.raw_connection().await;
        assert_eq!(ask(&mut s).await.expect("an answer").0, 200);
        fixture.set_limits(RequestLimits { max_header_bytes: 30_000, ..LIMITS });
        s.write_all(head(30_000).as_bytes()).await.expect("sent");
        assert_eq!(answer(&mut s).await.expect("an answer").0, 200);
        fixture.set_limits(LIMITS);
        s.write_all(head(1_001).as_bytes()).await.expect("sent");
        assert_eq!(answer(&mut s).await.expect("an answer").0, 431);
    });
}

/// A head that is not here whole in time ends its connection, however it is spread; what comes sooner
/// is served.
#[rstest]
#[case::a_first_request(false)]
#[case::a_later_one(true)]
fn a_head_may_take_so_long(#[case] later: bool, #[values(500, 3_000, 40_000)] header_wait_ms: u64) {
    run_scenario(1, Setup::default(), vec![read()], &[], move |fixture| async move {
        fixture.set_limits(RequestLimits { header_wait_ms, ..LIMITS });
        let open = || async {
            let mut s = fixture.raw_connection().await;
            if later {
                ask(&mut s).await.expect("an answer");
                sleep(Duration::from_millis(5_000)).await;
            }
            s
        };
        let mut s = open().await;
        let (first, rest) = ("POST /read/1 HTTP/1.1\r\nhost: exam", "ple.org\r\ncontent-length: 0\r\n\r\n");
        s.write_all(first.as_bytes()).await.expect("sent");
        sleep(Duration::from_millis(header_wait_ms * 9 / 10)).await;
        s.write_all(rest.as_bytes()).await.expect("sent");
        assert_eq!(answer(&mut s).await.expect("an answer").0, 200);

        let s = open().await;
        let (mut reader, mut writer) = tokio::io::split(s);
        common::runtime::spawn(async move {
            let _ = writer.write_all(first.as_bytes()).await;
            while writer.write_all(b"x").await.is_ok() {
                sleep(Duration::from_millis(100)).await;
            }
        });
        let began = Instant::now();
        while matches!(reader.read(&mut [0u8; 512]).await, Ok(n) if n > 0) {}
        within(began.elapsed().as_millis() as u64, header_wait_ms);
    });
}

/// A connection that rests is there for the whole of its time and not for longer; that time is told
/// with each answer.
#[rstest]
fn a_connection_may_rest_so_long(#[values(2_000, 15_000, 60_000, 240_000)] idle_ms: u64) {
    run_scenario(1, Setup::default(), vec![read()], &[], move |fixture| async move {
        fixture.set_limits(RequestLimits { idle_ms, ..LIMITS });
        let mut s = fixture.raw_connection().await;
        for _ in 0..3 {
            let (code, head) = ask(&mut s).await.expect("an answer");
            assert_eq!(code, 200);
            assert!(head.contains(&format!("keep-alive: timeout={}\r\n", idle_ms / 1_000)), "{head}");
            sleep(Duration::from_millis(idle_ms * 9 / 10)).await;
        }
        ask(&mut s).await.expect("an answer");
        within(closed_after(&mut s).await, idle_ms);
        let mut fresh = fixture.raw_connection().await;
        within(closed_after(&mut fresh).await, idle_ms);
    });
}

/// A shorter time governs from the next answer on: what a client was told is kept to. A longer one
/// governs at once.
#[rstest]
#[case::shorter(60_000, 5_000, 60_000)]
#[case::longer(5_000, 60_000, 60_000)]
fn a_rest_that_was_told_is_kept_to(#[case] told: u64, #[case] then: u64, #[case] kept: u64) {
    run_scenario(1, Setup::default(), vec![read()], &[], move |fixture| async move {
        fixture.set_limits(RequestLimits { idle_ms: told, ..LIMITS });
        let mut s = fixture.raw_connection().await;
        ask(&mut s).await.expect("an answer");
        let (mut again, began) = (fixture.raw_connection().await, Instant::now());
        ask(&mut again).await.expect("an answer");
        sleep(Duration::from_millis(1_000)).await;
        fixture.set_limits(RequestLimits { idle_ms: then, ..LIMITS });
        ask(&mut again).await.expect("an answer");
        within(closed_after(&mut again).await, then);
        let left = kept.saturating_sub(began.elapsed().as_millis() as u64);
        within(closed_after(&mut s).await, left);
    });
}

/// A slow answer is no rest: it may take longer than a connection may be idle.
#[test]
fn an_answer_may_take_longer_than_a_rest() {
    use crate::router_fixture::ReplicaBehavior::PausesStreamAfter;
    let talk = Route { max_event_gap_ms: Some(100_000), ..route("talk", RouteKind::Streaming) };
    let talk = Route { hold_ms: 300_000, resumable: false, ..talk };
    run_scenario(1, Setup::default(), vec![talk], &[PausesStreamAfter(3, 20_000)], |fixture| async move {
        fixture.set_limits(RequestLimits { idle_ms: 2_000, header_wait_ms: 500, ..LIMITS });
        let response = fixture.post("/talk/1").await;
        assert!(response.complete && response.status == 200, "{response:?}");
    });
}

/// Hundreds that send slowly, or nothing, hold up nobody else.
#[test]
fn slow_clients_hold_up_no_other() {
    run_scenario(1, Setup::default(), vec![read()], &[], |fixture| async move {
        fixture.set_limits(LIMITS);
        let mut slow = Vec::new();
        for n in 0..600 {
            let mut s = fixture.raw_connection().await;
            if n % 2 == 0 {
                s.write_all(b"POST /read/1 HTTP/1.1\r\nhos").await.expect("sent");
            }
            slow.push(s);
        }
        let response = fixture.post_with("/read/1", &[], full("ask")).await;
        assert!(response.status == 200 && response.elapsed_ms < 100, "{response:?}");
        drop(slow);
    });
}

/// A body that comes too slowly is given up at the route's hold, and nobody ran it.
#[test]
fn a_body_may_take_as_long_as_the_request() {
    run_scenario(
        1,
        Setup::default(),
        vec![read()],
        &[],
        |fixture: std::sync::Arc<RouterFixture>| async move {
            fixture.set_limits(LIMITS);
            let response = fixture.post_withholding_body("/read/1", 10).await;
            assert_eq!(response.status, 408, "{response:?}");
            within(response.elapsed_ms, read().hold_ms);
            assert!(fixture.received_requests().is_empty());
        },
    );
}
