//! A server's side of client connections: the listener, and for each connection how large a head may be,
//! how long it may take to arrive, and how long the connection may rest between requests.
//!
//! Owns the timing of a connection and nothing of what is asked on it.

mod timing;

use crate::{
    http::{Body, BoxError, OpenCount, OpenGuard, text},
    runtime::{Listener, Stream, spawn},
};
use futures::FutureExt;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use std::{future::poll_fn, net::SocketAddr, pin::pin, sync::Arc, task::Poll, time::Duration};
use timing::{Progress, TimedBody, TimedStream};
use tokio::{
    sync::watch,
    time::{Instant, sleep, sleep_until},
};

/// How long a connection that is open at a stop may still bring its first request.
const LAST_REQUESTS: Duration = Duration::from_millis(500);
/// How long to wait after the system had no room for another connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Least buffer of a connection. A limit may rise while connections are open, so that the buffer is several
/// times the limit, and the exact size is checked once the head is here.
const LEAST_BUFFER_BYTES: usize = 64 << 10;
const BUFFER_PER_LIMIT: usize = 4;

/// What a client may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Largest request line and headers together.
    pub max_header_bytes: usize,
    /// Longest time from a head's first byte to its last.
    pub header_timeout_ms: u64,
    /// Longest rest without a request.
    pub idle_timeout_ms: u64,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self { max_header_bytes: 64 << 10, header_timeout_ms: 30_000, idle_timeout_ms: 30_000 }
    }
}

/// Tells the limits in force at the moment; they may change while connections are open.
pub type CurrentLimits = Arc<dyn Fn() -> ConnectionLimits + Send + Sync>;

/// Serves under the default limits until `stop` turns true.
pub async fn serve<F, Fut>(
    listener: impl Into<Listener>,
    connections: Arc<OpenCount>,
    stop: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(SocketAddr, Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Result<Response<Body>, BoxError>> + Send + 'static,
{
    serve_with_limits(listener, connections, stop, Arc::new(ConnectionLimits::default), handler).await;
}

/// Serves until `stop` turns true. Then what already waits to be accepted is still taken, and
/// each open connection may bring what is on its way, before it is closed in good order.
pub async fn serve_with_limits<F, Fut>(
    listener: impl Into<Listener>,
    connections: Arc<OpenCount>,
    stop: watch::Receiver<bool>,
    limits: CurrentLimits,
    handler: F,
) where
    F: Fn(SocketAddr, Request<Incoming>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Result<Response<Body>, BoxError>> + Send + 'static,
{
    let in_force = limits.clone();
    let timed_handler = move |peer, request, progress: Arc<Progress>| {
        progress.request_begins();
        let too_large = head_bytes(&request) > in_force().max_header_bytes;
        let answer = (!too_large).then(|| handler(peer, request));
        let limits = in_force.clone();
        async move {
            let answer = match answer {
                Some(answer) => answer.await?,
                None => head_too_large(),
            };
            Ok(timed(answer, progress, limits().idle_timeout_ms))
        }
    };
    accept_all(listener.into(), connections, stop, limits, timed_handler).await;
}

async fn accept_all<F, Fut>(
    listener: Listener,
    connections: Arc<OpenCount>,
    mut stop: watch::Receiver<bool>,
    limits: CurrentLimits,
    handler: F,
) where
    F: Fn(SocketAddr, Request<Incoming>, Arc<Progress>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Result<Response<TimedBody>, BoxError>> + Send + 'static,
{
    let start = |io, peer, stop| {
        spawn(serve_one(io, peer, connections.enter(), stop, limits.clone(), handler.clone()));
    };
    loop {
        let accepted = tokio::select! {
            biased;
            _ = async { let _ = stop.wait_for(|s| *s).await; } => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((io, peer)) => start(io, peer, stop.clone()),
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
    while let Some(Ok((io, peer))) = listener.accept().now_or_never() {
        start(io, peer, stop.clone());
    }
}

async fn serve_one<F, Fut>(
    io: Stream,
    peer: SocketAddr,
    _guard: OpenGuard,
    mut stop: watch::Receiver<bool>,
    limits: CurrentLimits,
    handler: F,
) where
    F: Fn(SocketAddr, Request<Incoming>, Arc<Progress>) -> Fut,
    Fut: Future<Output = Result<Response<TimedBody>, BoxError>>,
{
    let progress = Arc::new(Progress::new());
    let io = TimedStream { io, progress: progress.clone() };
    let timing = progress.clone();
    let service = service_fn(move |request| handler(peer, request, timing.clone()));
    let buffer = (limits().max_header_bytes.saturating_mul(BUFFER_PER_LIMIT)).max(LEAST_BUFFER_BYTES);
    let connection = hyper::server::conn::http1::Builder::new()
        .max_buf_size(buffer)
        .half_close(false)
        .serve_connection(TokioIo::new(io), service);
    tokio::pin!(connection);
    let stopped = async {
        let _ = stop.wait_for(|s| *s).await;
        sleep(LAST_REQUESTS).await;
    };
    let mut overdue = pin!(overdue(&progress, &limits));
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        _ = overdue.as_mut() => return,
        _ = stopped => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        biased;
        _ = connection => {}
        _ = overdue => {}
    }
}

/// Ends when a client takes longer than it may. It is polled behind its connection: what has already
/// arrived is read before the time is looked at, so that a process that was held up cuts nobody off.
async fn overdue(progress: &Progress, limits: &CurrentLimits) {
    let mut timer = pin!(sleep_until(Instant::now()));
    poll_fn(|context| {
        loop {
            let Some(due) = progress.due(&limits()) else {
                return Poll::Pending;
            };
            if due <= Instant::now() {
                return Poll::Ready(());
            }
            if timer.is_elapsed() || due < timer.deadline() {
                timer.as_mut().reset(due);
            }
            if timer.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
        }
    })
    .await;
}

/// Tells the client how long its connection may rest, and the connection when the answer has ended.
fn timed(mut answer: Response<Body>, progress: Arc<Progress>, idle_timeout_ms: u64) -> Response<TimedBody> {
    progress.answer_begins(idle_timeout_ms);
    tell_idle_time(&mut answer, idle_timeout_ms);
    answer.map(|body| TimedBody { body, progress })
}

/// The size of a request's head as it is usually written.
fn head_bytes(request: &Request<Incoming>) -> usize {
    const LINE_END: usize = 2;
    let target = request.uri().path_and_query().map_or(1, |p| p.as_str().len());
    let line = request.method().as_str().len() + 1 + target + " HTTP/1.1".len() + LINE_END;
    let field = |(name, value): (&hyper::header::HeaderName, &HeaderValue)| {
        name.as_str().len() + ": ".len() + value.len() + LINE_END
    };
    line + request.headers().iter().map(field).sum::<usize>() + LINE_END
}

fn head_too_large() -> Response<Body> {
    let mut answer = text(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head over the limit\n");
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

fn tell_idle_time(answer: &mut Response<Body>, idle_timeout_ms: u64) {
    let seconds = idle_timeout_ms / 1_000;
    if seconds == 0 || answer.headers().contains_key(CONNECTION) {
        return;
    }
    if let Ok(value) = format!("timeout={seconds}").parse() {
        answer.headers_mut().insert("keep-alive", value);
    }
}
