//! The client-facing HTTP server (design 9.2): reads a request, turns it into a plan, and returns the answer.

use super::{
    authentication::{self, Unauthenticated},
    dispatch::retry_after_ms,
    plan::{Plan, deadline, user_key},
    prefill,
    state::Serving,
};
use crate::{attempt::strip_hop_by_hop, response::body_rejection, router::lock};
use bytes::Bytes;
use common::{
    Tick,
    http::{
        Admission, Body, BodyError, BoxError, ConnectionLimits, CurrentLimits, OpenCount, RequestBody,
        serve_with_limits,
    },
    log_event,
    runtime::Listener,
};
use configuration::{Route, RouteMap, TenantPolicy, home_regions};
use hyper::{
    Request, Response, StatusCode,
    header::{HeaderValue, WWW_AUTHENTICATE},
    http::request::Parts,
};
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::sync::watch;

/// A request that arrives with at least this much of the route's time already used up is taken for a retry by the
/// client.
const CLIENT_RETRY_MIN_SPENT_MS: u64 = 50;

/// The route for a request by its host and path.
fn find_route(map: &RouteMap, head: &Parts) -> Option<Arc<Route>> {
    let host = head.headers.get("host").and_then(|v| v.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or("");
    map.find(host, head.uri.path()).cloned()
}

/// Tells the client that the connection closes after this answer.
fn close(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert("connection", HeaderValue::from_static("close"));
    response
}

impl Serving {
    /// Serves one request of a client.
    ///
    /// # Errors
    /// Never: each failure is an answer of its own.
    pub async fn serve(
        self: Arc<Self>,
        peer: SocketAddr,
        req: Request<RequestBody>,
    ) -> Result<Response<Body>, BoxError> {
        let open_count = Arc::new(self.router.open_count.enter());
        let draining = || self.router.draining.load(Ordering::Acquire);
        let names = self.protocol.header_names();
        let request_id = req.headers().get(&names.request_id).cloned();
        let plan = self.plan(req, peer).await;
        let mut response = match plan {
            Ok(plan) => self.execute(Arc::new(plan), open_count).await,
            Err(response) => *response,
        };
        if let Some(request_id) = request_id {
            response.headers_mut().entry(names.request_id.clone()).or_insert(request_id);
        }
        Ok(if draining() { close(response) } else { response })
    }

    /// Limits on the size of request heads and on how long clients may take, from the configuration in force.
    pub fn connection_limits(&self) -> ConnectionLimits {
        let limits = self.route_map.load().as_ref().map(|map| map.limits).unwrap_or_default();
        ConnectionLimits {
            max_header_bytes: limits.max_header_bytes,
            header_timeout_ms: limits.header_timeout_ms,
            idle_timeout_ms: limits.idle_timeout_ms,
        }
    }

    /// Accepts connections of clients and serves them until `stop` turns true.
    pub async fn listen(
        self: Arc<Self>,
        clients: Listener,
        admission: Arc<Admission>,
        connections: Arc<OpenCount>,
        stop: watch::Receiver<bool>,
    ) {
        let me = self.clone();
        let limits: CurrentLimits = Arc::new(move || me.connection_limits());
        let handler = move |peer, request| self.clone().serve(peer, request);
        serve_with_limits(clients, admission, connections, stop, limits, handler).await;
    }

    /// Waits until this router may take requests; returns the reason if it still may not.
    ///
    /// A node that has just started receives configuration, replicas and its lease within a few heartbeats. A first
    /// try of a client waits a quarter of a voter's election timeout for them, since it can be told when to come
    /// back. A retry, which has used up some of the route's time already, may have no other chance: it waits for up
    /// to a lease, but at most half of the time that it has left.
    async fn wait_until_ready(&self, head: &Parts, left_ms: u64) -> Option<&'static str> {
        let (began, timing) = (self.now(), &self.router.settings.timing);
        while let Some(why) = self.not_ready_reason().filter(|why| *why != "draining") {
            let is_retry =
                self.route_map.load().as_deref().and_then(|map| find_route(map, head)).is_some_and(|route| {
                    left_ms > 0 && left_ms + CLIENT_RETRY_MIN_SPENT_MS < route.request_timeout_ms
                });
            let max_wait_ms =
                if is_retry { timing.lease_ms.min(left_ms / 2) } else { timing.election_timeout_ms() / 4 };
            if self.now().since(began) >= max_wait_ms {
                return Some(why);
            }
            tokio::time::sleep(Duration::from_millis(timing.heartbeat_ms() / 4)).await;
        }
        None
    }

    /// Makes the plan for a request from its head and body, or returns the answer that refuses it.
    async fn plan(&self, req: Request<RequestBody>, peer: SocketAddr) -> Result<Plan, Box<Response<Body>>> {
        let received_at = self.now();
        let (head, body) = req.into_parts();
        let left_ms = self.announced_time_left(&head);
        if let Some(why) = self.wait_until_ready(&head, left_ms).await {
            return self.refuse_for_now(why, left_ms);
        }
        let Some(map) = self.route_map.load_full() else {
            return self.refuse_for_now("no configuration", left_ms);
        };
        let Some(route) = find_route(&map, &head) else {
            return self.refuse(StatusCode::NOT_FOUND, "no route");
        };
        let tenant = self.authenticate(&map, &route, &head)?;
        let service = route.service(common::runtime::random()).cloned();
        let backend = service.as_ref().and_then(|service| map.backends.get(service).cloned());
        let (Some(service), Some(backend)) = (service, backend) else {
            return self.refuse(StatusCode::NOT_FOUND, "the route has no service");
        };
        let deadline = deadline(self.protocol.header_names(), &head.headers, &route, received_at);
        let body = self.read_request_body(body, map.limits.max_body_bytes, deadline, peer).await?;
        let prompt = self.protocol.parse_prompt(&head.headers);
        let long_prompt = lock(&self.prompt_lengths).note(&route, prompt.tokens_in, received_at);
        let prefixes = if long_prompt { prefill::prefixes(&prompt) } else { Vec::new() };
        let user_key = user_key(&route, &service, &prompt, &self.site.region);
        let mut headers = head.headers;
        strip_hop_by_hop(&mut headers);
        self.name_tenant(&map, tenant.as_deref(), &mut headers);
        headers.remove("content-length");
        let request_id = headers.get(&self.protocol.header_names().request_id).cloned();
        Ok(Plan {
            home_regions: home_regions(&route, tenant.as_deref()),
            tenant,
            route,
            service,
            backend,
            prompt,
            long_prompt,
            prefixes,
            user_key,
            received_at,
            deadline,
            method: head.method,
            uri: head.uri,
            headers,
            body,
            request_id,
        })
    }

    /// The tenant that a request belongs to, or the answer that refuses it.
    fn authenticate(
        &self,
        map: &RouteMap,
        route: &Route,
        head: &Parts,
    ) -> Result<Option<Arc<TenantPolicy>>, Box<Response<Body>>> {
        let names = self.protocol.header_names();
        authentication::tenant(names, map, route, &head.headers).map_err(|Unauthenticated| {
            let mut refused = self.error_response(StatusCode::UNAUTHORIZED, "unknown key", None);
            let scheme = HeaderValue::from_static(names.key_scheme);
            refused.headers_mut().insert(WWW_AUTHENTICATE, scheme);
            Box::new(refused)
        })
    }

    /// How long the client says that it still waits, in milliseconds; 0 if it does not say.
    fn announced_time_left(&self, head: &Parts) -> u64 {
        let value = head.headers.get(&self.protocol.header_names().time_left);
        value.and_then(|v| v.to_str().ok()?.trim().parse().ok()).unwrap_or(0)
    }

    /// Reads a body to its end, within `max_bytes` and the deadline.
    async fn read_request_body(
        &self,
        body: RequestBody,
        max_bytes: usize,
        deadline: Tick,
        peer: SocketAddr,
    ) -> Result<Bytes, Box<Response<Body>>> {
        let left = Duration::from_millis(deadline.since(self.now()).max(1));
        let error = match body.read(max_bytes, left).await {
            Ok(body) => return Ok(body),
            Err(error) => error,
        };
        log_event!(Debug, "read body", "peer" => peer, "cause" => error.to_string());
        let retry_after_ms =
            (error == BodyError::OutOfMemory).then(|| retry_after_ms(deadline.since(self.now())));
        let why = body_rejection(error, "body over the limit");
        Err(Box::new(close(self.error_response(error.status(), why, retry_after_ms))))
    }

    /// Refuses a request for good.
    fn refuse<T>(&self, status: StatusCode, why: &'static str) -> Result<T, Box<Response<Body>>> {
        Err(Box::new(self.error_response(status, why, None)))
    }

    /// Refuses a request that may succeed later, with `Retry-After`.
    fn refuse_for_now<T>(&self, why: &'static str, left_ms: u64) -> Result<T, Box<Response<Body>>> {
        let retry_after_ms = Some(retry_after_ms(left_ms));
        Err(Box::new(self.error_response(StatusCode::SERVICE_UNAVAILABLE, why, retry_after_ms)))
    }
}
