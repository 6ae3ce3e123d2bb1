//! One attempt to send a request to a replica or to a router of another region (design 6.1, 6.2). What is certain
//! afterwards decides whether another attempt is allowed.

use crate::response_body::{ForwardedBody, has_detectable_end};
use bytes::Bytes;
use common::{
    PeerError,
    error::AtPeer,
    http::{Body, full, open_client},
};
use hyper::{HeaderMap, Method, Request, Response, Uri, header::HeaderName};
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

/// What is known after an attempt.
pub enum Outcome {
    /// The upstream responded; the body of the response is forwarded as it arrives.
    Done(Response<Body>),
    /// No byte of the request was sent, or the upstream said that it did not run it.
    NotRun(PeerError),
    /// It may have run.
    Unknown(PeerError),
}

/// The request as each attempt sends it.
#[derive(Clone)]
pub struct OutgoingRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers, without those of the client's connection.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Headers that apply to one connection only (RFC 9110, 7.6.1), and `expect`, which the router answers itself.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Removes headers that apply to one connection only, with those that `connection` names.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .collect();
    named.iter().for_each(|n| drop(headers.remove(n)));
    HOP_BY_HOP.iter().for_each(|n| drop(headers.remove(*n)));
}

/// Removes headers that apply to one connection only, and those that routers send each other.
pub fn strip_internal_headers(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    let internal: Vec<HeaderName> =
        headers.keys().filter(|k| k.as_str().starts_with("foldshunt-")).cloned().collect();
    internal.iter().for_each(|n| drop(headers.remove(n)));
}

/// Where an attempt is sent, and how long it may take.
pub struct AttemptTarget<'a> {
    /// Local address to connect from.
    pub local_ip: IpAddr,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Timeout of the connection, in milliseconds.
    pub connect_ms: u64,
    /// Time until the request's deadline, in milliseconds.
    pub left_ms: u64,
    /// Called right before the first byte is sent: why the attempt may no longer be made, if so.
    pub blocked_reason: &'a (dyn Fn() -> Option<&'static str> + Send + Sync),
}

/// Makes one attempt over a new connection. `kept` is dropped once the response body has ended.
pub async fn attempt<K: Send + Sync + Unpin + 'static>(
    target: AttemptTarget<'_>,
    sent: &OutgoingRequest,
    extra: &[(&'static str, String)],
    kept: K,
) -> Outcome {
    let step = "go";
    let AttemptTarget { local_ip, address, connect_ms, left_ms, blocked_reason } = target;
    let mut connection = match open_client(local_ip, address, connect_ms.min(left_ms.max(1))).await {
        Ok(connection) => connection,
        Err(e) => return Outcome::NotRun(e),
    };
    let build = || {
        let mut request = Request::builder()
            .method(sent.method.clone())
            .uri(sent.uri.path_and_query().map(|p| p.as_str()).unwrap_or("/"));
        if let Some(headers) = request.headers_mut() {
            headers.extend(sent.headers.clone());
            headers.insert("host", address.to_string().parse().at_peer(step, address)?);
            for (name, value) in extra {
                headers.insert(*name, value.parse().at_peer(step, address)?);
            }
        }
        request.body(full(sent.body.clone())).at_peer(step, address)
    };
    let request = match build() {
        Ok(request) => request,
        Err(e) => return Outcome::NotRun(e),
    };
    // Checked again here: this process may have been suspended, or the cluster state may have changed.
    if let Some(why) = blocked_reason() {
        return Outcome::NotRun(PeerError::new("last look", address, why));
    }
    // From here on bytes may have been sent, so the outcome of every failure is unknown.
    let response =
        match tokio::time::timeout(Duration::from_millis(left_ms), connection.send_request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(e)) => return Outcome::Unknown(PeerError::new("await answer", address, e)),
            Err(_) => {
                return Outcome::Unknown(PeerError::new(
                    "await answer",
                    address,
                    format!("none in {left_ms} ms"),
                ));
            }
        };
    let (mut head, body) = response.into_parts();
    if !has_detectable_end(&sent.method, &head, &body) {
        return Outcome::Unknown(PeerError::new(
            "read answer",
            address,
            "neither length nor chunks would show a truncated body",
        ));
    }
    let outcome = head.headers.get("foldshunt-outcome").cloned();
    let reason = head.headers.get("foldshunt-reason").cloned();
    strip_internal_headers(&mut head.headers);
    for (name, value) in [("foldshunt-outcome", outcome), ("foldshunt-reason", reason)] {
        if let Some(value) = value {
            head.headers.insert(name, value);
        }
    }
    let idle = Duration::from_millis(left_ms.max(1000));
    Outcome::Done(Response::from_parts(head, ForwardedBody::wrap(body, idle, (connection, kept))))
}
