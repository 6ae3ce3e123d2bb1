//! HTTP/1.1 by hyper on both sides (design 1.9).

use crate::{
    error::{AtPeer, CONNECT, HANDSHAKE, PeerError, with_timeout},
    runtime::{Stream, dial, spawn},
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, combinators::BoxBody};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
    sync::atomic::{AtomicUsize, Ordering},
};
use tokio::io::{AsyncRead, AsyncWrite};

pub use crate::connection::{ConnectionLimits, CurrentLimits, serve, serve_with_limits};

/// Any error of a body or handler.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// A response or request body.
pub type Body = BoxBody<Bytes, BoxError>;

/// A body that is all there.
pub fn full(b: impl Into<Bytes>) -> Body {
    Full::new(b.into()).map_err(|e| match e {}).boxed()
}

/// A text response.
pub fn text(code: StatusCode, s: impl Into<String>) -> Response<Body> {
    with_type(code, "text/plain; charset=utf-8", s.into())
}

/// A JSON response.
pub fn json(code: StatusCode, v: &impl Serialize) -> Response<Body> {
    let s = serde_json::to_string(v).unwrap_or_else(|e| format!("{{\"error\":\"{e}\"}}"));
    with_type(code, "application/json", s)
}

fn with_type(code: StatusCode, kind: &str, s: String) -> Response<Body> {
    let mut r = Response::new(full(s));
    *r.status_mut() = code;
    if let Ok(v) = kind.parse() {
        r.headers_mut().insert("content-type", v);
    }
    r
}

/// Counts what is open (requests, connections), so that a graceful shutdown knows when it is done.
#[derive(Debug, Default)]
pub struct OpenCount(AtomicUsize);

/// Counts as open while it lives.
pub struct OpenGuard(Arc<OpenCount>);

impl OpenCount {
    /// Counts one more until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> OpenGuard {
        self.0.fetch_add(1, Ordering::AcqRel);
        OpenGuard(self.clone())
    }
    /// How many are open.
    pub fn open(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// An open client connection: the sender, and the task that drives it.
pub type RequestSender = SendRequest<Body>;

/// Opens a connection from the node's own address.
///
/// # Errors
/// The connection could not be opened; the kind of the error tells whether it was refused.
pub async fn connect(ip: IpAddr, to: SocketAddr) -> Result<Stream, PeerError> {
    dial(ip, to).await.map_err(|error| PeerError::connect_failed(to, error))
}

/// A new client connection to a replica or a peer, from the node's own address.
///
/// # Errors
/// The connection could not be opened within `ms`.
pub async fn open_client(ip: IpAddr, to: SocketAddr, ms: u64) -> Result<RequestSender, PeerError> {
    with_timeout(ms, CONNECT, to, async {
        let io = connect(ip, to).await?;
        client_over(io, to).await
    })
    .await
}

/// A client connection over a stream that is open already.
///
/// # Errors
/// The HTTP handshake failed.
pub async fn client_over<I>(io: I, to: SocketAddr) -> Result<RequestSender, PeerError>
where
    I: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let (tx, conn) = http1::handshake(TokioIo::new(io)).await.at_peer(HANDSHAKE, to)?;
    spawn(async move {
        let _ = conn.await;
    });
    Ok(tx)
}

/// Longest answer that [`ask`] reads, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A small exchange with a known peer; the answer is read whole.
///
/// # Errors
/// No whole answer came within `ms`.
pub async fn send_request(
    ip: IpAddr,
    to: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
    ms: u64,
) -> Result<(StatusCode, hyper::HeaderMap, Bytes), PeerError> {
    let step = "exchange";
    with_timeout(ms, step, to, async {
        let mut tx = open_client(ip, to, ms).await?;
        let req = headers
            .iter()
            .fold(Request::builder().method(method).uri(path), |b, (k, v)| b.header(*k, *v))
            .header("host", to.to_string())
            .body(full(body))
            .at_peer(step, to)?;
        let res = tx.send_request(req).await.at_peer(step, to)?;
        let (head, body) = res.into_parts();
        let bytes = Limited::new(body, MAX_ANSWER_BYTES).collect().await.at_peer(step, to)?.to_bytes();
        Ok::<_, PeerError>((head.status, head.headers, bytes))
    })
    .await
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than allowed.
    TooLarge,
    /// It ended before its announced end.
    Broken,
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            BodyError::TooLarge => "the body is over the limit",
            BodyError::Broken => "the body broke off",
        })
    }
}

impl std::error::Error for BodyError {}

/// Reads a whole body of at most `max` bytes.
///
/// # Errors
/// See [`BodyError`].
pub async fn read_body(body: Incoming, max: usize) -> Result<Bytes, BodyError> {
    let read = Limited::new(body, max).collect().await;
    read.map(|body| body.to_bytes()).map_err(|e| {
        if e.is::<http_body_util::LengthLimitError>() { BodyError::TooLarge } else { BodyError::Broken }
    })
}

/// Asks control nodes in turn until one gives an answer other than 503. A change that may have been sent is not sent to
/// another node: its outcome is undetermined.
///
/// # Errors
/// No node answered, or the outcome is undetermined.
pub async fn send_request_to_any(
    nodes: &[SocketAddr],
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
    ms: u64,
) -> eyre::Result<(StatusCode, hyper::HeaderMap, Bytes)> {
    eyre::ensure!(
        !nodes.is_empty(),
        "--core: missing; allowed: the HTTP address of a control node, up to three times"
    );
    let (ip, mut last) = (IpAddr::V4(Ipv4Addr::UNSPECIFIED), String::new());
    for to in nodes {
        match send_request(ip, *to, method.clone(), path, headers, body.clone(), ms).await {
            Ok((code, _, b)) if code == StatusCode::SERVICE_UNAVAILABLE => {
                last = format!("{to}: {}", String::from_utf8_lossy(&b));
            }
            Ok(answer) => return Ok(answer),
            Err(e) if e.step == CONNECT || method == Method::GET => last = e.to_string(),
            Err(e) => eyre::bail!("undetermined: {e}"),
        }
    }
    eyre::bail!("no control node could answer; last: {last}")
}
