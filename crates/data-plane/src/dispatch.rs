//! Carrying out a plan (design 6.2): attempts in turn, each only where the one before allows it.

use crate::{
    attempt::{AttemptTarget, Outcome, OutgoingRequest, attempt},
    attempt_history::{AttemptHistory, AttemptStep},
    gateway::{rejected, unknown},
    plan::Plan,
    retry_policy::{FailedAttempt, may_retry},
    router::{Router, lock},
};
use common::{
    PeerError, Region, ReplicaId,
    http::{Body, OpenGuard},
    log_event,
};
use configuration::Kind;
use hyper::Response;
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// The part of its deadline that a request may spend on the request queue.
const WAIT_RATIO: u64 = 8;

impl Router {
    pub async fn execute(
        self: &Arc<Self>,
        p: &Plan,
        sent: &OutgoingRequest,
        open: OpenGuard,
    ) -> Response<Body> {
        let share = p.configuration.table.tuning.retry_ratio;
        if !p.forwarded {
            self.retry_budget.earn(share);
        }
        let mut history = AttemptHistory::default();
        // Each attempt keeps a part of it, so that the request counts as open once, to its last byte.
        let open = Arc::new(open);
        loop {
            let first = history.attempts == 0;
            // A process that was frozen must not act on what it knew before.
            if let Some(why) = self.blocked_reason(p) {
                return self.final_response(p, &history, why, 2);
            }
            match self.attempt_once(p, sent, &mut history, &open).await {
                AttemptStep::Answer(r) => return r,
                AttemptStep::Again => {}
                AttemptStep::NoRoom(false) => {
                    return self.final_response(p, &history, "no replica in reach", 2);
                }
                AttemptStep::NoRoom(true) if first => {
                    if let Err(why) = self.wait_for_room(p, &mut history).await {
                        let secs = lock(&self.request_queue).retry_after();
                        return self.final_response(p, &history, why, secs);
                    }
                }
                AttemptStep::NoRoom(true) => return self.final_response(p, &history, "no room", 1),
                AttemptStep::NotRun(e) => {
                    let again = self.may_try_again(p, &history, FailedAttempt::NotRun);
                    log_event!(Info, e.step, "peer" => e.peer, "cause" => e.cause(), "job" => p.request_id, "again" => again);
                    if !again {
                        return self.final_response(p, &history, "go failed before it was sent", 1);
                    }
                }
                AttemptStep::MayHaveRun(e) => {
                    let again = self.may_try_again(p, &history, FailedAttempt::MayHaveRun);
                    log_event!(Warn, e.step, "peer" => e.peer, "cause" => e.cause(), "job" => p.request_id, "again" => again);
                    if !again && common::mutation::enabled("unknown-called-bounced") {
                        return rejected(self, p, "go failed", 1);
                    }
                    if !again {
                        return unknown(self, p, &e, self.now() >= p.deadline);
                    }
                    history.may_have_run = Some(e);
                }
            }
        }
    }

    /// Why nothing new may be done for a request: looked at before each attempt, and once more when its
    /// connection is open.
    pub(crate) fn blocked_reason(&self, p: &Plan) -> Option<&'static str> {
        (self.now() >= p.deadline).then_some("past its deadline").or_else(|| self.refuses_work())
    }

    /// No more listed there, draining, or in a zone that was evacuated since it was picked.
    fn departed(&self, id: &ReplicaId, addr: SocketAddr) -> bool {
        let l = self.cluster_state();
        if common::mutation::enabled("departed-still-used") {
            return false;
        }
        l.replicas.get(id).is_none_or(|r| r.draining || r.addr != addr || l.evacuated.contains(&r.zone))
    }

    pub(crate) fn attempt_target<'a>(
        &self,
        p: &Plan,
        to: SocketAddr,
        forbidden: &'a (dyn Fn() -> Option<&'static str> + Send + Sync),
    ) -> AttemptTarget<'a> {
        let (ip, connect_ms) = (self.settings.rpc_addr.ip(), self.settings.timing.rpc_timeout_ms);
        AttemptTarget { ip, to, connect_ms, left_ms: p.deadline.since(self.now()), forbidden }
    }

    fn may_try_again(&self, p: &Plan, history: &AttemptHistory, after: FailedAttempt) -> bool {
        may_retry(after, p.entry.idempotent, p.forwarded, history.attempts)
            && self.now() < p.deadline
            && self.retry_budget.spend()
    }

    async fn attempt_once(
        self: &Arc<Self>,
        p: &Plan,
        sent: &OutgoingRequest,
        history: &mut AttemptHistory,
        open: &Arc<OpenGuard>,
    ) -> AttemptStep {
        let own = self.own_region(&p.configuration.table);
        let target = if p.forwarded {
            own.clone().map(|region| (region, true))
        } else {
            self.target(p, &history.avoid).await
        };
        let Some((region, stored)) = target else {
            let seen = self.region_loads(&p.configuration.table, &p.entry.to);
            let any = own.is_some_and(|o| p.homes.contains(&o) && seen.contains_key(&o));
            return AttemptStep::NoRoom(any || self.is_starting());
        };
        if own.as_ref() == Some(&region) {
            self.local(p, sent, history, open).await
        } else {
            self.remote(p, sent, history, open, region, stored).await
        }
    }

    /// Models go by placement; lookups stay in the own region while it has anyone to ask.
    async fn target(self: &Arc<Self>, p: &Plan, avoid: &BTreeSet<Region>) -> Option<(Region, bool)> {
        let t = &p.configuration.table;
        match p.entry.kind {
            Kind::Model => self.choose_region(p, avoid).await.map(|x| (x.region, x.stored)),
            Kind::Application => {
                let seen = self.region_loads(t, &p.entry.to);
                let own = self.own_region(t).filter(|o| p.homes.contains(o) && seen.contains_key(o));
                let own = own.filter(|o| !avoid.contains(o));
                own.or_else(|| {
                    let open = |r: &Region| {
                        !avoid.contains(r) && lock(&self.held_grants).has(r, &p.entry.to, self.now())
                    };
                    let c = crate::region_choice::candidates(&seen, &p.homes, t.policy(&p.entry), &open);
                    crate::region_choice::draw(&c, common::runtime::random())
                })
                .map(|r| (r, false))
            }
        }
    }

    async fn local(
        self: &Arc<Self>,
        p: &Plan,
        sent: &OutgoingRequest,
        history: &mut AttemptHistory,
        open: &Arc<OpenGuard>,
    ) -> AttemptStep {
        let t = &p.configuration.table;
        let picked = match self.select_replica(t, &p.entry.to, p.entry.kind, p.key, &history.tried) {
            Ok(x) => x,
            Err(any) => return AttemptStep::NoRoom(any || self.is_starting()),
        };
        self.count_attempt(history, "first");
        history.tried.push(picked.id.clone());
        let (addr, own, id) = (picked.addr, picked.local.clone(), picked.id.clone());
        let extra = [("foldshunt-job", p.request_id.to_string())];
        let kept = (picked, open.clone());
        let forbidden =
            || self.blocked_reason(p).or_else(|| self.departed(&id, addr).then_some("replica departed"));
        match attempt(self.attempt_target(p, addr, &forbidden), sent, &extra, kept).await {
            Outcome::Done(r) => {
                self.note_load(&own, r.headers());
                // Another may do better; this one says itself that it did not serve the request.
                if r.status().as_u16() == 503 && self.may_try_again(p, history, FailedAttempt::MayHaveRun) {
                    history.may_have_run = Some(PeerError::new("replica", id, "answered 503"));
                    return AttemptStep::Again;
                }
                AttemptStep::Answer(self.done(p, r))
            }
            Outcome::NotRun(e) => {
                let until = self.now() + self.settings.timing.probe_interval_ms;
                own.avoid_until.store(until.0, Ordering::Relaxed);
                if e.is_refused() {
                    own.refused_at.store(self.now().0, Ordering::Relaxed);
                }
                AttemptStep::NotRun(e)
            }
            Outcome::Unknown(e) => AttemptStep::MayHaveRun(e),
        }
    }

    /// The final answer, at once: rejected only where no attempt of the request can have run.
    fn final_response(
        &self,
        p: &Plan,
        history: &AttemptHistory,
        why: &'static str,
        secs: u64,
    ) -> Response<Body> {
        match history.may_have_run.as_ref().filter(|_| !common::mutation::enabled("unknown-called-bounced")) {
            None => rejected(self, p, why, secs),
            Some(e) => unknown(self, p, e, false),
        }
    }

    pub(crate) fn count_attempt(&self, history: &mut AttemptHistory, kind: &str) {
        let kind = if history.attempts == 0 { kind } else { "extra" };
        self.counters.attempts.inc(&[kind]);
        history.attempts += 1;
    }

    /// A place on the request queue, for a part of the deadline at most; an answer at once where it
    /// would not help.
    async fn wait_for_room(&self, p: &Plan, history: &mut AttemptHistory) -> Result<(), &'static str> {
        let now = self.now();
        let until = *history.wait_until.get_or_insert(
            now + (p.deadline.since(now) / WAIT_RATIO).min(2 * self.settings.timing.probe_interval_ms),
        );
        let bound = p.configuration.table.tuning.queue;
        let joined = lock(&self.request_queue).join(until, bound, now);
        let (at, rx) = joined.map_err(|b| match b {
            crate::request_queue::Rejection::Full => "waitlist full",
            crate::request_queue::Rejection::Late => "waitlist too long",
        })?;
        let got = tokio::time::timeout(Duration::from_millis(until.since(now)), rx).await;
        lock(&self.request_queue).leave(&at);
        got.map(|_| ()).map_err(|_| "no room in time")
    }
}
