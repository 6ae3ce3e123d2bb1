//! Tests of `data_plane::serving::connection` against a scripted peer in a simulated network: properties that the
//! types can't guarantee because they depend on the HTTP library.

use common::{
    Clock, Tick,
    http::{Body, full},
    runtime::{Simulation, Stream, bind, spawn},
};
use data_plane::serving::connection::{Answer, Fresh, Ready};
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::{Request, body::Frame};
use rstest::rstest;
use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    time::{sleep, timeout},
};

const HERE: [u8; 4] = [10, 0, 0, 1];
const PEER: [u8; 4] = [10, 0, 1, 1];
/// A body longer than what a simulated connection buffers.
const LONG: usize = 1 << 20;
/// Bodies are sent in pieces of this length.
const PIECE: usize = 64 << 10;
/// A `send_by` that never passes.
const NO_LIMIT: Tick = Tick(u64::MAX);
const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nsaid";

/// Opens a connection to a peer that runs `behavior`.
async fn connect_to_peer<F: Future<Output = ()> + Send + 'static>(
    behavior: impl FnOnce(Stream) -> F + Send + 'static,
) -> Ready {
    let at: SocketAddr = (PEER, 80).into();
    let listener = bind(at).await.expect("the peer's address");
    spawn(async move {
        let (io, _) = listener.accept().await.expect("a connection");
        behavior(io).await;
    });
    Ready::Fresh(Fresh::open(IpAddr::from(HERE), at, 1_000).await.expect("a connection"))
}

/// A request with a body of this length.
fn request(body: usize) -> Request<Body> {
    let req = Request::post("/").header("host", "peer").header("content-length", body.to_string());
    let sizes = (0..body).step_by(PIECE).map(move |at| PIECE.min(body - at));
    let pieces: Vec<_> = sizes.map(|n| Ok(Frame::data(vec![b'x'; n].into()))).collect();
    let body = if body == 0 { full("") } else { BodyExt::boxed(StreamBody::new(stream::iter(pieces))) };
    req.body(body).expect("a request")
}

/// Reads up to this many bytes, or to the end; returns how many.
async fn read(io: &mut Stream, max: usize) -> usize {
    let (mut got, mut buf) = (0, vec![0u8; 4096]);
    while got < max {
        let n = buf.len().min(max - got);
        match io.read(&mut buf[..n]).await {
            Ok(n) if n > 0 => got += n,
            _ => break,
        }
    }
    got
}

/// Keeps the connection open.
async fn hold_open(io: Stream) {
    sleep(Duration::from_secs(3_600)).await;
    drop(io);
}

/// After an answer that arrives before the whole request was sent, the connection is not reused: the rest of that
/// request would precede the next one.
#[rstest]
#[case::before_all_was_sent(LONG, false)]
#[case::after_it(LONG, true)]
#[case::short(100, true)]
#[case::no_body(0, true)]
fn an_early_answer_leaves_no_connection(
    #[case] length: usize,
    #[case] reusable: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    Simulation::run(seed, None, |_| async move {
        let ready = connect_to_peer(move |mut io| async move {
            read(&mut io, if reusable { 40 + length } else { 200 }).await;
            io.write_all(ANSWER.as_bytes()).await.expect("to send");
            hold_open(io).await;
        })
        .await;
        let Answer { mut body, .. } = ready.send(request(length), NO_LIMIT).await.expect("an answer");
        assert_eq!(body.read_to_end(100).await.expect("a body").as_ref(), b"said");
        let now = Clock::default().now();
        let idle = body.finish(now);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(idle.is_some_and(|i| i.usable(now)), reusable);
    });
}

/// Only a body that was read to its regular end leaves a connection that may be reused.
#[rstest]
#[case::complete(&[ANSWER], true)]
#[case::cut(&["HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nsaid"], false)]
#[case::cut_in_a_chunk(&["HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nsa"], false)]
#[case::no_last_chunk(&["HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nsaid\r\n"], false)]
#[case::last_chunk(&["HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nsaid\r\n0\r\n\r\n"], true)]
#[case::until_it_closes(&["HTTP/1.1 200 OK\r\n\r\nsaid"], false)]
#[case::closing(&["HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4\r\n\r\nsaid"], false)]
#[case::http_1_0(&["HTTP/1.0 200 OK\r\ncontent-length: 4\r\n\r\nsaid"], false)]
#[case::no_content(&["HTTP/1.1 204 No Content\r\n\r\n"], true)]
#[case::surplus(&[ANSWER, ANSWER], false)]
#[case::surplus_bytes(&[ANSWER, "\0"], false)]
fn which_answers_leave_a_connection(
    #[case] parts: &'static [&'static str],
    #[case] reusable: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    Simulation::run(seed, None, |_| async move {
        let ready = connect_to_peer(move |mut io| async move {
            read(&mut io, 20).await;
            for part in parts {
                io.write_all(part.as_bytes()).await.expect("to send");
            }
            hold_open(io).await;
        })
        .await;
        let Answer { mut body, .. } = ready.send(request(3), NO_LIMIT).await.expect("an answer");
        let _ = timeout(Duration::from_secs(1), body.read_to_end(100)).await;
        let now = Clock::default().now();
        let idle = body.finish(now);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(idle.is_some_and(|i| i.usable(now)), reusable);
    });
}

/// An idle connection is usable only within its time, and not after the peer has closed it or sent something on it.
#[rstest]
#[case::idle(None, 500, true)]
#[case::over_its_time(None, 2_000, false)]
#[case::closed(Some(""), 500, false)]
#[case::unrequested_answer(Some("HTTP/1.1 408 Late\r\ncontent-length: 0\r\n\r\n"), 500, false)]
fn an_idle_connection(#[case] then: Option<&'static str>, #[case] ms: u64, #[case] usable: bool) {
    Simulation::run(1, None, |_| async move {
        let ready = connect_to_peer(move |mut io| async move {
            read(&mut io, 20).await;
            io.write_all(ANSWER.as_bytes()).await.expect("to send");
            sleep(Duration::from_millis(200)).await;
            match then {
                Some("") => return,
                Some(text) => io.write_all(text.as_bytes()).await.expect("to send"),
                None => {}
            }
            hold_open(io).await;
        })
        .await;
        let Answer { mut body, .. } = ready.send(request(3), NO_LIMIT).await.expect("an answer");
        body.read_to_end(100).await.expect("a body");
        let clock = Clock::default();
        let idle = body.finish(clock.now()).expect("a clean end");
        assert!(idle.usable(clock.now()));
        sleep(Duration::from_millis(ms)).await;
        assert_eq!(idle.usable(clock.now()), usable);
        assert!(!idle.usable(Tick(u64::MAX)), "no connection is kept forever");
    });
}

/// A request is reported as not sent only if the peer can't have read a byte of it.
#[rstest]
fn not_sent_means_not_read(
    #[values(0, 1, 40, 100, 5_000, 300_000)] reads: usize,
    #[values(3, LONG)] length: usize,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    Simulation::run(seed, None, |_| async move {
        let got = Arc::new(AtomicUsize::new(0));
        let ready = connect_to_peer({
            let got = got.clone();
            move |mut io| async move { got.store(read(&mut io, reads).await, Ordering::Relaxed) }
        })
        .await;
        sleep(Duration::from_millis(seed - 1)).await;
        let sent = timeout(Duration::from_secs(5), ready.send(request(length), NO_LIMIT)).await;
        if let Ok(Err(e)) = sent
            && e.is_canceled()
        {
            assert_eq!(got.load(Ordering::Relaxed), 0, "{e}");
        }
    });
}

/// The peer stops reading, so that writing a request blocks. When it reads again after `send_by`, the rest is not
/// sent.
#[rstest]
fn nothing_is_sent_after_send_by(#[values(0, 200, 70_000)] first: usize, #[values(1, 2, 3)] seed: u64) {
    const SEND_WITHIN_MS: u64 = 2_000;
    Simulation::run(seed, None, |_| async move {
        let got = Arc::new(AtomicUsize::new(0));
        let ready = connect_to_peer({
            let got = got.clone();
            move |mut io| async move {
                let early = read(&mut io, first).await;
                sleep(Duration::from_millis(SEND_WITHIN_MS + 500)).await;
                got.store(early + read(&mut io, usize::MAX).await, Ordering::Relaxed);
            }
        })
        .await;
        let send_by = Clock::default().now() + SEND_WITHIN_MS;
        let sent = timeout(Duration::from_secs(60), ready.send(request(LONG), send_by)).await;
        assert!(matches!(sent, Ok(Err(_))), "the request was neither sent nor failed");
        sleep(Duration::from_secs(10)).await;
        let got = got.load(Ordering::Relaxed);
        assert!(got > 0 && got < LONG / 2, "{got} bytes arrived");
    });
}

/// A connection can carry another request after the `send_by` of the previous one has passed.
#[test]
fn each_request_has_its_own_send_by() {
    Simulation::run(1, None, |_| async move {
        let ready = connect_to_peer(|mut io| async move {
            for _ in 0..2 {
                read(&mut io, 20).await;
                io.write_all(ANSWER.as_bytes()).await.expect("to send");
                sleep(Duration::from_millis(1_000)).await;
            }
            hold_open(io).await;
        })
        .await;
        let clock = Clock::default();
        let Answer { mut body, .. } = ready.send(request(0), clock.now() + 100).await.expect("an answer");
        body.read_to_end(100).await.expect("a body");
        let idle = body.finish(clock.now()).expect("a clean end");
        sleep(Duration::from_millis(500)).await;
        assert!(idle.usable(clock.now()), "the peer keeps it open");
        Ready::Idle(idle).send(request(0), clock.now() + 5_000).await.expect("another answer");
    });
}
