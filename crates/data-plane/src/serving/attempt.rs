//! One attempt to have a request answered by one replica (design 9.6). Its outcome says what is certain about the
//! request, which decides whether there may be another attempt. It knows connections and heads, not the rest of the
//! request.

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

/// What is certain about a request after an attempt.
pub enum AttemptOutcome {
    /// The replica answers; the body is still to be read.
    Answer(Answer),
    /// The replica says that it did not run the request.
    Declined(PeerError),
    /// No byte of the request reached a replica.
    NotSent(PeerError),
    /// The replica may have run the request, and there is no answer to pass on.
    MayHaveRun(PeerError),
}

/// Counts a request as open at its replica for as long as this value exists.
pub struct OpenRequest {
    serving: Arc<Serving>,
    /// The replica that the request was sent to.
    pub replica: Candidate,
    /// The replica is in another region.
    forwarded: bool,
    /// Its stream has begun.
    begun: AtomicBool,
}

impl OpenRequest {
    /// Counts a request that is about to be sent to a replica.
    pub fn new(serving: &Arc<Serving>, replica: Candidate) -> Self {
        replica.local.open.fetch_add(1, Ordering::AcqRel);
        let forwarded = replica.region != serving.site.region;
        if forwarded {
            let key = (replica.region.clone(), replica.service.clone());
            *lock(&serving.forwarded_open).entry(key).or_default() += 1;
        }
        Self { serving: serving.clone(), replica, forwarded, begun: AtomicBool::new(false) }
    }

    /// Notes an event of its stream: the request has begun to run with the first one.
    pub fn note_event(&self, plan: &Plan) {
        if !self.begun.swap(true, Ordering::AcqRel) {
            self.serving.note_start(plan, self.serving.now());
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.replica.local.open.fetch_sub(1, Ordering::AcqRel);
        if self.forwarded {
            let key = (self.replica.region.clone(), self.replica.service.clone());
            lock(&self.serving.forwarded_open).entry(key).and_modify(|n| *n -= 1);
        }
    }
}

impl Serving {
    /// How long opening a connection may take; a reachable replica needs less.
    fn connect_timeout_ms(&self) -> u64 {
        self.router.settings.timing.rpc_timeout_ms
    }

    /// The request as it is sent to a replica. `after` is the id of the event after which a resumed stream continues.
    fn request(
        &self,
        plan: &Plan,
        replica: &Candidate,
        after: Option<&str>,
    ) -> Result<Request<common::http::Body>, PeerError> {
        let (step, names) = ("build request", self.protocol.header_names());
        let path = plan.uri.path_and_query().map_or("/", |x| x.as_str());
        let mut req = Request::builder()
            .method(plan.method.clone())
            .uri(path)
            .body(full(plan.body.clone()))
            .at_peer(step, replica.addr)?;
        let headers = req.headers_mut();
        *headers = plan.headers.clone();
        let left_ms = plan.left_ms(self.now()).max(1);
        let mut set = |name: &hyper::header::HeaderName, value: &str| -> Result<(), PeerError> {
            headers.insert(name.clone(), HeaderValue::from_str(value).at_peer(step, replica.addr)?);
            Ok(())
        };
        set(&names.time_left, &left_ms.to_string())?;
        set(&names.wanted_replica, replica.id.as_str())?;
        set(&names.urgency, &plan.urgency().to_string())?;
        after.map_or(Ok(()), |id| set(&names.last_event, id))?;
        Ok(req)
    }

    async fn open_connection(&self, plan: &Plan, replica: &Candidate) -> Result<Ready, PeerError> {
        let timeout_ms = self.connect_timeout_ms().min(plan.left_ms(self.now()).max(1));
        Fresh::open(self.router.settings.rpc_addr.ip(), replica.addr, timeout_ms).await.map(Ready::Fresh)
    }

    /// Makes one attempt. `after` is the id of the event after which a resumed stream continues. If the request may
    /// use an idle connection, that is tried first; if it had closed before the request was written to it, a fresh
    /// one is opened.
    pub async fn attempt(&self, plan: &Plan, replica: &Candidate, after: Option<&str>) -> AttemptOutcome {
        let reuse = connection_reuse::may_reuse(plan.request_traits());
        if let Some(idle) = reuse.then(|| self.pool.take(&replica.id, self.now())).flatten()
            && let Some(outcome) = self.send(plan, replica, after, Ready::Idle(idle)).await
        {
            return outcome;
        }
        let fresh = match self.open_connection(plan, replica).await {
            Ok(fresh) => fresh,
            Err(e) => return AttemptOutcome::NotSent(e),
        };
        let closed = || {
            let why = "the connection closed before the request was sent";
            AttemptOutcome::NotSent(PeerError::new("send", replica.addr, why))
        };
        self.send(plan, replica, after, fresh).await.unwrap_or_else(closed)
    }

    /// Sends the request on a connection; `None` if the connection closed before any byte of the request was written.
    async fn send(
        &self,
        plan: &Plan,
        replica: &Candidate,
        after: Option<&str>,
        connection: Ready,
    ) -> Option<AttemptOutcome> {
        let req = match self.request(plan, replica, after) {
            Ok(r) => r,
            Err(e) => return Some(AttemptOutcome::NotSent(e)),
        };
        // Checked again, because since the choice the zone may have been evacuated, the replica may have begun to
        // drain, or this process may have been suspended.
        let send_by = match self.send_by(plan, replica) {
            Ok(send_by) => send_by,
            Err(why) => {
                return Some(AttemptOutcome::NotSent(PeerError::new("last look", replica.addr, why)));
            }
        };
        let left = Duration::from_millis(plan.left_ms(self.now()).max(1));
        let lost = |why: &dyn std::fmt::Display| {
            AttemptOutcome::MayHaveRun(PeerError::new("await answer", replica.addr, why.to_string()))
        };
        Some(match tokio::time::timeout(left, connection.send(req, send_by)).await {
            Ok(Ok(answer)) => self.note_start_of_answer(plan, self.check_answer(plan, replica, answer)),
            // The connection closed before any byte of the request was written.
            Ok(Err(e)) if e.is_canceled() => return None,
            Ok(Err(e)) => lost(&e),
            Err(_) => lost(&"no answer before the deadline"),
        })
    }

    /// Notes when the request began to run, if it did. A stream begins with its first event. For other requests the
    /// time that they waited at the replica is unknown, so the time of the answer counts: an earlier time could fall
    /// into a usage window that was already counted.
    fn note_start_of_answer(&self, plan: &Plan, outcome: AttemptOutcome) -> AttemptOutcome {
        if matches!(outcome, AttemptOutcome::Answer(_)) && plan.route.kind != RouteKind::Streaming {
            self.note_start(plan, self.now());
        }
        outcome
    }

    /// The time after which no byte of a request may be sent to a replica.
    ///
    /// # Errors
    /// Why nothing may be sent there now, whatever was planned.
    fn send_by(&self, plan: &Plan, replica: &Candidate) -> Result<Tick, &'static str> {
        let now = self.now();
        let view = self.replica_view.load();
        let listed =
            view.replicas_of(&replica.service).iter().find(|x| x.id == replica.id && self.is_usable(x));
        let forbidden = [(now >= plan.deadline, "past its deadline"), (listed.is_none(), "replica left")];
        let forbidden = forbidden.into_iter().find_map(|(no, why)| no.then_some(why));
        if let Some(why) = forbidden.or_else(|| self.router.refusal_reason()) {
            return Err(why);
        }
        let listed_at = listed.map_or(now, |listed| listed.listed_at);
        self.log_old_list(replica, now.since(listed_at));
        Ok(listed_at + self.send_max_age_ms())
    }

    /// Logs that a request relies on an unusually old list of replicas, and whose report that is.
    fn log_old_list(&self, replica: &Candidate, age_ms: u64) {
        if age_ms <= self.list_max_age_ms() / 2 {
            return;
        }
        let reports = lock(&self.reports);
        let publisher = reports.by_zone.get(&replica.zone).map(|held| held.report.publisher.clone());
        log_event!(Debug, "sent by an old list", "peer" => replica.id, "age_ms" => age_ms, "publisher" => format!("{publisher:?}"));
    }

    fn answer_head(&self, plan: &Plan, answer: &Answer) -> AnswerHead {
        let (names, head) = (self.protocol.header_names(), &answer.head);
        let id = match head.headers.get(&names.request_id) {
            None => AnswerId::Absent,
            id if id == plan.request_id.as_ref() => AnswerId::Own,
            Some(_) => AnswerId::Other,
        };
        AnswerHead {
            status: head.status.as_u16(),
            not_run: head.headers.contains_key(&names.not_run),
            sealed: head.headers.contains_key(&names.seal),
            id,
            end_detectable: has_detectable_end(&plan.method, head, answer.body.incoming()),
        }
    }

    /// Decides by an answer's head what is certain about the request.
    fn check_answer(&self, plan: &Plan, replica: &Candidate, mut answer: Answer) -> AttemptOutcome {
        match attempt_state::check_answer(plan.request_traits(), &self.answer_head(plan, &answer)) {
            AnswerCheck::Answer => {
                replica.local.note_contact(self.now());
                strip_hop_by_hop(&mut answer.head.headers);
                AttemptOutcome::Answer(answer)
            }
            AnswerCheck::Declined => {
                let why = format!("declined with {}", answer.head.status.as_u16());
                AttemptOutcome::Declined(PeerError::new("replica", &replica.id, why))
            }
            AnswerCheck::MayHaveRun(why) => {
                AttemptOutcome::MayHaveRun(PeerError::new("read answer", replica.addr, why))
            }
        }
    }
}
