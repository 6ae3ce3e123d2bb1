//! The clients' side (design 9.2): from the head to the answer.

use super::{
    authentication::{self, Unauthenticated},
    dispatch::retry_after_ms,
    plan::{Plan, deadline, user_key},
    prefill,
    state::Serving,
};
use crate::{attempt::strip_hop_by_hop, router::lock};
use bytes::Bytes;
use common::{
    Tick,
    http::{Body, BodyError, BoxErr, ConnectionLimits, LimitsInForce, OpenCount, read_body, serve_within},
    log_event,
    runtime::Listener,
};
use configuration::{Route, RouteMap, TenantPolicy, home_regions};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{HeaderValue, WWW_AUTHENTICATE},
    http::request::Parts,
};
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::sync::watch;

type Res = Response<Body>;

/// A client that has spent so much of the route's time comes for a second time.
const SPENT_MS: u64 = 50;

fn route_of(map: &RouteMap, head: &Parts) -> Option<Arc<Route>> {
    let host = head.headers.get("host").and_then(|v| v.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or("");
    map.find(host, head.uri.path()).cloned()
}

fn close(mut r: Res) -> Res {
    r.headers_mut().insert("connection", HeaderValue::from_static("close"));
    r
}

impl Serving {
    pub async fn serve(self: Arc<Self>, peer: SocketAddr, req: Request<Incoming>) -> Result<Res, BoxErr> {
        let open_count = Arc::new(self.router.open_count.enter());
        let draining = || self.router.draining.load(Ordering::Acquire);
        let names = self.protocol.header_names();
        let id = req.headers().get(&names.request_id).cloned();
        let plan = self.plan(req, peer).await;
        let mut res = match plan {
            Ok(p) => self.carry(Arc::new(p), open_count).await,
            Err(r) => *r,
        };
        if let Some(v) = id {
            res.headers_mut().entry(names.request_id.clone()).or_insert(v);
        }
        Ok(if draining() { close(res) } else { res })
    }

    /// What clients may send and how long they may take, by the configuration in force.
    pub fn connection_limits(&self) -> ConnectionLimits {
        let limits = self.route_map.load().as_ref().map(|map| map.limits).unwrap_or_default();
        ConnectionLimits {
            max_head_bytes: limits.max_header_bytes,
            head_ms: limits.header_wait_ms,
            idle_ms: limits.idle_ms,
        }
    }

    /// Serves clients until `stop` turns true.
    pub async fn listen(
        self: Arc<Self>,
        clients: Listener,
        connections: Arc<OpenCount>,
        stop: watch::Receiver<bool>,
    ) {
        let me = self.clone();
        let limits: LimitsInForce = Arc::new(move || me.connection_limits());
        let handler = move |peer, request| self.clone().serve(peer, request);
        serve_within(clients, connections, stop, limits, handler).await;
    }

    /// A node that has just started learns within a few heartbeats what is in force. A first try waits a
    /// quarter of a voter's election time-out for that: it is told when to come back. A later one, of which the
    /// client has spent some of the route's time, has no other: it waits for a lease, or half of
    /// what it has left.
    async fn await_fit(&self, head: &Parts, left: u64) -> Option<&'static str> {
        let (began, t) = (self.now(), &self.router.settings.timing);
        while let Some(why) = self.not_ready_reason().filter(|w| *w != "draining") {
            let later = self
                .route_map
                .load()
                .as_deref()
                .and_then(|map| route_of(map, head))
                .is_some_and(|r| left > 0 && left + SPENT_MS < r.hold_ms);
            let most = if later { t.lease_ms.min(left / 2) } else { t.election_timeout_ms() / 4 };
            if self.now().since(began) >= most {
                return Some(why);
            }
            tokio::time::sleep(Duration::from_millis(t.heartbeat_ms() / 4)).await;
        }
        None
    }

    /// The plan for a request, made from its head and body, or the final answer.
    async fn plan(&self, req: Request<Incoming>, peer: SocketAddr) -> Result<Plan, Box<Res>> {
        let received_at = self.now();
        let (head, body) = req.into_parts();
        let left_ms = self.announced_time_left(&head);
        if let Some(why) = self.await_fit(&head, left_ms).await {
            return self.refuse_for_now(why, left_ms);
        }
        let Some(map) = self.route_map.load_full() else {
            return self.refuse_for_now("no configuration", left_ms);
        };
        let Some(route) = route_of(&map, &head) else {
            return self.refuse(StatusCode::NOT_FOUND, "no route");
        };
        let tenant = self.authenticate(&map, &route, &head)?;
        let service = route.service(common::runtime::random()).cloned();
        let backend = service.as_ref().and_then(|service| map.backends.get(service).cloned());
        let (Some(service), Some(backend)) = (service, backend) else {
            return self.refuse(StatusCode::NOT_FOUND, "the route has no service");
        };
        let deadline = deadline(self.protocol.header_names(), &head.headers, &route, received_at);
        let body = self.read_request_body(&head, body, map.limits.max_body_bytes, deadline, peer).await?;
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

    fn authenticate(
        &self,
        map: &RouteMap,
        route: &Route,
        head: &Parts,
    ) -> Result<Option<Arc<TenantPolicy>>, Box<Res>> {
        let names = self.protocol.header_names();
        authentication::tenant(names, map, route, &head.headers).map_err(|Unauthenticated| {
            let mut refused = self.refused(StatusCode::UNAUTHORIZED, "unknown key", None);
            let scheme = HeaderValue::from_static(names.key_scheme);
            refused.headers_mut().insert(WWW_AUTHENTICATE, scheme);
            Box::new(refused)
        })
    }

    /// How long the client says that it still waits, in milliseconds; 0 where it says nothing.
    fn announced_time_left(&self, head: &Parts) -> u64 {
        let value = head.headers.get(&self.protocol.header_names().time_left);
        value.and_then(|v| v.to_str().ok()?.trim().parse().ok()).unwrap_or(0)
    }

    async fn read_request_body(
        &self,
        head: &Parts,
        body: Incoming,
        max_bytes: usize,
        deadline: Tick,
        peer: SocketAddr,
    ) -> Result<Bytes, Box<Res>> {
        let announced = head.headers.get("content-length");
        let announced = announced.and_then(|v| v.to_str().ok()?.parse::<usize>().ok());
        if announced.is_some_and(|bytes| bytes > max_bytes) {
            return self.refuse_and_close(StatusCode::PAYLOAD_TOO_LARGE, "body over the limit");
        }
        let left = Duration::from_millis(deadline.since(self.now()).max(1));
        match tokio::time::timeout(left, read_body(body, max_bytes)).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(BodyError::TooLarge)) => {
                self.refuse_and_close(StatusCode::PAYLOAD_TOO_LARGE, "body over the limit")
            }
            Ok(Err(BodyError::Broken)) => {
                log_event!(Debug, "read body", "peer" => peer, "cause" => "it broke off");
                self.refuse_and_close(StatusCode::BAD_REQUEST, "body broke off")
            }
            Err(_) => self.refuse(StatusCode::REQUEST_TIMEOUT, "body not here in time"),
        }
    }

    fn refuse<T>(&self, code: StatusCode, why: &'static str) -> Result<T, Box<Res>> {
        Err(Box::new(self.refused(code, why, None)))
    }

    fn refuse_and_close<T>(&self, code: StatusCode, why: &'static str) -> Result<T, Box<Res>> {
        Err(Box::new(close(self.refused(code, why, None))))
    }

    /// Refuses what may succeed later, with when to come back.
    fn refuse_for_now<T>(&self, why: &'static str, left_ms: u64) -> Result<T, Box<Res>> {
        let retry_after_ms = Some(retry_after_ms(left_ms));
        Err(Box::new(self.refused(StatusCode::SERVICE_UNAVAILABLE, why, retry_after_ms)))
    }
}
