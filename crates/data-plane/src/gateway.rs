//! The callers' side (design 6.4): from the head to the answer, rejected at once where it must be.

use crate::{
    forwarding,
    plan::{Plan, header_of},
    router::{ActiveConfiguration, Router, is_active_in},
    summary::EventKind,
};
use common::{
    PeerError, RequestId,
    http::{Body, BodyError, BoxErr, OpenGuard, json, read_body, text},
    log_event,
};
use control_plane::Member;
use hyper::{Request, Response, StatusCode, body::Incoming, http::request::Parts};
use serde_json::json as j;
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

type Res = Response<Body>;

pub fn with_outcome(mut r: Res, request_id: &RequestId, outcome: &'static str, reason: &str) -> Res {
    let h = r.headers_mut();
    for (k, v) in
        [("foldshunt-job", request_id.as_str()), ("foldshunt-outcome", outcome), ("foldshunt-reason", reason)]
    {
        if let Ok(v) = v.parse()
            && !(k == "foldshunt-reason" && reason.is_empty())
        {
            h.insert(k, v);
        }
    }
    r
}

/// Not run, and never will be: said at once, with when to come back.
pub fn rejection_response(
    r: &Router,
    request_id: &RequestId,
    code: StatusCode,
    reason: &str,
    retry_s: u64,
) -> Res {
    r.counters.reject(reason);
    r.record_event(EventKind::Rejected(reason.into()));
    let mut res = json(
        code,
        &j!({"outcome": "bounced", "reason": reason, "job": request_id, "retry_after_s": retry_s}),
    );
    if retry_s > 0
        && !common::mutation::enabled("no-retry-after")
        && let Ok(v) = retry_s.to_string().parse()
    {
        res.headers_mut().insert("retry-after", v);
    }
    with_outcome(res, request_id, "bounced", reason)
}

pub fn rejected(r: &Router, p: &Plan, reason: &str, retry_s: u64) -> Res {
    r.counters.requests.inc(&[&p.entry.name, "bounced"]);
    rejection_response(r, &p.request_id, StatusCode::SERVICE_UNAVAILABLE, reason, retry_s)
}

/// It may have run: never called rejected.
pub fn unknown(r: &Router, p: &Plan, e: &PeerError, late: bool) -> Res {
    r.counters.requests.inc(&[&p.entry.name, "unknown"]);
    r.record_event(EventKind::Unknown(e.step.into()));
    let code = if late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
    let res = json(code, &j!({"outcome": "unknown", "reason": e.step, "job": p.request_id}));
    with_outcome(res, &p.request_id, "unknown", e.step)
}

impl Router {
    pub fn done(&self, p: &Plan, r: Res) -> Res {
        self.counters.requests.inc(&[&p.entry.name, "done"]);
        with_outcome(r, &p.request_id, "done", "")
    }

    pub async fn handle(self: Arc<Self>, _peer: SocketAddr, req: Request<Incoming>) -> Result<Res, BoxErr> {
        let (head, body) = req.into_parts();
        match head.uri.path() {
            "/healthz" => return Ok(text(StatusCode::OK, "ok\n")),
            "/readyz" => return Ok(self.ready()),
            "/foldshunt/journal" => {
                let (digest, tail) = (self.event_log.view(), self.event_log.tail());
                return Ok(json(StatusCode::OK, &j!({"digest": digest, "tail": tail})));
            }
            "/metrics" => return Ok(text(StatusCode::OK, self.metrics())),
            _ => {}
        }
        let open = self.open_count.enter();
        let n = self.request_serial.fetch_add(1, Ordering::Relaxed);
        let request_id = forwarding::new_request_id(&self, n);
        self.await_joining().await;
        let Some(g) = self.configuration.load_full() else {
            let why = "no configuration";
            return Ok(close(rejection_response(
                &self,
                &request_id,
                StatusCode::SERVICE_UNAVAILABLE,
                why,
                2,
            )));
        };
        let revision = g.revision;
        let mut res = self.handle_request(g, request_id, head, body, open).await;
        if let Ok(v) = revision.to_string().parse() {
            res.headers_mut().insert("foldshunt-revision", v);
        }
        Ok(res)
    }

    /// One request, by one document from its head to its end.
    async fn handle_request(
        self: &Arc<Self>,
        g: Arc<ActiveConfiguration>,
        request_id: RequestId,
        head: Parts,
        body: Incoming,
        open: OpenGuard,
    ) -> Res {
        let no = |code, why, s| close(rejection_response(self, &request_id, code, why, s));
        if let Some(why) = self.refuses_work() {
            return no(StatusCode::SERVICE_UNAVAILABLE, why, if why == "joining" { 1 } else { 3 });
        }
        let inner = header_of(&head)(forwarding::HEADER);
        let plan = match &inner {
            None => match Plan::make(self, g, request_id.clone(), &head) {
                Ok(p) => p,
                Err(d) => return no(d.code, d.reason, 0),
            },
            Some(raw) => match self.inner_plan(g, &head, raw).await {
                Ok(p) => p,
                Err(why) => return no(StatusCode::SERVICE_UNAVAILABLE, why, 1),
            },
        };
        if inner.is_none()
            && let Some(r) = self.redirect_home(&plan, &head)
        {
            return close(r);
        }
        let long = header_of(&head)("content-length").and_then(|v| v.parse::<usize>().ok());
        if long.is_some_and(|n| n > plan.entry.limit) {
            return no(StatusCode::PAYLOAD_TOO_LARGE, "body over the entry's limit", 0);
        }
        let left = Duration::from_millis(plan.deadline.since(self.now()));
        let bytes = match tokio::time::timeout(left, read_body(body, plan.entry.limit)).await {
            Ok(Ok(b)) => b,
            Ok(Err(BodyError::TooLarge)) => {
                return no(StatusCode::PAYLOAD_TOO_LARGE, "body over the entry's limit", 0);
            }
            Ok(Err(BodyError::Broken)) => return no(StatusCode::BAD_REQUEST, "body broke off", 0),
            Err(_) => return no(StatusCode::REQUEST_TIMEOUT, "body not here in time", 0),
        };
        let plan = if inner.is_none() { plan.with_key(&head, &bytes) } else { plan };
        let sent = Plan::outgoing_request(&head, bytes);
        // While it drains, a router finishes what still reaches it, and takes no more from there.
        let res = self.execute(&plan, &sent, open).await;
        if self.draining.load(Ordering::Acquire) { close(res) } else { res }
    }

    /// A node that has just started joins within a few heartbeats: its first requests wait for that, for
    /// as long as a voter's election time-out at most.
    async fn await_joining(&self) {
        let until = self.now() + self.settings.timing.election_timeout_ms();
        let ready = || self.member.caught_up() && self.configuration.load().is_some();
        while !ready() && self.now() < until && !self.draining.load(Ordering::Acquire) {
            tokio::time::sleep(Duration::from_millis(self.settings.timing.heartbeat_ms() / 2)).await;
        }
    }

    async fn inner_plan(
        &self,
        g: Arc<ActiveConfiguration>,
        head: &Parts,
        raw: &str,
    ) -> Result<Plan, &'static str> {
        let h = forwarding::verify(self.cluster_state().secret, raw).ok_or("unsigned hop")?;
        forwarding::check(self, &h).await.inspect_err(|why| {
            log_event!(Info, "hop", "peer" => h.from, "cause" => *why, "job" => h.request_id);
        })?;
        let mut p = Plan::make(self, g, h.request_id.clone(), head).map_err(|d| d.reason)?;
        if p.entry.name != h.entry {
            return Err("another entry");
        }
        p.key = h.key;
        p.forwarded = true;
        p.deadline = self.now() + h.left_ms.min(p.entry.deadline_ms);
        Ok(p)
    }

    /// Work that may not be read here: sent on, unread, to a router in a home (design 5.2).
    fn redirect_home(&self, p: &Plan, head: &Parts) -> Option<Res> {
        let own = self.own_region(&p.configuration.table);
        let away = self.cluster_state().evacuated.contains(self.zone());
        let at_home = own.as_ref().is_some_and(|o| p.homes.contains(o));
        if at_home && !away {
            return None;
        }
        let near = own.filter(|_| at_home);
        let peer = near
            .and_then(|r| self.router_in(p, &r, &[]))
            .or_else(|| p.homes.iter().find_map(|r| self.router_in(p, r, &[])));
        let reason = if at_home { "evacuated" } else { "outside homes" };
        Some(match peer {
            Some(m) => {
                let path = head.uri.path_and_query().map(|x| x.as_str()).unwrap_or("/");
                let mut r =
                    rejection_response(self, &p.request_id, StatusCode::TEMPORARY_REDIRECT, reason, 0);
                if let Ok(v) = format!("http://{}{path}", m.info.http).parse() {
                    r.headers_mut().insert("location", v);
                }
                r
            }
            None => rejection_response(self, &p.request_id, StatusCode::SERVICE_UNAVAILABLE, reason, 5),
        })
    }

    /// A router of a region that is heard, not evacuated and not tried yet; drawn, so that
    /// no one of them gets it all.
    pub fn router_in(&self, p: &Plan, region: &common::Region, tried: &[String]) -> Option<Member> {
        let l = self.cluster_state();
        let all: Vec<Member> = l
            .routers()
            .into_iter()
            .filter(|m| is_active_in(&l, &p.configuration.table, m, region) && m.info.node != *self.node())
            // One that has just started has heard nobody yet: it takes the members at their word.
            .filter(|m| !tried.contains(&m.info.node.to_string()))
            .filter(|m| self.is_starting() || self.is_live(m))
            .cloned()
            .collect();
        (!all.is_empty()).then(|| all[common::runtime::random_in(0..all.len())].clone())
    }
}

/// The connection cannot, or shall not, carry another request.
fn close(mut r: Res) -> Res {
    r.headers_mut().insert("connection", "close".parse().expect("a fixed header"));
    r
}
