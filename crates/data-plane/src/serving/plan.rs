//! The plan for a request (design 9.2): plain data that is made from the request's head and body, and then carried
//! out.

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

/// All that is needed to serve one request.
pub struct Plan {
    /// The route that the request matched.
    pub route: Arc<Route>,
    /// The tenant that it belongs to, if the configuration has tenants.
    pub tenant: Option<Arc<TenantPolicy>>,
    /// Regions that may serve it according to the route and the tenant; `None` means all.
    pub home_regions: Option<BTreeSet<Region>>,
    /// The service that was chosen by the route's weights.
    pub service: Service,
    /// The settings of that service.
    pub backend: Arc<Backend>,
    /// What its headers say about its prompt.
    pub prompt: Prompt,
    /// Whether the prompts of its route are long on average.
    pub long_prompt: bool,
    /// Hash and length in tokens of each prefix of the prompt; empty unless the prompt is long.
    pub prefixes: Vec<(u64, u32)>,
    /// Requests with the same key share an entry in the placement table; `None` if the request has none.
    pub user_key: Option<UserKey>,
    /// When the request arrived.
    pub received_at: Tick,
    /// Nothing is done for the request after this time.
    pub deadline: Tick,
    /// The request's method.
    pub method: Method,
    /// The request's target.
    pub uri: Uri,
    /// The client's headers without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The request's body, read to its end.
    pub body: Bytes,
    /// The request's own id, if it carries one.
    pub request_id: Option<hyper::header::HeaderValue>,
}

impl Plan {
    /// Milliseconds until the deadline; 0 after it.
    pub fn left_ms(&self, now: Tick) -> u64 {
        self.deadline.since(now)
    }

    /// What the retry decisions need to know about the request.
    pub fn request_traits(&self) -> RequestTraits {
        RequestTraits { idempotent: self.idempotent(), has_id: self.request_id.is_some() }
    }

    /// Whether the request may run more than once.
    pub fn idempotent(&self) -> bool {
        self.route.idempotent()
    }

    /// Whether a region may serve the request.
    pub fn is_home(&self, region: &Region) -> bool {
        self.home_regions.as_ref().is_none_or(|homes| homes.contains(region))
    }

    /// Urgency from 0 (served first) to 9 (served last): the tenant's own, else the route's.
    pub fn urgency(&self) -> u8 {
        let own = self.tenant.as_ref().and_then(|tenant| tenant.urgency);
        own.unwrap_or(self.route.urgency)
    }
}

/// When to give up on a request: after the time that the client says it waits, but at most the route's `request_timeout_ms`.
pub fn deadline(names: &HeaderNames, head: &HeaderMap, route: &Route, received_at: Tick) -> Tick {
    let announced =
        head.get(&names.time_left).and_then(|v| v.to_str().ok()).and_then(|v| v.trim().parse().ok());
    received_at + announced.unwrap_or(route.request_timeout_ms).min(route.request_timeout_ms)
}

/// The key of a request's entry in the placement table: a hash of the service, the region that received the request,
/// and the shared parts of its prompt in order. `None` for a route without affinity and a prompt without shared
/// parts.
pub fn user_key(route: &Route, service: &Service, prompt: &Prompt, region: &Region) -> Option<UserKey> {
    let shared = prompt.shared();
    if !route.affinity || shared.is_empty() {
        return None;
    }
    let ids: Vec<u8> = shared.iter().flat_map(|p| p.0.to_le_bytes()).collect();
    Some(UserKey(stable_hash(&[service.as_str().as_bytes(), region.as_str().as_bytes(), &ids])))
}
