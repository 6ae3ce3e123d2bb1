//! What is to be done with a request, as data (design 9.2): made from its head, then carried out.

use super::{
    attempt_state::RequestTraits,
    protocol::{HeaderNames, Prompt},
};
use crate::placement_table::UserKey;
use bytes::Bytes;
use common::{Region, Service, Tick, rendezvous::stable_hash};
use configuration::{Backend, Route, TenantPolicy};
use hyper::{HeaderMap, Method, Uri};
use std::{collections::BTreeSet, sync::Arc};

pub struct Plan {
    pub route: Arc<Route>,
    /// Who it belongs to, where the document has tenants.
    pub tenant: Option<Arc<TenantPolicy>>,
    /// Regions that may serve it, by the route and by the tenant; `None` stands for all.
    pub homes: Option<BTreeSet<Region>>,
    pub service: Service,
    pub backend: Arc<Backend>,
    pub prompt: Prompt,
    /// Its route's prompts are long.
    pub long: bool,
    pub prefixes: Vec<(u64, u32)>,
    /// What shares a long prefix, seen from one region, shares a placement.
    pub key: Option<UserKey>,
    pub came: Tick,
    /// Nothing is done for the request after this.
    pub deadline: Tick,
    pub method: Method,
    pub uri: Uri,
    /// As they came, without those of one connection.
    pub headers: HeaderMap,
    pub body: Bytes,
    pub request_id: Option<hyper::header::HeaderValue>,
}

impl Plan {
    pub fn left_ms(&self, now: Tick) -> u64 {
        self.deadline.since(now)
    }

    pub fn asked(&self) -> RequestTraits {
        RequestTraits { idempotent: self.idempotent(), has_id: self.request_id.is_some() }
    }

    pub fn idempotent(&self) -> bool {
        self.route.idempotent()
    }

    /// Whether a region may serve it.
    pub fn is_home(&self, region: &Region) -> bool {
        self.homes.as_ref().is_none_or(|homes| homes.contains(region))
    }

    /// 0 comes first, 9 last.
    pub fn urgency(&self) -> u8 {
        let own = self.tenant.as_ref().and_then(|tenant| tenant.urgency);
        own.unwrap_or(self.route.urgency)
    }
}

/// Milliseconds that the caller waits, as it says; the route's hold bounds it.
pub fn deadline(names: &HeaderNames, head: &HeaderMap, route: &Route, came: Tick) -> Tick {
    let said = head.get(&names.time_left).and_then(|v| v.to_str().ok()).and_then(|v| v.trim().parse().ok());
    came + said.unwrap_or(route.hold_ms).min(route.hold_ms)
}

/// The user key: the shared parts of the prompt in their order, and the region it was sent in.
pub fn user_key(route: &Route, service: &Service, prompt: &Prompt, region: &Region) -> Option<UserKey> {
    let shared = prompt.shared();
    if !route.affinity || shared.is_empty() {
        return None;
    }
    let ids: Vec<u8> = shared.iter().flat_map(|p| p.0.to_le_bytes()).collect();
    Some(UserKey(stable_hash(&[service.as_str().as_bytes(), region.as_str().as_bytes(), &ids])))
}
