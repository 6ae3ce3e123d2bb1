//! Executes a plan (design 6.2): attempts in turn, each only where the outcome of the one before allows it.

use crate::{
    attempt::{AttemptTarget, Outcome, OutgoingRequest, attempt},
    attempt_history::{AttemptHistory, AttemptStep},
    plan::Plan,
    response::{rejected, unknown},
    retry_policy::{FailedAttempt, may_retry},
    router::{Router, lock},
};
use common::{
    PeerError, Region, ReplicaId,
    http::{Body, OpenGuard},
    log_event,
};
use configuration::ServiceKind;
use hyper::Response;
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// A request may wait in the request queue for the time to its deadline divided by this.
const QUEUE_WAIT_DIVISOR: u64 = 8;

impl Router {
    /// Attempts a request until there is a final response.
    pub async fn execute(
        self: &Arc<Self>,
        plan: &Plan,
        request: &OutgoingRequest,
        open: OpenGuard,
    ) -> Response<Body> {
        let retry_ratio = plan.configuration.table.tuning.retry_ratio;
        if !plan.forwarded {
            self.retry_budget.earn(retry_ratio);
        }
        let mut history = AttemptHistory::default();
        // Each attempt holds a reference, so that the request counts as open once, until its last byte is sent.
        let open = Arc::new(open);
        loop {
            let first = history.attempts == 0;
            // Checked anew each time: a process that was suspended must not act on outdated state.
            if let Some(reason) = self.blocked_reason(plan) {
                return self.give_up(plan, &history, reason, 2);
            }
            match self.attempt_once(plan, request, &mut history, &open).await {
                AttemptStep::Answer(response) => return response,
                AttemptStep::Again => {}
                AttemptStep::NoRoom(false) => {
                    return self.give_up(plan, &history, "no replica in reach", 2);
                }
                AttemptStep::NoRoom(true) if first => {
                    if let Err(reason) = self.wait_for_room(plan, &mut history).await {
                        let retry_s = lock(&self.request_queue).retry_after();
                        return self.give_up(plan, &history, reason, retry_s);
                    }
                }
                AttemptStep::NoRoom(true) => return self.give_up(plan, &history, "no room", 1),
                AttemptStep::NotRun(e) => {
                    let again = self.may_try_again(plan, &history, FailedAttempt::NotRun);
                    log_event!(Info, e.step, "peer" => e.peer, "cause" => e.cause(), "job" => plan.request_id, "again" => again);
                    if !again {
                        return self.give_up(plan, &history, "go failed before it was sent", 1);
                    }
                }
                AttemptStep::MayHaveRun(e) => {
                    let again = self.may_try_again(plan, &history, FailedAttempt::MayHaveRun);
                    log_event!(Warn, e.step, "peer" => e.peer, "cause" => e.cause(), "job" => plan.request_id, "again" => again);
                    if !again && common::mutation::enabled("unknown-called-bounced") {
                        return rejected(self, plan, "go failed", 1);
                    }
                    if !again {
                        return unknown(self, plan, &e, self.now() >= plan.deadline);
                    }
                    history.may_have_run = Some(e);
                }
            }
        }
    }

    /// Why no new attempt may be made for a request, if so. Checked before each attempt, and again when its connection
    /// is open.
    pub(crate) fn blocked_reason(&self, plan: &Plan) -> Option<&'static str> {
        (self.now() >= plan.deadline).then_some("past its deadline").or_else(|| self.refusal_reason())
    }

    /// Whether a replica is not listed at this address any more, is draining, or is in an evacuated zone.
    fn departed(&self, id: &ReplicaId, addr: SocketAddr) -> bool {
        let state = self.cluster_state();
        if common::mutation::enabled("departed-still-used") {
            return false;
        }
        let listed = state.replicas.get(id);
        listed.is_none_or(|r| r.draining || r.addr != addr || state.evacuated.contains(&r.zone))
    }

    /// Target of an attempt that may take until the request's deadline.
    pub(crate) fn attempt_target<'a>(
        &self,
        plan: &Plan,
        address: SocketAddr,
        blocked_reason: &'a (dyn Fn() -> Option<&'static str> + Send + Sync),
    ) -> AttemptTarget<'a> {
        let (local_ip, connect_ms) = (self.settings.rpc_addr.ip(), self.settings.timing.rpc_timeout_ms);
        let left_ms = plan.deadline.since(self.now());
        AttemptTarget { local_ip, address, connect_ms, left_ms, blocked_reason }
    }

    /// Whether a request may be attempted again; takes a token of the retry budget if so.
    fn may_try_again(&self, plan: &Plan, history: &AttemptHistory, failed: FailedAttempt) -> bool {
        may_retry(failed, plan.entry.idempotent, plan.forwarded, history.attempts)
            && self.now() < plan.deadline
            && self.retry_budget.spend()
    }

    /// Makes one attempt in the region that is chosen for the request.
    async fn attempt_once(
        self: &Arc<Self>,
        plan: &Plan,
        request: &OutgoingRequest,
        history: &mut AttemptHistory,
        open: &Arc<OpenGuard>,
    ) -> AttemptStep {
        let own = self.own_region(&plan.configuration.table);
        let target = if plan.forwarded {
            own.clone().map(|region| (region, true))
        } else {
            self.target_region(plan, &history.avoid).await
        };
        let Some((region, stored)) = target else {
            let loads = self.region_loads(&plan.configuration.table, &plan.entry.service);
            let served_here = own.is_some_and(|o| plan.homes.contains(&o) && loads.contains_key(&o));
            return AttemptStep::NoRoom(served_here || self.is_starting());
        };
        if own.as_ref() == Some(&region) {
            self.attempt_locally(plan, request, history, open).await
        } else {
            self.attempt_remotely(plan, request, history, open, region, stored).await
        }
    }

    /// The region for the next attempt, and whether it is the user's stored placement. Requests to models go by
    /// placement; those to applications stay in this node's region while it has a usable replica.
    async fn target_region(
        self: &Arc<Self>,
        plan: &Plan,
        avoid: &BTreeSet<Region>,
    ) -> Option<(Region, bool)> {
        let table = &plan.configuration.table;
        match plan.entry.kind {
            ServiceKind::Model => self.choose_region(plan, avoid).await.map(|x| (x.region, x.stored)),
            ServiceKind::Application => {
                let loads = self.region_loads(table, &plan.entry.service);
                let own = self.own_region(table).filter(|o| plan.homes.contains(o) && loads.contains_key(o));
                let own = own.filter(|o| !avoid.contains(o));
                own.or_else(|| {
                    let open_to = |region: &Region| {
                        !avoid.contains(region)
                            && lock(&self.held_grants).has(region, &plan.entry.service, self.now())
                    };
                    let policy = table.policy(&plan.entry);
                    let candidates = crate::region_choice::candidates(&loads, &plan.homes, policy, &open_to);
                    crate::region_choice::draw(&candidates, common::runtime::random())
                })
                .map(|r| (r, false))
            }
        }
    }

    /// Attempts a request at a replica of this node's region.
    async fn attempt_locally(
        self: &Arc<Self>,
        plan: &Plan,
        request: &OutgoingRequest,
        history: &mut AttemptHistory,
        open: &Arc<OpenGuard>,
    ) -> AttemptStep {
        let (table, entry) = (&plan.configuration.table, &plan.entry);
        let replica = match self.select_replica(table, &entry.service, entry.kind, plan.key, &history.tried) {
            Ok(replica) => replica,
            Err(replicas_exist) => return AttemptStep::NoRoom(replicas_exist || self.is_starting()),
        };
        self.count_attempt(history, "first");
        history.tried.push(replica.id.clone());
        let (addr, local, id) = (replica.addr, replica.local.clone(), replica.id.clone());
        let extra = [("foldshunt-job", plan.request_id.to_string())];
        let kept = (replica, open.clone());
        let blocked_reason =
            || self.blocked_reason(plan).or_else(|| self.departed(&id, addr).then_some("replica departed"));
        match attempt(self.attempt_target(plan, addr, &blocked_reason), request, &extra, kept).await {
            Outcome::Done(response) => {
                self.record_server_load(&local, response.headers());
                // The replica says that it did not serve the request; another one may.
                if response.status().as_u16() == 503
                    && self.may_try_again(plan, history, FailedAttempt::MayHaveRun)
                {
                    history.may_have_run = Some(PeerError::new("replica", id, "answered 503"));
                    return AttemptStep::Again;
                }
                AttemptStep::Answer(self.done(plan, response))
            }
            Outcome::NotRun(e) => {
                let until = self.now() + self.settings.timing.probe_interval_ms;
                local.avoid_until.store(until.0, Ordering::Relaxed);
                if e.is_refused() {
                    local.refused_at.store(self.now().0, Ordering::Relaxed);
                }
                AttemptStep::NotRun(e)
            }
            Outcome::Unknown(e) => AttemptStep::MayHaveRun(e),
        }
    }

    /// Response to a request that is not attempted again: rejected only where no attempt can have run.
    fn give_up(&self, plan: &Plan, history: &AttemptHistory, why: &'static str, secs: u64) -> Response<Body> {
        match history.may_have_run.as_ref().filter(|_| !common::mutation::enabled("unknown-called-bounced")) {
            None => rejected(self, plan, why, secs),
            Some(e) => unknown(self, plan, e, false),
        }
    }

    /// Counts an attempt; any after the first counts as "extra".
    pub(crate) fn count_attempt(&self, history: &mut AttemptHistory, kind: &str) {
        let kind = if history.attempts == 0 { kind } else { "extra" };
        self.counters.attempts.inc(&[kind]);
        history.attempts += 1;
    }

    /// Waits in the request queue, for a part of the time to the deadline. Fails at once where waiting would not help.
    async fn wait_for_room(&self, plan: &Plan, history: &mut AttemptHistory) -> Result<(), &'static str> {
        let now = self.now();
        let until = *history.wait_until.get_or_insert(
            now + (plan.deadline.since(now) / QUEUE_WAIT_DIVISOR)
                .min(2 * self.settings.timing.probe_interval_ms),
        );
        let bound = plan.configuration.table.tuning.queue_capacity;
        let joined = lock(&self.request_queue).join(until, bound, now);
        let (place, woken) = joined.map_err(|rejection| match rejection {
            crate::request_queue::Rejection::Full => "waitlist full",
            crate::request_queue::Rejection::Late => "waitlist too long",
        })?;
        let result = tokio::time::timeout(Duration::from_millis(until.since(now)), woken).await;
        lock(&self.request_queue).leave(&place);
        result.map(|_| ()).map_err(|_| "no room in time")
    }
}
