//! One attempt at a replica or at a router of another region (design 6.1, 6.2): what is certain
//! afterwards decides whether another attempt is allowed.

use crate::response_body::{ForwardedBody, has_detectable_end};
use bytes::Bytes;
use common::{
    PeerError,
    error::AtPeer,
    http::{Body, full, open},
};
use hyper::{HeaderMap, Method, Request, Response, Uri, header::HeaderName};
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

/// What is known after an attempt.
pub enum Outcome {
    /// The upstream answered; from here on its bytes pass through.
    Done(Response<Body>),
    /// Not one byte of the request was sent, or the other side said that it did not run it.
    NotRun(PeerError),
    /// It may have run.
    Unknown(PeerError),
}

/// What is sent, the same for each attempt.
#[derive(Clone)]
pub struct OutgoingRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Headers that speak of one connection only.
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

/// Takes out what speaks of one connection only.
pub fn strip_hop_by_hop(h: &mut HeaderMap) {
    let named: Vec<HeaderName> = h
        .get_all("connection")
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|n| n.trim().parse().ok())
        .collect();
    named.iter().for_each(|n| drop(h.remove(n)));
    HOP_BY_HOP.iter().for_each(|n| drop(h.remove(*n)));
}

/// The same, and what routers set for each other.
pub fn strip_internal_headers(h: &mut HeaderMap) {
    strip_hop_by_hop(h);
    let own: Vec<HeaderName> = h.keys().filter(|k| k.as_str().starts_with("foldshunt-")).cloned().collect();
    own.iter().for_each(|n| drop(h.remove(n)));
}

/// Where an attempt leads, and for how long it may take.
pub struct AttemptTarget<'a> {
    pub ip: IpAddr,
    pub to: SocketAddr,
    pub connect_ms: u64,
    pub left_ms: u64,
    /// Looked at last, before the first byte is sent: why the attempt may not be made any more.
    pub forbidden: &'a (dyn Fn() -> Option<&'static str> + Send + Sync),
}

/// One attempt over a fresh connection. `kept` lives until the last byte has passed through.
pub async fn attempt<K: Send + Sync + Unpin + 'static>(
    way: AttemptTarget<'_>,
    sent: &OutgoingRequest,
    extra: &[(&'static str, String)],
    kept: K,
) -> Outcome {
    let step = "go";
    let AttemptTarget { ip, to, connect_ms, left_ms, forbidden } = way;
    let mut tx = match open(ip, to, connect_ms.min(left_ms.max(1))).await {
        Ok(tx) => tx,
        Err(e) => return Outcome::NotRun(e),
    };
    let built = || {
        let mut req = Request::builder()
            .method(sent.method.clone())
            .uri(sent.uri.path_and_query().map(|p| p.as_str()).unwrap_or("/"));
        if let Some(h) = req.headers_mut() {
            h.extend(sent.headers.clone());
            h.insert("host", to.to_string().parse().at_peer(step, to)?);
            for (k, v) in extra {
                h.insert(*k, v.parse().at_peer(step, to)?);
            }
        }
        req.body(full(sent.body.clone())).at_peer(step, to)
    };
    let req = match built() {
        Ok(r) => r,
        Err(e) => return Outcome::NotRun(e),
    };
    // Much may have passed since the plan: this process was frozen, or the world went on.
    if let Some(why) = forbidden() {
        return Outcome::NotRun(PeerError::new("last look", to, why));
    }
    // From here on bytes may have left: every failure is "unknown".
    let res = match tokio::time::timeout(Duration::from_millis(left_ms), tx.send_request(req)).await {
        Ok(Ok(r)) => r,
        Ok(Err(e)) => return Outcome::Unknown(PeerError::new("await answer", to, e)),
        Err(_) => {
            return Outcome::Unknown(PeerError::new("await answer", to, format!("none in {left_ms} ms")));
        }
    };
    let (mut head, body) = res.into_parts();
    if !has_detectable_end(&sent.method, &head, &body) {
        return Outcome::Unknown(PeerError::new("read answer", to, "its end could not be told from a cut"));
    }
    let outcome = head.headers.get("foldshunt-outcome").cloned();
    let reason = head.headers.get("foldshunt-reason").cloned();
    strip_internal_headers(&mut head.headers);
    for (k, v) in [("foldshunt-outcome", outcome), ("foldshunt-reason", reason)] {
        if let Some(v) = v {
            head.headers.insert(k, v);
        }
    }
    let idle = Duration::from_millis(left_ms.max(1000));
    Outcome::Done(Response::from_parts(head, ForwardedBody::wrap(body, idle, (tx, kept))))
}
