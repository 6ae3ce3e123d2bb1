//! One attempt at one replica (design 9.6): what is certain afterwards decides whether there may be
//! another. Knows connections and heads, not what becomes of the request.

use super::{
    attempt_state::{self, AnswerCheck, AnswerHead, AnswerId},
    connection::{Answer, Fresh, Ready},
    connection_reuse,
    plan::Plan,
    replica_view::Candidate,
    state::Serving,
};
use crate::{attempt::strip_hop_by_hop, response_body::has_detectable_end, router::lock};
use common::{PeerError, Tick, error::AtPeer, http::full, log_event};
use configuration::RouteKind;
use hyper::{Request, header::HeaderValue};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// What is known after an attempt.
pub enum Outcome {
    /// The replica answers; its bytes are still to come.
    Answer(Answer),
    /// It says that it did not run the request.
    Declined(PeerError),
    /// Nothing of the request reached anybody.
    NotSent(PeerError),
    /// It may have run.
    MayHaveRun(PeerError),
}

/// Counts a request as open at its replica until its last byte.
pub struct Open {
    s: Arc<Serving>,
    pub at: Candidate,
    forwarded_open: bool,
    /// Its stream has begun.
    begun: AtomicBool,
}

impl Open {
    pub fn new(s: &Arc<Serving>, at: Candidate) -> Self {
        at.local.open.fetch_add(1, Ordering::AcqRel);
        let forwarded_open = at.region != s.site.region;
        if forwarded_open {
            *lock(&s.forwarded_open).entry((at.region.clone(), at.service.clone())).or_default() += 1;
        }
        Self { s: s.clone(), at, forwarded_open, begun: AtomicBool::new(false) }
    }

    /// An event of its stream came: with the first one the run has begun.
    pub fn note_event(&self, plan: &Plan) {
        if !self.begun.swap(true, Ordering::AcqRel) {
            self.s.note_start(plan, self.s.now());
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.at.local.open.fetch_sub(1, Ordering::AcqRel);
        if self.forwarded_open {
            let at = (self.at.region.clone(), self.at.service.clone());
            lock(&self.s.forwarded_open).entry(at).and_modify(|n| *n -= 1);
        }
    }
}

impl Serving {
    /// How long a connection may take to open: no replica within reach needs as long.
    fn connect_ms(&self) -> u64 {
        self.router.settings.timing.rpc_timeout_ms
    }

    fn request(
        &self,
        p: &Plan,
        c: &Candidate,
        after: Option<&str>,
    ) -> Result<Request<common::http::Body>, PeerError> {
        let (step, names) = ("build request", self.protocol.header_names());
        let path = p.uri.path_and_query().map_or("/", |x| x.as_str());
        let mut req = Request::builder()
            .method(p.method.clone())
            .uri(path)
            .body(full(p.body.clone()))
            .at_peer(step, c.addr)?;
        let h = req.headers_mut();
        *h = p.headers.clone();
        let left = p.left_ms(self.now()).max(1);
        let mut set = |k: &hyper::header::HeaderName, v: &str| -> Result<(), PeerError> {
            h.insert(k.clone(), HeaderValue::from_str(v).at_peer(step, c.addr)?);
            Ok(())
        };
        set(&names.time_left, &left.to_string())?;
        set(&names.wanted_replica, c.id.as_str())?;
        set(&names.urgency, &p.urgency().to_string())?;
        after.map_or(Ok(()), |id| set(&names.last_event, id))?;
        Ok(req)
    }

    async fn fresh(&self, p: &Plan, c: &Candidate) -> Result<Ready, PeerError> {
        let ms = self.connect_ms().min(p.left_ms(self.now()).max(1));
        Fresh::open(self.router.settings.rpc_addr.ip(), c.addr, ms).await.map(Ready::Fresh)
    }

    /// One attempt; `after` names the event after which a stream is to go on. An idle connection is
    /// tried first where that may be; if it had ended before the request was put on it, a fresh one.
    pub async fn attempt(&self, p: &Plan, c: &Candidate, after: Option<&str>) -> Outcome {
        let reuse = connection_reuse::may_reuse(p.request_traits());
        if let Some(idle) = reuse.then(|| self.pool.take(&c.id, self.now())).flatten()
            && let Some(outcome) = self.send(p, c, after, Ready::Idle(idle)).await
        {
            return outcome;
        }
        let fresh = match self.fresh(p, c).await {
            Ok(fresh) => fresh,
            Err(e) => return Outcome::NotSent(e),
        };
        let ended = || Outcome::NotSent(PeerError::new("send", c.addr, "the connection had ended"));
        self.send(p, c, after, fresh).await.unwrap_or_else(ended)
    }

    /// Puts the request on a connection; nothing where that had ended before.
    async fn send(&self, p: &Plan, c: &Candidate, after: Option<&str>, on: Ready) -> Option<Outcome> {
        let req = match self.request(p, c, after) {
            Ok(r) => r,
            Err(e) => return Some(Outcome::NotSent(e)),
        };
        // Much may have passed since the choice: an evacuation, a drain, a freeze.
        let leave_by = match self.leave_by(p, c) {
            Ok(leave_by) => leave_by,
            Err(why) => return Some(Outcome::NotSent(PeerError::new("last look", c.addr, why))),
        };
        let left = Duration::from_millis(p.left_ms(self.now()).max(1));
        let lost = |why: &dyn std::fmt::Display| {
            Outcome::MayHaveRun(PeerError::new("await answer", c.addr, why.to_string()))
        };
        Some(match tokio::time::timeout(left, on.send(req, leave_by)).await {
            Ok(Ok(answer)) => self.noted(p, self.check_answer(p, c, answer)),
            // The connection ended before any byte of the request was put on it.
            Ok(Err(e)) if e.is_canceled() => return None,
            Ok(Err(e)) => lost(&e),
            Err(_) => lost(&"none within the deadline"),
        })
    }

    /// Notes when the request began to run, if it did. A stream begins with its first event; how long another request
    /// waited at its replica is not known, so it counts from its answer: a start that is noted for an earlier time may
    /// fall into a window that was counted already.
    fn noted(&self, p: &Plan, outcome: Outcome) -> Outcome {
        if matches!(outcome, Outcome::Answer(_)) && p.route.kind != RouteKind::Streaming {
            self.note_start(p, self.now());
        }
        outcome
    }

    /// Until when a request may be put on a connection to a replica; why nothing may be sent there now, whatever was
    /// planned.
    fn leave_by(&self, p: &Plan, c: &Candidate) -> Result<Tick, &'static str> {
        let now = self.now();
        let fleet = self.replica_view.load();
        let listed = fleet.replicas_of(&c.service).iter().find(|x| x.id == c.id && self.is_usable(x));
        let forbidden = [(now >= p.deadline, "past its deadline"), (listed.is_none(), "replica left")];
        let forbidden = forbidden.into_iter().find_map(|(no, why)| no.then_some(why));
        if let Some(why) = forbidden.or_else(|| self.router.refusal_reason()) {
            return Err(why);
        }
        let listed_at = listed.map_or(now, |listed| listed.listed_at);
        self.note_list_age(c, now.since(listed_at));
        Ok(listed_at + self.send_max_age_ms())
    }

    /// Tells of a request that goes by a list which is older than usual, and whose report that was.
    fn note_list_age(&self, c: &Candidate, age_ms: u64) {
        if age_ms <= self.list_max_age_ms() / 2 {
            return;
        }
        let reports = lock(&self.reports);
        let publisher = reports.by_zone.get(&c.zone).map(|held| held.report.publisher.clone());
        log_event!(Debug, "sent by an old list", "peer" => c.id, "age_ms" => age_ms, "publisher" => format!("{publisher:?}"));
    }

    fn answer_head(&self, p: &Plan, answer: &Answer) -> AnswerHead {
        let (names, head) = (self.protocol.header_names(), &answer.head);
        let id = match head.headers.get(&names.request_id) {
            None => AnswerId::Absent,
            told if told == p.request_id.as_ref() => AnswerId::Own,
            Some(_) => AnswerId::Other,
        };
        AnswerHead {
            status: head.status.as_u16(),
            not_run: head.headers.contains_key(&names.not_run),
            sealed: head.headers.contains_key(&names.seal),
            id,
            ends_surely: has_detectable_end(&p.method, head, answer.body.incoming()),
        }
    }

    /// What an answer's head says: whose it is, whether the request ran, whether its end can be told.
    fn check_answer(&self, p: &Plan, c: &Candidate, mut answer: Answer) -> Outcome {
        match attempt_state::check_answer(p.request_traits(), &self.answer_head(p, &answer)) {
            AnswerCheck::Answer => {
                c.local.note_contact(self.now());
                strip_hop_by_hop(&mut answer.head.headers);
                Outcome::Answer(answer)
            }
            AnswerCheck::Declined => {
                let why = format!("declined with {}", answer.head.status.as_u16());
                Outcome::Declined(PeerError::new("replica", &c.id, why))
            }
            AnswerCheck::MayHaveRun(why) => Outcome::MayHaveRun(PeerError::new("read answer", c.addr, why)),
        }
    }
}
