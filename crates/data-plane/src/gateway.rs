//! Clients' requests (design 6.4): from the head to the response, rejected as early as possible.

use crate::{
    forwarding,
    plan::{Plan, header_of},
    response::{ClientResponse, body_rejection, rejection_response},
    router::{ActiveConfiguration, Router, is_active_in},
};
use common::{
    RequestId,
    http::{BoxError, OpenGuard, RequestBody, json, text},
    log_event,
};
use control_plane::Member;
use hyper::{Request, StatusCode, http::request::Parts};
use serde_json::json as j;
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

impl Router {
    /// Handles one HTTP request, from a client or from a router of another region.
    pub async fn handle(
        self: Arc<Self>,
        _peer: SocketAddr,
        req: Request<RequestBody>,
    ) -> Result<ClientResponse, BoxError> {
        let (head, body) = req.into_parts();
        match head.uri.path() {
            "/healthz" => return Ok(text(StatusCode::OK, "ok\n")),
            "/readyz" => return Ok(self.ready()),
            "/foldshunt/journal" => {
                let (summary, tail) = (self.event_log.view(), self.event_log.tail());
                return Ok(json(StatusCode::OK, &j!({"digest": summary, "tail": tail})));
            }
            "/metrics" => return Ok(text(StatusCode::OK, self.metrics())),
            _ => {}
        }
        let open = self.open_count.enter();
        let serial = self.request_serial.fetch_add(1, Ordering::Relaxed);
        let request_id = forwarding::new_request_id(&self, serial);
        self.await_joining().await;
        let Some(configuration) = self.configuration.load_full() else {
            let reason = "no configuration";
            let code = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(close(rejection_response(&self, &request_id, code, reason, 2)));
        };
        let revision = configuration.revision;
        let mut response = self.handle_request(configuration, request_id, head, body, open).await;
        if let Ok(value) = revision.to_string().parse() {
            response.headers_mut().insert("foldshunt-revision", value);
        }
        Ok(response)
    }

    /// Handles a request by one configuration from start to end.
    async fn handle_request(
        self: &Arc<Self>,
        configuration: Arc<ActiveConfiguration>,
        request_id: RequestId,
        head: Parts,
        body: RequestBody,
        open: OpenGuard,
    ) -> ClientResponse {
        let reject =
            |code, reason, retry_s| close(rejection_response(self, &request_id, code, reason, retry_s));
        if let Some(reason) = self.refusal_reason() {
            let retry_s = if reason == "joining" { 1 } else { 3 };
            return reject(StatusCode::SERVICE_UNAVAILABLE, reason, retry_s);
        }
        let forwarded = header_of(&head)(forwarding::HEADER);
        let plan = match &forwarded {
            None => match Plan::make(self, configuration, request_id.clone(), &head) {
                Ok(plan) => plan,
                Err(e) => return reject(e.code, e.reason, 0),
            },
            Some(signed) => match self.plan_forwarded(configuration, &head, signed).await {
                Ok(plan) => plan,
                Err(reason) => return reject(StatusCode::SERVICE_UNAVAILABLE, reason, 1),
            },
        };
        if forwarded.is_none()
            && let Some(response) = self.redirect_home(&plan, &head)
        {
            return close(response);
        }
        let left = Duration::from_millis(plan.deadline.since(self.now()));
        let bytes = match body.read(plan.entry.max_body_bytes, left).await {
            Ok(bytes) => bytes,
            Err(error) => {
                let why = body_rejection(error, "body over the entry's limit");
                return reject(error.status(), why, error.retry_after_s());
            }
        };
        let plan = if forwarded.is_none() { plan.with_key(&head, &bytes) } else { plan };
        let request = Plan::outgoing_request(&head, bytes);
        // A draining router still serves a request that reaches it, and closes the connection.
        let response = self.execute(&plan, &request, open).await;
        if self.draining.load(Ordering::Acquire) { close(response) } else { response }
    }

    /// Holds a request while this node joins, for an election timeout at most. A node joins within a few heartbeats of
    /// its start.
    async fn await_joining(&self) {
        let until = self.now() + self.settings.timing.election_timeout_ms();
        let ready = || self.member.caught_up() && self.configuration.load().is_some();
        while !ready() && self.now() < until && !self.draining.load(Ordering::Acquire) {
            tokio::time::sleep(Duration::from_millis(self.settings.timing.heartbeat_ms() / 2)).await;
        }
    }

    /// Plans a request that a router of another region forwarded and signed.
    async fn plan_forwarded(
        &self,
        configuration: Arc<ActiveConfiguration>,
        head: &Parts,
        signed: &str,
    ) -> Result<Plan, &'static str> {
        let sent = forwarding::verify(self.cluster_state().secret, signed).ok_or("unsigned hop")?;
        forwarding::check(self, &sent).await.inspect_err(|reason| {
            log_event!(Info, "hop", "peer" => sent.from, "cause" => *reason, "job" => sent.request_id);
        })?;
        let mut plan =
            Plan::make(self, configuration, sent.request_id.clone(), head).map_err(|e| e.reason)?;
        if plan.entry.name != sent.entry {
            return Err("another entry");
        }
        plan.key = sent.key;
        plan.forwarded = true;
        plan.deadline = self.now() + sent.left_ms.min(plan.entry.deadline_ms);
        Ok(plan)
    }

    /// Redirects a client whose request may not be processed here to a router in a home region. The body is not read
    /// (design 5.2).
    fn redirect_home(&self, plan: &Plan, head: &Parts) -> Option<ClientResponse> {
        let own = self.own_region(&plan.configuration.table);
        let evacuated = self.cluster_state().evacuated.contains(self.zone());
        let at_home = own.as_ref().is_some_and(|o| plan.homes.contains(o));
        if at_home && !evacuated {
            return None;
        }
        let own_home = own.filter(|_| at_home);
        let peer = own_home
            .and_then(|r| self.router_in(plan, &r, &[]))
            .or_else(|| plan.homes.iter().find_map(|r| self.router_in(plan, r, &[])));
        let reason = if at_home { "evacuated" } else { "outside homes" };
        Some(match peer {
            Some(peer) => {
                let path = head.uri.path_and_query().map(|x| x.as_str()).unwrap_or("/");
                let code = StatusCode::TEMPORARY_REDIRECT;
                let mut response = rejection_response(self, &plan.request_id, code, reason, 0);
                if let Ok(v) = format!("http://{}{path}", peer.info.http).parse() {
                    response.headers_mut().insert("location", v);
                }
                response
            }
            None => rejection_response(self, &plan.request_id, StatusCode::SERVICE_UNAVAILABLE, reason, 5),
        })
    }

    /// A random router of a region that is live, not evacuated and not tried yet.
    pub fn router_in(&self, plan: &Plan, region: &common::Region, tried: &[String]) -> Option<Member> {
        let state = self.cluster_state();
        let all: Vec<Member> = state
            .routers()
            .into_iter()
            .filter(|m| {
                is_active_in(&state, &plan.configuration.table, m, region) && m.info.node != *self.node()
            })
            .filter(|m| !tried.contains(&m.info.node.to_string()))
            // A node that has just started has no contacts yet, and takes every member for live.
            .filter(|m| self.is_starting() || self.is_live(m))
            .cloned()
            .collect();
        (!all.is_empty()).then(|| all[common::runtime::random_in(0..all.len())].clone())
    }
}

/// Closes the connection after a response: it can't or shall not carry another request.
fn close(mut response: ClientResponse) -> ClientResponse {
    response.headers_mut().insert("connection", "close".parse().expect("a valid header value"));
    response
}
