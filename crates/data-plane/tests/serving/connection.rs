//! Tests of `data_plane::serving::connection` against a scripted peer in a world in memory: what the
//! types can't tell, and rely on the HTTP library for.

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
/// More than a connection of the world holds on its way.
const LONG: usize = 1 << 20;
/// A body comes in pieces of this length.
const PIECE: usize = 64 << 10;
/// A request may leave at any time.
const NEVER: Tick = Tick(u64::MAX);
const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nsaid";

/// Opens a connection to a peer that does what `f` says.
async fn to_peer<F: Future<Output = ()> + Send + 'static>(
    f: impl FnOnce(Stream) -> F + Send + 'static,
) -> Ready {
    let at: SocketAddr = (PEER, 80).into();
    let listener = bind(at).await.expect("the peer's address");
    spawn(async move {
        let (io, _) = listener.accept().await.expect("a connection");
        f(io).await;
    });
    Ready::Fresh(Fresh::open(IpAddr::from(HERE), at, 1_000).await.expect("a connection"))
}

fn request(body: usize) -> Request<Body> {
    let req = Request::post("/").header("host", "peer").header("content-length", body.to_string());
    let sizes = (0..body).step_by(PIECE).map(move |at| PIECE.min(body - at));
    let pieces: Vec<_> = sizes.map(|n| Ok(Frame::data(vec![b'x'; n].into()))).collect();
    let body = if body == 0 { full("") } else { BodyExt::boxed(StreamBody::new(stream::iter(pieces))) };
    req.body(body).expect("a request")
}

/// Reads so many bytes, or to the end.
async fn read(io: &mut Stream, most: usize) -> usize {
    let (mut got, mut buf) = (0, vec![0u8; 4096]);
    while got < most {
        let n = buf.len().min(most - got);
        match io.read(&mut buf[..n]).await {
            Ok(n) if n > 0 => got += n,
            _ => break,
        }
    }
    got
}

async fn rest(io: Stream) {
    sleep(Duration::from_secs(3_600)).await;
    drop(io);
}

/// An answer that comes before the request was sent whole leaves no connection: the rest of that request
/// would stand before the next one.
#[rstest]
#[case::before_all_was_sent(LONG, false)]
#[case::behind_it(LONG, true)]
#[case::short(100, true)]
#[case::no_body(0, true)]
fn an_answer_before_the_request_was_sent(
    #[case] long: usize,
    #[case] left: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    Simulation::run(seed, None, |_| async move {
        let ready = to_peer(move |mut io| async move {
            read(&mut io, if left { 40 + long } else { 200 }).await;
            io.write_all(ANSWER.as_bytes()).await.expect("to say it");
            rest(io).await;
        })
        .await;
        let Answer { mut body, .. } = ready.send(request(long), NEVER).await.expect("an answer");
        assert_eq!(body.read_to_end(100).await.expect("a body").as_ref(), b"said");
        let now = Clock::default().now();
        let idle = body.finish(now);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(idle.is_some_and(|i| i.usable(now)), left);
    });
}

/// What of a body was not read to its end leaves no connection.
#[rstest]
#[case::whole(&[ANSWER], true)]
#[case::cut(&["HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nsaid"], false)]
#[case::cut_in_a_chunk(&["HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nsa"], false)]
#[case::no_last_chunk(&["HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nsaid\r\n"], false)]
#[case::last_chunk(&["HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nsaid\r\n0\r\n\r\n"], true)]
#[case::until_it_closes(&["HTTP/1.1 200 OK\r\n\r\nsaid"], false)]
#[case::closing(&["HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 4\r\n\r\nsaid"], false)]
#[case::old(&["HTTP/1.0 200 OK\r\ncontent-length: 4\r\n\r\nsaid"], false)]
#[case::nothing(&["HTTP/1.1 204 No Content\r\n\r\n"], true)]
#[case::surplus(&[ANSWER, ANSWER], false)]
#[case::surplus_bytes(&[ANSWER, "\0"], false)]
fn what_leaves_a_connection(
    #[case] says: &'static [&'static str],
    #[case] left: bool,
    #[values(1, 2, 3)] seed: u64,
) {
    Simulation::run(seed, None, |_| async move {
        let ready = to_peer(move |mut io| async move {
            read(&mut io, 20).await;
            for part in says {
                io.write_all(part.as_bytes()).await.expect("to say it");
            }
            rest(io).await;
        })
        .await;
        let Answer { mut body, .. } = ready.send(request(3), NEVER).await.expect("an answer");
        let _ = timeout(Duration::from_secs(1), body.read_to_end(100)).await;
        let now = Clock::default().now();
        let idle = body.finish(now);
        sleep(Duration::from_millis(100)).await;
        assert_eq!(idle.is_some_and(|i| i.usable(now)), left);
    });
}

/// An idle connection is used inside its time only, and not once the peer has closed it or spoken on it.
#[rstest]
#[case::rests(None, 500, true)]
#[case::over_its_time(None, 2_000, false)]
#[case::closed(Some(""), 500, false)]
#[case::spoken_on(Some("HTTP/1.1 408 Late\r\ncontent-length: 0\r\n\r\n"), 500, false)]
fn an_idle_connection(#[case] then: Option<&'static str>, #[case] ms: u64, #[case] usable: bool) {
    Simulation::run(1, None, |_| async move {
        let ready = to_peer(move |mut io| async move {
            read(&mut io, 20).await;
            io.write_all(ANSWER.as_bytes()).await.expect("to say it");
            sleep(Duration::from_millis(200)).await;
            match then {
                Some("") => return,
                Some(says) => io.write_all(says.as_bytes()).await.expect("to say it"),
                None => {}
            }
            rest(io).await;
        })
        .await;
        let Answer { mut body, .. } = ready.send(request(3), NEVER).await.expect("an answer");
        body.read_to_end(100).await.expect("a body");
        let clock = Clock::default();
        let idle = body.finish(clock.now()).expect("a clean end");
        assert!(idle.usable(clock.now()));
        sleep(Duration::from_millis(ms)).await;
        assert_eq!(idle.usable(clock.now()), usable);
        assert!(!idle.usable(Tick(u64::MAX)), "nothing is kept for ever");
    });
}

/// "Not sent" is said only where the peer can't have read a byte of the request.
#[rstest]
fn not_sent_means_not_read(
    #[values(0, 1, 40, 100, 5_000, 300_000)] reads: usize,
    #[values(3, LONG)] long: usize,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    Simulation::run(seed, None, |_| async move {
        let got = Arc::new(AtomicUsize::new(0));
        let ready = to_peer({
            let got = got.clone();
            move |mut io| async move { got.store(read(&mut io, reads).await, Ordering::Relaxed) }
        })
        .await;
        sleep(Duration::from_millis(seed - 1)).await;
        let sent = timeout(Duration::from_secs(5), ready.send(request(long), NEVER)).await;
        if let Ok(Err(e)) = sent
            && e.is_canceled()
        {
            assert_eq!(got.load(Ordering::Relaxed), 0, "{e}");
        }
    });
}

/// A replica that reads nothing holds a request up; what may not leave any more when it reads again never comes.
#[rstest]
fn nothing_of_a_request_leaves_too_late(
    #[values(0, 200, 70_000)] first: usize,
    #[values(1, 2, 3)] seed: u64,
) {
    const LEAVE_MS: u64 = 2_000;
    Simulation::run(seed, None, |_| async move {
        let got = Arc::new(AtomicUsize::new(0));
        let ready = to_peer({
            let got = got.clone();
            move |mut io| async move {
                let early = read(&mut io, first).await;
                sleep(Duration::from_millis(LEAVE_MS + 500)).await;
                got.store(early + read(&mut io, usize::MAX).await, Ordering::Relaxed);
            }
        })
        .await;
        let leave_by = Clock::default().now() + LEAVE_MS;
        let sent = timeout(Duration::from_secs(60), ready.send(request(LONG), leave_by)).await;
        assert!(matches!(sent, Ok(Err(_))), "it neither left nor failed");
        sleep(Duration::from_secs(10)).await;
        let got = got.load(Ordering::Relaxed);
        assert!(got > 0 && got < LONG / 2, "{got} bytes came");
    });
}

/// A connection that was idle until the time of its former request had passed carries the next.
#[test]
fn each_request_has_its_own_time_to_leave() {
    Simulation::run(1, None, |_| async move {
        let ready = to_peer(|mut io| async move {
            for _ in 0..2 {
                read(&mut io, 20).await;
                io.write_all(ANSWER.as_bytes()).await.expect("to say it");
                sleep(Duration::from_millis(1_000)).await;
            }
            rest(io).await;
        })
        .await;
        let clock = Clock::default();
        let Answer { mut body, .. } = ready.send(request(0), clock.now() + 100).await.expect("an answer");
        body.read_to_end(100).await.expect("a body");
        let idle = body.finish(clock.now()).expect("a clean end");
        sleep(Duration::from_millis(500)).await;
        assert!(idle.usable(clock.now()), "its peer keeps it");
        Ready::Idle(idle).send(request(0), clock.now() + 5_000).await.expect("another answer");
    });
}
