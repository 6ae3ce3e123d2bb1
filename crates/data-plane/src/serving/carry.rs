//! Carrying a plan out (design 9.6): attempts until one answers, or until what is certain forbids
//! another. Then the final answer, at once.

use super::{
    attempt::{Open, Outcome},
    choose::{self, READS_PER_MS, Wish},
    cold, events,
    fleet::Candidate,
    plan::Plan,
    retries::{self, Share},
    state::Serving,
};
use crate::router::lock;
use bytes::Bytes;
use common::{
    Fault, ReplicaId, Service,
    http::{Body, BusyGuard, Sender, full, json},
    jot,
};
use configuration::RouteKind;
use http_body_util::{BodyExt, Limited};
use hyper::{Response, StatusCode, body::Incoming, http::response::Parts};
use std::{sync::Arc, time::Duration};

/// Attempts that reach nobody, after which the request is given up.
const MOST_UNSENT: u32 = 4;
/// Longest answer that is read whole before it is passed on.
const WHOLE: usize = 1 << 20;

/// What became of a request so far.
#[derive(Default)]
pub struct Past {
    pub tried: Vec<ReplicaId>,
    /// Attempts that reached a replica.
    pub arrived: u32,
    pub unsent: u32,
    /// A token was taken for the attempt at hand.
    paid: bool,
    /// One that may have run.
    pub maybe: Option<Fault>,
}

impl Past {
    /// Whether there may be another attempt; pays for it.
    pub fn may_go_again(&mut self, s: &Serving, p: &Plan) -> bool {
        if self.unsent >= MOST_UNSENT || self.arrived >= p.route.tries.max(1) {
            return false;
        }
        self.paid = self.arrived > 0;
        !self.paid || s.retries.spend(&p.service)
    }

    /// It reached nobody: what was paid comes back, and others come first for a while.
    pub fn failed(&mut self, s: &Serving, p: &Plan, c: &Candidate, e: Fault) {
        jot!(Info, e.step, "peer" => e.peer, "cause" => e.cause);
        if std::mem::take(&mut self.paid) {
            s.retries.give_back(&p.service);
        }
        self.unsent += 1;
        c.own.shun_until(s.now() + s.router.set.timing.check_ms);
    }

    pub fn ran(&mut self, e: Fault) {
        jot!(Info, e.step, "peer" => e.peer, "cause" => e.cause);
        self.arrived += 1;
        self.maybe = Some(e);
    }

    fn declined(&mut self, e: Fault) {
        jot!(Info, e.step, "peer" => e.peer, "cause" => e.cause);
        self.arrived += 1;
    }
}

/// When a refused client should come back: what refused it is over the sooner the later that is, a
/// client waits for a third of its time at most, and its aim counts from when it comes.
pub fn back_ms(left_ms: u64) -> u64 {
    (left_ms * 5 / 16).clamp(100, 1_500)
}

impl Serving {
    /// Chooses a replica among those that may take the request now.
    pub fn pick(self: &Arc<Self>, p: &Plan, past: &mut Past) -> Result<Candidate, &'static str> {
        let (now, fleet) = (self.now(), self.fleet.load_full());
        let routers = self.routers();
        let most = (p.backend.max_conns as usize * 9 / 10 / routers.len().max(1)).max(2);
        let bound = p.backend.cold_per_s * self.site.bounds.cold_overrun + self.site.bounds.cold_slack;
        let rate = |c: &Candidate| cold::rate(bound, &c.id, self.router.node(), &routers);
        let warm = |c: &Candidate| {
            !self.cold(c, &p.backend, now) || rate(c).is_some_and(|_| lock(&c.own.bucket).ready(now))
        };
        let there = |c: &Candidate| self.usable(c) && !past.tried.contains(&c.id);
        let usable = |c: &Candidate| there(c) && c.well && !c.own.shunned(now);
        let conns =
            |c: &Candidate| (c.own.open.load(std::sync::atomic::Ordering::Relaxed).max(0) as usize) < most;
        let reading = lock(&self.router.reading);
        let mut wish = Wish {
            prompt: &p.prompt,
            area: self.router.area(),
            region: &self.site.region,
            sticky: p.route.sticky,
            long: p.long,
            apart: false,
            pause_ms: p.route.gap_target_ms.unwrap_or(p.route.target_ms) as f64,
            reading: &reading,
            prefixes: &p.prefixes,
            reads_per_ms: READS_PER_MS,
            now,
            hold_ms: self.hold_ms(&p.service),
            unit: common::ground::draw(),
        };
        let fit = |c: &&Candidate| choose::fits(c, &p.prompt) && warm(c) && conns(c);
        let home = |c: &Candidate| p.route.homes.is_empty() || p.route.homes.contains(&c.region);
        let all = fleet.of(&p.service);
        let mut found = None;
        for r in self.regions(p, &usable) {
            let cands: Vec<&Candidate> =
                all.iter().filter(|c| c.region == r && usable(c)).filter(fit).collect();
            wish.apart = lock(&self.mix).meet(&p.service, &r, now);
            if choose::hopeless(&cands, &wish, p.route.target_ms as f64) {
                continue;
            }
            found = choose::best(&cands, &wish).cloned();
            if found.is_some() {
                break;
            }
        }
        // Better a doubtful one than none.
        let found = found.or_else(|| {
            let cands: Vec<&Candidate> = all.iter().filter(|c| home(c) && there(c)).filter(fit).collect();
            let cands: Vec<&Candidate> =
                cands.into_iter().filter(|c| !c.well || c.own.shunned(now)).collect();
            choose::best(&cands, &wish).cloned()
        });
        let c = found.ok_or("no room at any replica")?;
        if self.cold(&c, &p.backend, now) {
            lock(&c.own.bucket).take(rate(&c).unwrap_or(1.0), now);
        }
        drop(reading);
        self.tell(p, &c);
        past.tried.push(c.id.clone());
        Ok(c)
    }

    /// Keeps a connection whose answer came whole.
    pub fn keep(&self, c: &Candidate, tx: Sender) {
        let routers = self.routers().len().max(1);
        self.pool.keep(&c.id, tx, None, (200 / routers).clamp(1, 8), self.now());
    }

    /// A request came: it adds its part to the budget of further tries.
    fn earn_further_tries(&self, svc: &Service) {
        let (b, routers) = (&self.site.bounds, self.routers());
        let rank = retries::rank(svc, self.router.node(), &routers);
        let share = Share::of(b.extra_tries, b.retry_window_ms, rank, routers.len());
        self.retries.earn(svc, b.retry_ratio, share, self.now());
    }

    pub async fn carry(self: &Arc<Self>, p: Arc<Plan>, busy: Arc<BusyGuard>) -> Response<Body> {
        self.earn_further_tries(&p.service);
        let mut past = Past::default();
        loop {
            if self.now() >= p.deadline || (past.arrived + past.unsent > 0 && !past.may_go_again(self, &p)) {
                return self.given_up(&p, &past, "no further attempt");
            }
            let c = match self.pick(&p, &mut past) {
                Ok(c) => c,
                Err(why) => return self.given_up(&p, &past, why),
            };
            let open = Open::new(self, c.clone());
            match self.attempt(&p, &c, None).await {
                Outcome::Answer(head, body, tx) => {
                    let stream = p.route.kind == RouteKind::Streaming && head.status.is_success();
                    if stream {
                        past.arrived += 1;
                        return events::relay(self, p, past, open, busy, (head, body, tx));
                    }
                    match self.whole(&p, &mut past, &c, (head, body, tx)).await {
                        Some(r) => return r,
                        None => continue,
                    }
                }
                Outcome::NotSent(e) => past.failed(self, &p, &c, e),
                Outcome::Declined(e) => past.declined(e),
                Outcome::MayHaveRun(e) => {
                    c.own.shun_until(self.now() + self.router.set.timing.check_ms / 4);
                    past.ran(e);
                    if !p.repeatable() {
                        return self.given_up(&p, &past, "it may have run");
                    }
                }
            }
        }
    }

    /// An answer that is read whole before it is passed on, so that a cut one may be asked for again.
    async fn whole(
        self: &Arc<Self>,
        p: &Plan,
        past: &mut Past,
        c: &Candidate,
        (head, body, tx): (Parts, Incoming, Sender),
    ) -> Option<Response<Body>> {
        let left = Duration::from_millis(p.left_ms(self.now()).max(1));
        let read = tokio::time::timeout(left, Limited::new(body, WHOLE).collect()).await;
        let bytes: Bytes = match read {
            Ok(Ok(b)) => b.to_bytes(),
            Ok(Err(e)) => {
                past.ran(Fault::new("read answer", c.addr, e));
                return if p.repeatable() {
                    None
                } else {
                    Some(self.given_up(p, past, "the answer broke off"))
                };
            }
            Err(_) => {
                past.ran(Fault::new("read answer", c.addr, "not whole within the deadline"));
                return Some(self.given_up(p, past, "past its deadline"));
            }
        };
        // Its own failure counts as run: another may do better where that is allowed.
        if head.status.is_server_error() && p.repeatable() && past.arrived + 1 < p.route.tries {
            past.ran(Fault::new("replica", &c.id, head.status));
            return None;
        }
        self.learn(&p.service, self.now().since(p.came) as f64);
        self.keep(c, tx);
        Some(Response::from_parts(head, full(bytes)))
    }

    /// The final answer, at once: refused only where nothing of it can have run, with when to come
    /// back.
    pub fn given_up(&self, p: &Plan, past: &Past, why: &'static str) -> Response<Body> {
        if past.maybe.is_none() {
            let back = back_ms(p.left_ms(self.now()));
            return self.refused(StatusCode::SERVICE_UNAVAILABLE, why, Some(back));
        }
        let late = self.now() >= p.deadline;
        let code = if late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
        self.refused(code, why, None)
    }

    pub fn refused(&self, code: StatusCode, why: &'static str, back_ms: Option<u64>) -> Response<Body> {
        self.router.numbers.bounce(why);
        let mut r = json(code, &serde_json::json!({"error": why}));
        if let Some(v) = back_ms.and_then(|ms| format!("{:.3}", ms as f64 / 1000.0).parse().ok()) {
            r.headers_mut().insert("retry-after", v);
        }
        r
    }
}
