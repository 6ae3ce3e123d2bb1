//! HTTP/1.1 clients and servers on top of hyper (design 1.9).

use crate::{
    error::{AtPeer, CONNECT, HANDSHAKE, PeerError, with_timeout},
    runtime::{Stream, dial, spawn},
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, combinators::BoxBody};
use hyper::{
    Method, Request, Response, StatusCode,
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

pub use crate::connection::{
    Admission, BodyError, ConnectionLimits, CurrentLimits, RequestBody, serve, serve_with_limits,
};

/// Any error of a body or handler.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// A response or request body.
pub type Body = BoxBody<Bytes, BoxError>;

/// A body whose bytes are already in memory.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// A plain-text response.
pub fn text(status: StatusCode, content: impl Into<String>) -> Response<Body> {
    with_content_type(status, "text/plain; charset=utf-8", content.into())
}

/// A JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let content = serde_json::to_string(value).unwrap_or_else(|e| format!("{{\"error\":\"{e}\"}}"));
    with_content_type(status, "application/json", content)
}

fn with_content_type(status: StatusCode, content_type: &str, content: String) -> Response<Body> {
    let mut response = Response::new(full(content));
    *response.status_mut() = status;
    if let Ok(value) = content_type.parse() {
        response.headers_mut().insert("content-type", value);
    }
    response
}

/// Counts open requests or connections, so that a graceful shutdown knows when none is left.
#[derive(Debug, Default)]
pub struct OpenCount(AtomicUsize);

/// Stands for one open request or connection in an [`OpenCount`] until it is dropped.
pub struct OpenGuard(Arc<OpenCount>);

impl OpenCount {
    /// Adds one until the returned guard is dropped.
    pub fn enter(self: &Arc<Self>) -> OpenGuard {
        self.0.fetch_add(1, Ordering::AcqRel);
        OpenGuard(self.clone())
    }
    /// The number of open requests or connections.
    pub fn open(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Sends requests on an open client connection.
pub type RequestSender = SendRequest<Body>;

/// Opens a connection from the node's own address.
///
/// # Errors
/// The connection could not be opened; [`PeerError::kind`] tells whether it was refused.
pub async fn connect(ip: IpAddr, to: SocketAddr) -> Result<Stream, PeerError> {
    dial(ip, to).await.map_err(|error| PeerError::connect_failed(to, error))
}

/// Opens an HTTP client connection from the node's own address.
///
/// # Errors
/// The connection could not be opened within `timeout_ms`.
pub async fn open_client(ip: IpAddr, to: SocketAddr, timeout_ms: u64) -> Result<RequestSender, PeerError> {
    with_timeout(timeout_ms, CONNECT, to, async {
        let stream = connect(ip, to).await?;
        client_over(stream, to).await
    })
    .await
}

/// An HTTP client connection over a stream that is already open.
///
/// # Errors
/// The HTTP handshake failed.
pub async fn client_over<S>(stream: S, to: SocketAddr) -> Result<RequestSender, PeerError>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
{
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.at_peer(HANDSHAKE, to)?;
    spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// Longest response body that [`send_request`] reads.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Sends one request on a new connection and reads the whole response.
///
/// # Errors
/// The response was not complete within `timeout_ms`, or the connection failed.
pub async fn send_request(
    ip: IpAddr,
    to: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
    timeout_ms: u64,
) -> Result<(StatusCode, hyper::HeaderMap, Bytes), PeerError> {
    let step = "exchange";
    with_timeout(timeout_ms, step, to, async {
        let mut sender = open_client(ip, to, timeout_ms).await?;
        let request = headers
            .iter()
            .fold(Request::builder().method(method).uri(path), |builder, (name, value)| {
                builder.header(*name, *value)
            })
            .header("host", to.to_string())
            .body(full(body))
            .at_peer(step, to)?;
        let response = sender.send_request(request).await.at_peer(step, to)?;
        let (head, body) = response.into_parts();
        let bytes = Limited::new(body, MAX_RESPONSE_BYTES).collect().await.at_peer(step, to)?.to_bytes();
        Ok::<_, PeerError>((head.status, head.headers, bytes))
    })
    .await
}

/// Sends a request to one control node after another until one responds with a status other than 503.
///
/// Once a request other than GET may have been sent, it is not sent to another node: its outcome is undetermined.
///
/// # Errors
/// No node responded, or the outcome is undetermined.
pub async fn send_request_to_any(
    nodes: &[SocketAddr],
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
    timeout_ms: u64,
) -> eyre::Result<(StatusCode, hyper::HeaderMap, Bytes)> {
    eyre::ensure!(
        !nodes.is_empty(),
        "--core: missing; allowed: the HTTP address of a control node, up to three times"
    );
    let (ip, mut last_error) = (IpAddr::V4(Ipv4Addr::UNSPECIFIED), String::new());
    for to in nodes {
        match send_request(ip, *to, method.clone(), path, headers, body.clone(), timeout_ms).await {
            Ok((status, _, content)) if status == StatusCode::SERVICE_UNAVAILABLE => {
                last_error = format!("{to}: {}", String::from_utf8_lossy(&content));
            }
            Ok(response) => return Ok(response),
            Err(e) if e.step == CONNECT || method == Method::GET => last_error = e.to_string(),
            Err(e) => eyre::bail!("undetermined: {e}"),
        }
    }
    eyre::bail!("no control node could answer; last error: {last_error}")
}
