//! The server side of client connections: accepting them, and for each one the limits on the size of a request's head
//! (request line and headers), on the time in which it must arrive, and on the idle time between requests.
//!
//! This module knows nothing of the requests' content.

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

/// How long connections that are open at shutdown keep accepting requests.
const SHUTDOWN_GRACE: Duration = Duration::from_millis(500);
/// Pause after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Smallest read buffer of a connection.
const MIN_BUFFER_BYTES: usize = 64 << 10;
/// Size of a connection's read buffer as a multiple of the limit on heads. The limit may rise while the connection is
/// open, so the buffer is larger than it, and the exact size is checked once the head has arrived.
const BUFFER_PER_HEADER_LIMIT: usize = 4;

/// Limits on what a client may send and on how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Largest size of the request line and headers together.
    pub max_header_bytes: usize,
    /// Longest time from the first byte of a head to its last, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time without a request, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self { max_header_bytes: 64 << 10, header_timeout_ms: 30_000, idle_timeout_ms: 30_000 }
    }
}

/// Returns the current limits, which may change while connections are open.
pub type CurrentLimits = Arc<dyn Fn() -> ConnectionLimits + Send + Sync>;

/// Serves with the default limits until `stop` turns true.
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

/// Serves with the given limits until `stop` turns true.
///
/// Connections that are already waiting at that time are still accepted, and open connections may still deliver requests
/// that are on their way before they are shut down gracefully.
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
    let handler_limits = limits.clone();
    let timed_handler = move |peer, request, progress: Arc<Progress>| {
        progress.request_begins();
        let too_large = head_bytes(&request) > handler_limits().max_header_bytes;
        let response = (!too_large).then(|| handler(peer, request));
        let limits = handler_limits.clone();
        async move {
            let response = match response {
                Some(response) => response.await?,
                None => head_too_large(),
            };
            Ok(timed(response, progress, limits().idle_timeout_ms))
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
    let start = |stream, peer, stop| {
        spawn(serve_one(stream, peer, connections.enter(), stop, limits.clone(), handler.clone()));
    };
    loop {
        let accepted = tokio::select! {
            biased;
            _ = async { let _ = stop.wait_for(|stopped| *stopped).await; } => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, peer)) => start(stream, peer, stop.clone()),
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
    while let Some(Ok((stream, peer))) = listener.accept().now_or_never() {
        start(stream, peer, stop.clone());
    }
}

async fn serve_one<F, Fut>(
    stream: Stream,
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
    let stream = TimedStream { inner: stream, progress: progress.clone() };
    let request_progress = progress.clone();
    let service = service_fn(move |request| handler(peer, request, request_progress.clone()));
    let buffer = (limits().max_header_bytes.saturating_mul(BUFFER_PER_HEADER_LIMIT)).max(MIN_BUFFER_BYTES);
    let connection = hyper::server::conn::http1::Builder::new()
        .max_buf_size(buffer)
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let stopped = async {
        let _ = stop.wait_for(|stopped| *stopped).await;
        sleep(SHUTDOWN_GRACE).await;
    };
    let mut timed_out = pin!(timed_out(&progress, &limits));
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        _ = timed_out.as_mut() => return,
        _ = stopped => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        biased;
        _ = connection => {}
        _ = timed_out => {}
    }
}

/// Completes when the client exceeds a time limit.
///
/// It is polled after its connection, so that bytes that have already arrived are read before the deadline is checked and
/// no client is cut off because this process was delayed.
async fn timed_out(progress: &Progress, limits: &CurrentLimits) {
    let mut timer = pin!(sleep_until(Instant::now()));
    poll_fn(|context| {
        loop {
            let Some(deadline) = progress.deadline(&limits()) else {
                return Poll::Pending;
            };
            if deadline <= Instant::now() {
                return Poll::Ready(());
            }
            if timer.is_elapsed() || deadline < timer.deadline() {
                timer.as_mut().reset(deadline);
            }
            if timer.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
        }
    })
    .await;
}

/// Announces the idle timeout to the client and wraps the body, so that the connection's progress learns when the response
/// has ended.
fn timed(mut response: Response<Body>, progress: Arc<Progress>, idle_timeout_ms: u64) -> Response<TimedBody> {
    progress.response_begins(idle_timeout_ms);
    announce_idle_timeout(&mut response, idle_timeout_ms);
    response.map(|body| TimedBody { body, progress })
}

/// The size of a request's head in its usual HTTP/1.1 form.
fn head_bytes(request: &Request<Incoming>) -> usize {
    const LINE_END: usize = 2;
    let target = request.uri().path_and_query().map_or(1, |path| path.as_str().len());
    let request_line = request.method().as_str().len() + 1 + target + " HTTP/1.1".len() + LINE_END;
    let field = |(name, value): (&hyper::header::HeaderName, &HeaderValue)| {
        name.as_str().len() + ": ".len() + value.len() + LINE_END
    };
    request_line + request.headers().iter().map(field).sum::<usize>() + LINE_END
}

fn head_too_large() -> Response<Body> {
    let mut response = text(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head over the limit\n");
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Adds a `keep-alive` header, unless the timeout is below a second or the response has a `connection` header.
fn announce_idle_timeout(response: &mut Response<Body>, idle_timeout_ms: u64) {
    let seconds = idle_timeout_ms / 1_000;
    if seconds == 0 || response.headers().contains_key(CONNECTION) {
        return;
    }
    if let Ok(value) = format!("timeout={seconds}").parse() {
        response.headers_mut().insert("keep-alive", value);
    }
}
