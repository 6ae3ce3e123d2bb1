//! Executes a plan (design 9.6): makes attempts until a replica answers or no further attempt is allowed, and then
//! answers the client at once.

use super::{
    attempt::{AttemptOutcome, OpenRequest},
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

/// Longest answer that is buffered; streams are relayed event by event instead.
const MAX_BUFFERED_ANSWER_BYTES: usize = 1 << 20;

/// The attempts made for one request so far.
pub struct AttemptHistory {
    /// Replicas that were chosen already.
    pub tried_replicas: Vec<ReplicaId>,
    attempts: Attempts,
}

impl AttemptHistory {
    /// The history of a request before its first attempt.
    pub fn of(plan: &Plan) -> Self {
        Self {
            tried_replicas: Vec::new(),
            attempts: Attempts::new(plan.idempotent(), plan.route.max_attempts),
        }
    }

    /// Records how the current attempt ended, and refunds its retry token if it did not reach a replica.
    pub fn end_attempt(&mut self, serving: &Serving, plan: &Plan, end: AttemptEnd) {
        if self.attempts.end(end) {
            serving.retries.give_back(&plan.service);
        }
    }

    /// Logs why the current attempt gave no answer to pass on, and records how it ended.
    pub fn fail_attempt(&mut self, serving: &Serving, plan: &Plan, end: AttemptEnd, error: PeerError) {
        log_event!(Info, error.step, "peer" => error.peer, "cause" => error.cause());
        self.end_attempt(serving, plan, end);
    }
}

/// When a refused client should come back, in milliseconds, by the time that it still has. Late is better: the cause
/// of the refusal is more likely to have passed, and the latency target is measured from the client's return. But a
/// client waits for a third of its time at most.
pub fn retry_after_ms(left_ms: u64) -> u64 {
    (left_ms * 5 / 16).clamp(100, 1_500)
}

impl Serving {
    /// Returns the connection of an answer to the pool if it was read to its end and may be used again.
    pub fn keep_connection(&self, replica: &Candidate, body: AnswerBody) {
        let routers = self.routers().len().max(1);
        if let Some(idle) = body.finish(self.now()) {
            self.pool.keep(&replica.id, idle, (200 / routers).clamp(1, 8), self.now());
        }
    }

    /// Begins another attempt if one is allowed: chooses a replica, and pays from the retry budget if the request has
    /// reached a replica before.
    ///
    /// # Errors
    /// Why there is no further attempt.
    pub fn begin_attempt(
        self: &Arc<Self>,
        plan: &Plan,
        history: &mut AttemptHistory,
    ) -> Result<Candidate, &'static str> {
        let permit = history.attempts.permit();
        let paid = permit == Permit::Paid;
        let past_deadline = self.now() >= plan.deadline;
        if past_deadline || permit == Permit::No || (paid && !self.retries.spend(&plan.service)) {
            return Err("no further attempt");
        }
        let picked = self.select_replica(plan, history);
        match &picked {
            Ok(_) => history.attempts.begin(paid),
            Err(_) if paid => self.retries.give_back(&plan.service),
            Err(_) => {}
        }
        picked
    }

    /// Adds a new request's share to the retry budget of its service.
    fn earn_retries(&self, service: &Service) {
        let (bounds, routers) = (&self.site.bounds, self.routers());
        let ranked_above = retry_budget::ranked_above(service, self.router.node(), &routers);
        let share = BudgetShare::of(bounds.extra_tries, bounds.retry_window_ms, ranked_above, routers.len());
        self.retries.earn(service, bounds.retry_ratio, share, self.now());
    }

    /// Executes a plan and returns the client's answer. `open_count` counts the request as open until its last byte.
    pub async fn execute(self: &Arc<Self>, plan: Arc<Plan>, open_count: Arc<OpenGuard>) -> Response<Body> {
        self.earn_retries(&plan.service);
        let mut history = AttemptHistory::of(&plan);
        loop {
            let replica = match self.begin_attempt(&plan, &mut history) {
                Ok(replica) => replica,
                Err(why) => return self.give_up(&plan, &history, why),
            };
            let open = OpenRequest::new(self, replica.clone());
            match self.attempt(&plan, &replica, None).await {
                AttemptOutcome::Answer(answer) => {
                    if plan.route.kind == RouteKind::Streaming && answer.head.status.is_success() {
                        history.end_attempt(self, &plan, AttemptEnd::MayHaveRun);
                        return stream_relay::relay(self, plan, history, open, open_count, answer);
                    }
                    if let Some(response) = self.buffer_answer(&plan, &mut history, &replica, answer).await {
                        return response;
                    }
                }
                AttemptOutcome::NotSent(error) => {
                    history.fail_attempt(self, &plan, AttemptEnd::NotSent, error);
                    replica.local.avoid(self.now() + self.router.settings.timing.probe_interval_ms);
                }
                AttemptOutcome::Declined(error) => {
                    history.fail_attempt(self, &plan, AttemptEnd::Declined, error);
                }
                AttemptOutcome::MayHaveRun(error) => {
                    history.fail_attempt(self, &plan, AttemptEnd::MayHaveRun, error);
                    replica.local.avoid(self.now() + self.router.settings.timing.probe_interval_ms / 4);
                }
            }
        }
    }

    /// Reads an answer to its end before it is passed on, so that the request can be retried if the answer is cut off.
    /// Returns `None` if the answer is not passed on.
    async fn buffer_answer(
        self: &Arc<Self>,
        plan: &Plan,
        history: &mut AttemptHistory,
        replica: &Candidate,
        mut answer: Answer,
    ) -> Option<Response<Body>> {
        let left = Duration::from_millis(plan.left_ms(self.now()).max(1));
        let read = tokio::time::timeout(left, answer.body.read_to_end(MAX_BUFFERED_ANSWER_BYTES)).await;
        let read = read.unwrap_or_else(|_| Err("not complete before the deadline".into()));
        let bytes = match read {
            Ok(bytes) => bytes,
            Err(why) => {
                let error = PeerError::new("read answer", replica.addr, why);
                history.fail_attempt(self, plan, AttemptEnd::MayHaveRun, error);
                return None;
            }
        };
        history.end_attempt(self, plan, AttemptEnd::MayHaveRun);
        self.keep_connection(replica, answer.body);
        // After a server error another replica may succeed, if a retry is allowed.
        if answer.head.status.is_server_error() && history.attempts.permit() != Permit::No {
            log_event!(Info, "replica", "peer" => replica.id, "cause" => answer.head.status.as_u16());
            return None;
        }
        self.learn_duration(&plan.service, self.now().since(plan.received_at) as f64);
        Some(Response::from_parts(answer.head, full(bytes)))
    }

    /// The router's own answer when there is no further attempt: 503 with `Retry-After` only if no attempt can have
    /// run.
    pub fn give_up(&self, plan: &Plan, history: &AttemptHistory, why: &'static str) -> Response<Body> {
        let status = match history.attempts.final_status(self.now() >= plan.deadline) {
            FinalStatus::Refused => {
                let retry_after_ms = retry_after_ms(plan.left_ms(self.now()));
                return self.error_response(StatusCode::SERVICE_UNAVAILABLE, why, Some(retry_after_ms));
            }
            FinalStatus::BadGateway => StatusCode::BAD_GATEWAY,
            FinalStatus::GatewayTimeout => StatusCode::GATEWAY_TIMEOUT,
        };
        self.error_response(status, why, None)
    }

    /// An error of the router itself, counted by its reason.
    pub fn error_response(
        &self,
        status: StatusCode,
        why: &'static str,
        retry_after_ms: Option<u64>,
    ) -> Response<Body> {
        self.router.counters.reject(why);
        let mut response = json(status, &serde_json::json!({"error": why}));
        if let Some(v) = retry_after_ms.and_then(|ms| format!("{:.3}", ms as f64 / 1000.0).parse().ok()) {
            response.headers_mut().insert("retry-after", v);
        }
        response
    }
}
