//! Where clients are sent (design 9.7): routers that are heard and fit, near ones first. And what
//! the platform asks of this one.

use super::state::Serving;
use crate::router::lock;
use common::{
    Region, Zone,
    http::{Body, BoxErr, json, text},
};
use control_plane::Member;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use std::{net::SocketAddr, sync::Arc};

/// Routers that a zone needs before its clients are kept inside it.
const ENOUGH: usize = 2;
/// Most addresses in an answer.
const MOST: usize = 64;

/// A router that clients may be sent to.
#[derive(Clone, Debug)]
pub struct RouterAddr {
    pub addr: SocketAddr,
    pub zone: Zone,
    pub region: Option<Region>,
}

/// Those of the asker's zone, else of its region, else all: the first group that is large enough.
pub fn nearest(all: &[RouterAddr], zone: &str, region: &str) -> Vec<SocketAddr> {
    let groups: [Vec<SocketAddr>; 3] = [
        all.iter().filter(|e| e.zone.as_str() == zone).map(|e| e.addr).collect(),
        all.iter()
            .filter(|e| e.region.as_ref().is_some_and(|r| r.as_str() == region))
            .map(|e| e.addr)
            .collect(),
        all.iter().map(|e| e.addr).collect(),
    ];
    let [_, _, every] = &groups;
    let picked = groups.iter().find(|g| g.len() >= ENOUGH).unwrap_or(every);
    picked.iter().take(MOST).copied().collect()
}

impl Serving {
    fn edges(&self) -> Vec<RouterAddr> {
        let r = &self.router;
        let l = r.cluster_state();
        let mine = self.not_ready_reason().is_none();
        let fit = |m: &&Member| {
            let node = &m.info.node;
            if node == r.node() { mine } else { r.is_live(m) && !lock(&r.refusing).contains(node) }
        };
        let all = l.routers().into_iter().filter(fit);
        all.map(|m| RouterAddr {
            addr: m.info.http,
            zone: m.info.zone.clone(),
            region: self.site.zones.get(&m.info.zone).cloned(),
        })
        .collect()
    }

    /// The directory's and the platform's questions.
    pub async fn answer_directory_request(
        self: Arc<Self>,
        _peer: SocketAddr,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, BoxErr> {
        let names = self.protocol.header_names();
        let path = req.uri().path();
        if req.method() != Method::GET {
            return Ok(text(StatusCode::METHOD_NOT_ALLOWED, "allowed: GET\n"));
        }
        if path == names.ready_path {
            let why = self.not_ready_reason();
            let code = if why.is_none() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
            return Ok(json(code, &serde_json::json!({"ready": why.is_none(), "why": why})));
        }
        if path == names.lookup_path {
            let q = self.protocol.parse_lookup(req.uri().query().unwrap_or(""));
            let addrs = nearest(&self.edges(), &q.zone, &q.region);
            if addrs.is_empty() {
                return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "no router is known to be fit\n"));
            }
            let mut r = text(
                StatusCode::OK,
                self.protocol.directory_answer(&addrs, self.site.bounds.directory_ttl_ms),
            );
            r.headers_mut()
                .insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
            return Ok(r);
        }
        if path == "/metrics" {
            return Ok(text(StatusCode::OK, self.metrics()));
        }
        Ok(text(StatusCode::NOT_FOUND, "no such call\n"))
    }
}
