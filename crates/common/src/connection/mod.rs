//! The server side of client connections: accepting them, and for each one the limits on the size of a request's head
//! (request line and headers), on the time in which it must arrive, and on the idle time between requests.
//!
//! This module knows nothing of the requests' content.

mod body;
mod discard;
mod open_connections;
mod response;
mod stream;
mod timing;
mod unidentified;

pub use body::{BodyError, RequestBody};
pub(crate) use unidentified::{UnidentifiedConnection, UnidentifiedConnections};

use crate::{
    http::{Body, BoxError, OpenCount, OpenGuard},
    memory_budget::MemoryBudget,
    runtime::{Listener, Stream, spawn},
    settings::Resources,
};
use discard::discard_rest;
use futures::FutureExt;
use hyper::{
    Request, Response,
    body::{Body as _, Incoming},
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use open_connections::{ListedConnection, OpenConnections};
use response::{head_bytes, head_too_large, no_room, timed};
use std::{net::SocketAddr, pin::pin, sync::Arc, time::Duration};
use stream::{ReturnedStream, TimedBody, TimedStream};
use timing::{Progress, timed_out};
use tokio::{sync::watch, time::sleep};

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
    /// Longest time without a request, or in which the client takes no byte of an answer, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self { max_header_bytes: 64 << 10, header_timeout_ms: 10_000, idle_timeout_ms: 30_000 }
    }
}

/// Returns the current limits, which may change while connections are open.
pub type CurrentLimits = Arc<dyn Fn() -> ConnectionLimits + Send + Sync>;

/// What the listeners of a process share: memory for the bytes of requests, and a largest number of connections.
pub struct Admission {
    memory: Arc<MemoryBudget>,
    connections: Arc<OpenConnections>,
}

impl Admission {
    /// For a process with these resources.
    pub fn of(resources: &Resources) -> Self {
        let memory = MemoryBudget::new(resources.request_bytes());
        let connections = OpenConnections::new(resources.client_connections());
        Self { memory, connections }
    }
}

impl Default for Admission {
    /// For a process with the default resources.
    fn default() -> Self {
        Self::of(&Resources::default())
    }
}

/// How the connections of a listener are served.
struct Server<F> {
    admission: Arc<Admission>,
    limits: CurrentLimits,
    handler: F,
}

/// Serves with the default limits until `stop` turns true.
pub async fn serve<F, Fut>(
    listener: impl Into<Listener>,
    admission: Arc<Admission>,
    connections: Arc<OpenCount>,
    stop: watch::Receiver<bool>,
    handler: F,
) where
    F: Fn(SocketAddr, Request<RequestBody>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Result<Response<Body>, BoxError>> + Send + 'static,
{
    let limits = Arc::new(ConnectionLimits::default);
    serve_with_limits(listener, admission, connections, stop, limits, handler).await;
}

/// Serves with the given limits until `stop` turns true.
///
/// Connections that are already waiting at that time are still accepted, and open connections may still deliver requests
/// that are on their way before they are shut down gracefully.
pub async fn serve_with_limits<F, Fut>(
    listener: impl Into<Listener>,
    admission: Arc<Admission>,
    connections: Arc<OpenCount>,
    mut stop: watch::Receiver<bool>,
    limits: CurrentLimits,
    handler: F,
) where
    F: Fn(SocketAddr, Request<RequestBody>) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Result<Response<Body>, BoxError>> + Send + 'static,
{
    let listener = listener.into();
    let server = Arc::new(Server { admission, limits, handler });
    let start = |stream, peer, stop| {
        let progress = Arc::new(Progress::new(&server.admission.memory));
        // Without room the connection is closed at once, and the client may ask another node.
        let Some(listed) = server.admission.connections.enter(progress.clone()) else { return };
        let connection =
            AcceptedConnection { stream, peer, progress, _open: connections.enter(), _listed: listed };
        spawn(connection.serve(server.clone(), stop));
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

impl<F, Fut> Server<F>
where
    F: Fn(SocketAddr, Request<RequestBody>) -> Fut,
    Fut: Future<Output = Result<Response<Body>, BoxError>>,
{
    /// Has the handler answer a request, unless its head is too large.
    async fn answer(
        &self,
        peer: SocketAddr,
        request: Request<Incoming>,
        progress: Arc<Progress>,
    ) -> Result<Response<TimedBody>, BoxError> {
        let response = if !progress.request_begins(!request.body().is_end_stream()) {
            no_room()
        } else if head_bytes(&request) > (self.limits)().max_header_bytes {
            head_too_large()
        } else {
            let memory = self.admission.memory.clone();
            let request = request.map(|body| RequestBody::new(body, progress.clone(), memory));
            (self.handler)(peer, request).await?
        };
        Ok(timed(response, progress, (self.limits)().idle_timeout_ms))
    }
}

/// A connection that was just accepted.
struct AcceptedConnection {
    stream: Stream,
    peer: SocketAddr,
    progress: Arc<Progress>,
    _open: OpenGuard,
    _listed: ListedConnection,
}

impl AcceptedConnection {
    /// Serves the connection to its end. A client that is still sending after its answer gets time to read the answer.
    async fn serve<F, Fut>(self, server: Arc<Server<F>>, stop: watch::Receiver<bool>)
    where
        F: Fn(SocketAddr, Request<RequestBody>) -> Fut,
        Fut: Future<Output = Result<Response<Body>, BoxError>>,
    {
        let Self { stream, peer, progress, .. } = self;
        let returned = ReturnedStream::default();
        let stream = TimedStream::new(stream, progress.clone(), returned.clone());
        let in_time = serve_http(stream, peer, &progress, &server, stop).await;
        if !in_time || !progress.begin_discarding() {
            return;
        }
        let Some(stream) = returned.take() else { return };
        tokio::select! {
            () = discard_rest(stream) => {}
            () = timed_out(&progress, || (server.limits)()) => {}
        }
    }
}

/// Serves HTTP on a stream until the connection is done; returns whether it ended before a time limit.
async fn serve_http<F, Fut>(
    stream: TimedStream,
    peer: SocketAddr,
    progress: &Arc<Progress>,
    server: &Server<F>,
    mut stop: watch::Receiver<bool>,
) -> bool
where
    F: Fn(SocketAddr, Request<RequestBody>) -> Fut,
    Fut: Future<Output = Result<Response<Body>, BoxError>>,
{
    let service = service_fn(|request| server.answer(peer, request, progress.clone()));
    let header_limit = (server.limits)().max_header_bytes;
    let connection = hyper::server::conn::http1::Builder::new()
        .max_buf_size(header_limit.saturating_mul(BUFFER_PER_HEADER_LIMIT).max(MIN_BUFFER_BYTES))
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let stopped = async {
        let _ = stop.wait_for(|stopped| *stopped).await;
        sleep(SHUTDOWN_GRACE).await;
    };
    let mut timed_out = pin!(timed_out(progress, || (server.limits)()));
    tokio::select! {
        biased;
        _ = connection.as_mut() => return true,
        () = timed_out.as_mut() => return false,
        () = stopped => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        biased;
        _ = connection => true,
        () = timed_out => false,
    }
}
