//! Answers to clients that ask which routers to use (design 9.7), and to the platform's readiness and metrics requests.

use super::state::Serving;
use crate::router::lock;
use common::{
    Region, Zone,
    http::{Body, BoxError, RequestBody, json, text},
};
use control_plane::Member;
use hyper::{Method, Request, Response, StatusCode};
use std::{net::SocketAddr, sync::Arc};

/// Routers that a zone or region must have before its clients are sent only to these.
const MIN_GROUP_SIZE: usize = 2;
/// The most addresses in an answer.
const MAX_ADDRESSES: usize = 64;

/// A router that clients may be sent to.
#[derive(Clone, Debug)]
pub struct RouterAddr {
    /// Where it takes requests.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// The region of that zone, if it is known.
    pub region: Option<Region>,
}

/// The routers of the client's zone, else those of its region, else all: the first group that is large enough.
pub fn nearest(all: &[RouterAddr], zone: &str, region: &str) -> Vec<SocketAddr> {
    let groups: [Vec<SocketAddr>; 3] = [
        all.iter().filter(|router| router.zone.as_str() == zone).map(|router| router.addr).collect(),
        all.iter()
            .filter(|router| router.region.as_ref().is_some_and(|known| known.as_str() == region))
            .map(|router| router.addr)
            .collect(),
        all.iter().map(|router| router.addr).collect(),
    ];
    let [_, _, everywhere] = &groups;
    let picked = groups.iter().find(|group| group.len() >= MIN_GROUP_SIZE).unwrap_or(everywhere);
    picked.iter().take(MAX_ADDRESSES).copied().collect()
}

impl Serving {
    /// The routers that are reachable and accept work.
    fn fit_routers(&self) -> Vec<RouterAddr> {
        let router = &self.router;
        let state = router.cluster_state();
        let is_self_fit = self.not_ready_reason().is_none();
        let is_fit = |member: &&Member| {
            let node = &member.info.node;
            if node == router.node() {
                is_self_fit
            } else {
                router.is_live(member) && !lock(&router.refusing_nodes).contains(node)
            }
        };
        let fit = state.routers().into_iter().filter(is_fit);
        fit.map(|member| RouterAddr {
            addr: member.info.http,
            zone: member.info.zone.clone(),
            region: self.site.zones.get(&member.info.zone).cloned(),
        })
        .collect()
    }

    /// Answers one request: readiness, a client's lookup, or metrics.
    ///
    /// # Errors
    /// None; the type is that of a connection's handler.
    pub async fn answer_directory_request(
        self: Arc<Self>,
        _peer: SocketAddr,
        request: Request<RequestBody>,
    ) -> Result<Response<Body>, BoxError> {
        let names = self.protocol.header_names();
        let path = request.uri().path();
        if request.method() != Method::GET {
            return Ok(text(StatusCode::METHOD_NOT_ALLOWED, "allowed: GET\n"));
        }
        if path == names.ready_path {
            let reason = self.not_ready_reason();
            let code = if reason.is_none() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            return Ok(json(code, &serde_json::json!({"ready": reason.is_none(), "why": reason})));
        }
        if path == names.lookup_path {
            let lookup = self.protocol.parse_lookup(request.uri().query().unwrap_or(""));
            let addresses = nearest(&self.fit_routers(), &lookup.zone, &lookup.region);
            if addresses.is_empty() {
                return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "no router is known to be fit\n"));
            }
            let mut response = text(
                StatusCode::OK,
                self.protocol.directory_answer(&addresses, self.site.bounds.directory_ttl_ms),
            );
            response
                .headers_mut()
                .insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
            return Ok(response);
        }
        if path == "/metrics" {
            return Ok(text(StatusCode::OK, self.metrics()));
        }
        Ok(text(StatusCode::NOT_FOUND, "no such call\n"))
    }
}
