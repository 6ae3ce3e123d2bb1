//! Carrying a plan out (design 9.6): attempts until one answers, or until what is certain forbids
//! another. Then the final answer, at once.

use super::{
    attempt::{Open, Outcome},
    attempt_state::{AttemptEnd, Attempts, FinalStatus, Permit},
    connection::{Answer, AnswerBody},
    plan::Plan,
    replica_view::Candidate,
    retry_budget::{self, BudgetShare},
    state::Serving,
    stream_relay,
};
use common::{
    PeerError, ReplicaId, Service,
    http::{Body, OpenGuard, full, json},
    log_event,
};
use configuration::RouteKind;
use hyper::{Response, StatusCode};
use std::{sync::Arc, time::Duration};

/// Longest answer that is read whole before it is passed on.
const WHOLE: usize = 1 << 20;

/// What became of a request so far.
pub struct AttemptHistory {
    pub tried_replicas: Vec<ReplicaId>,
    tries: Attempts,
}

impl AttemptHistory {
    pub fn of(p: &Plan) -> Self {
        Self { tried_replicas: Vec::new(), tries: Attempts::new(p.idempotent(), p.route.tries) }
    }

    /// The attempt under way has ended.
    pub fn ended(&mut self, s: &Serving, p: &Plan, how: AttemptEnd) {
        if self.tries.ended(how) {
            s.retries.give_back(&p.service);
        }
    }

    /// It ended with nothing to pass on.
    pub fn failed(&mut self, s: &Serving, p: &Plan, how: AttemptEnd, why: PeerError) {
        log_event!(Info, why.step, "peer" => why.peer, "cause" => why.cause());
        self.ended(s, p, how);
    }
}

/// When a refused client should come back: what refused it is over the sooner the later that is, a
/// client waits for a third of its time at most, and its aim counts from when it comes.
pub fn retry_after_ms(left_ms: u64) -> u64 {
    (left_ms * 5 / 16).clamp(100, 1_500)
}

impl Serving {
    /// Keeps the connection of an answer that came whole, where it may be used again.
    pub fn keep(&self, c: &Candidate, body: AnswerBody) {
        let routers = self.routers().len().max(1);
        if let Some(idle) = body.finish(self.now()) {
            self.pool.keep(&c.id, idle, (200 / routers).clamp(1, 8), self.now());
        }
    }

    /// Begins another attempt, where there may be one: chooses a replica and pays.
    pub fn begin(self: &Arc<Self>, p: &Plan, past: &mut AttemptHistory) -> Result<Candidate, &'static str> {
        let permit = past.tries.permit();
        let paid = permit == Permit::Paid;
        let past_deadline = self.now() >= p.deadline;
        if past_deadline || permit == Permit::No || (paid && !self.retries.spend(&p.service)) {
            return Err("no further attempt");
        }
        let picked = self.select_replica(p, past);
        match &picked {
            Ok(_) => past.tries.begin(paid),
            Err(_) if paid => self.retries.give_back(&p.service),
            Err(_) => {}
        }
        picked
    }

    /// A request came: it adds its part to the budget of further tries.
    fn earn_retries(&self, svc: &Service) {
        let (b, routers) = (&self.site.bounds, self.routers());
        let ranked_above = retry_budget::ranked_above(svc, self.router.node(), &routers);
        let share = BudgetShare::of(b.extra_tries, b.retry_window_ms, ranked_above, routers.len());
        self.retries.earn(svc, b.retry_ratio, share, self.now());
    }

    pub async fn carry(self: &Arc<Self>, p: Arc<Plan>, open_count: Arc<OpenGuard>) -> Response<Body> {
        self.earn_retries(&p.service);
        let mut past = AttemptHistory::of(&p);
        loop {
            let c = match self.begin(&p, &mut past) {
                Ok(c) => c,
                Err(why) => return self.given_up(&p, &past, why),
            };
            let open = Open::new(self, c.clone());
            match self.attempt(&p, &c, None).await {
                Outcome::Answer(answer) => {
                    if p.route.kind == RouteKind::Streaming && answer.head.status.is_success() {
                        past.ended(self, &p, AttemptEnd::MayHaveRun);
                        return stream_relay::relay(self, p, past, open, open_count, answer);
                    }
                    if let Some(r) = self.whole(&p, &mut past, &c, answer).await {
                        return r;
                    }
                }
                Outcome::NotSent(e) => {
                    past.failed(self, &p, AttemptEnd::NotSent, e);
                    c.local.avoid(self.now() + self.router.settings.timing.probe_interval_ms);
                }
                Outcome::Declined(e) => past.failed(self, &p, AttemptEnd::Declined, e),
                Outcome::MayHaveRun(e) => {
                    past.failed(self, &p, AttemptEnd::MayHaveRun, e);
                    c.local.avoid(self.now() + self.router.settings.timing.probe_interval_ms / 4);
                }
            }
        }
    }

    /// An answer that is read whole before it is passed on, so that a cut one may be asked for again.
    async fn whole(
        self: &Arc<Self>,
        p: &Plan,
        past: &mut AttemptHistory,
        c: &Candidate,
        mut answer: Answer,
    ) -> Option<Response<Body>> {
        let left = Duration::from_millis(p.left_ms(self.now()).max(1));
        let read = tokio::time::timeout(left, answer.body.whole(WHOLE)).await;
        let read = read.unwrap_or_else(|_| Err("not whole within the deadline".into()));
        let bytes = match read {
            Ok(bytes) => bytes,
            Err(why) => {
                past.failed(self, p, AttemptEnd::MayHaveRun, PeerError::new("read answer", c.addr, why));
                return None;
            }
        };
        past.ended(self, p, AttemptEnd::MayHaveRun);
        self.keep(c, answer.body);
        // Another may do better than its own failure, where that is allowed.
        if answer.head.status.is_server_error() && past.tries.permit() != Permit::No {
            log_event!(Info, "replica", "peer" => c.id, "cause" => answer.head.status.as_u16());
            return None;
        }
        self.learn_duration(&p.service, self.now().since(p.received_at) as f64);
        Some(Response::from_parts(answer.head, full(bytes)))
    }

    /// The final answer, at once: refused only where nothing of it can have run, with when to come
    /// back.
    pub fn given_up(&self, p: &Plan, past: &AttemptHistory, why: &'static str) -> Response<Body> {
        let code = match past.tries.last_word(self.now() >= p.deadline) {
            FinalStatus::Refused => {
                let back = retry_after_ms(p.left_ms(self.now()));
                return self.refused(StatusCode::SERVICE_UNAVAILABLE, why, Some(back));
            }
            FinalStatus::BadGateway => StatusCode::BAD_GATEWAY,
            FinalStatus::GatewayTimeout => StatusCode::GATEWAY_TIMEOUT,
        };
        self.refused(code, why, None)
    }

    pub fn refused(
        &self,
        code: StatusCode,
        why: &'static str,
        retry_after_ms: Option<u64>,
    ) -> Response<Body> {
        self.router.counters.reject(why);
        let mut r = json(code, &serde_json::json!({"error": why}));
        if let Some(v) = retry_after_ms.and_then(|ms| format!("{:.3}", ms as f64 / 1000.0).parse().ok()) {
            r.headers_mut().insert("retry-after", v);
        }
        r
    }
}
