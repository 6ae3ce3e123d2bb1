//! One attempt at one replica (design 9.6): what is certain afterwards decides whether there may be
//! another. Knows connections and heads, not what becomes of the request.

use super::{fleet::Candidate, plan::Plan, state::Serving};
use crate::{body::ends_surely, go::strip, router::lock};
use common::{
    Fault,
    fault::At,
    http::{Sender, full, open},
};
use hyper::{Request, body::Incoming, header::HeaderValue, http::response::Parts};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

/// What is known after an attempt.
pub enum Outcome {
    /// The replica answers; its bytes are still to come.
    Answer(Parts, Incoming, Sender),
    /// It says that it did not run the request.
    Declined(Fault),
    /// Nothing of the request reached anybody.
    NotSent(Fault),
    /// It may have run.
    MayHaveRun(Fault),
}

/// Counts a request as open at its replica until its last byte.
pub struct Open {
    s: Arc<Serving>,
    pub at: Candidate,
    abroad: bool,
}

impl Open {
    pub fn new(s: &Arc<Serving>, at: Candidate) -> Self {
        at.own.open.fetch_add(1, Ordering::AcqRel);
        let abroad = at.region != s.site.region;
        if abroad {
            *lock(&s.abroad).entry((at.region.clone(), at.service.clone())).or_default() += 1;
        }
        Self { s: s.clone(), at, abroad }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.at.own.open.fetch_sub(1, Ordering::AcqRel);
        if self.abroad {
            let at = (self.at.region.clone(), self.at.service.clone());
            lock(&self.s.abroad).entry(at).and_modify(|n| *n -= 1);
        }
    }
}

impl Serving {
    /// How long a connection may take to open: no replica within reach needs as long.
    fn connect_ms(&self) -> u64 {
        self.router.set.timing.rail_ms
    }

    fn request(
        &self,
        p: &Plan,
        c: &Candidate,
        after: Option<&str>,
    ) -> Result<Request<common::http::Body>, Fault> {
        let (step, names) = ("build request", self.dialect.names());
        let path = p.uri.path_and_query().map_or("/", |x| x.as_str());
        let mut req = Request::builder()
            .method(p.method.clone())
            .uri(path)
            .body(full(p.body.clone()))
            .at(step, c.addr)?;
        let h = req.headers_mut();
        *h = p.headers.clone();
        let left = p.left_ms(self.now()).max(1);
        let mut set = |k: &hyper::header::HeaderName, v: &str| -> Result<(), Fault> {
            h.insert(k.clone(), HeaderValue::from_str(v).at(step, c.addr)?);
            Ok(())
        };
        set(&names.time_left, &left.to_string())?;
        set(&names.wanted, c.id.as_str())?;
        set(&names.urgency, &p.route.urgency.to_string())?;
        after.map_or(Ok(()), |id| set(&names.last_event, id))?;
        Ok(req)
    }

    /// A kept connection where the request may run again, else a fresh one.
    async fn connection(&self, p: &Plan, c: &Candidate) -> Result<(Sender, bool), Fault> {
        if p.repeatable()
            && let Some(tx) = self.pool.take(&c.id, self.now())
        {
            return Ok((tx, true));
        }
        let ms = self.connect_ms().min(p.left_ms(self.now()).max(1));
        Ok((open(self.router.set.rail.ip(), c.addr, ms).await?, false))
    }

    /// One attempt; `after` names the event after which a stream is to go on.
    pub async fn attempt(&self, p: &Plan, c: &Candidate, after: Option<&str>) -> Outcome {
        for _ in 0..2 {
            let (mut tx, kept) = match self.connection(p, c).await {
                Ok(x) => x,
                Err(e) => return Outcome::NotSent(e),
            };
            let req = match self.request(p, c, after) {
                Ok(r) => r,
                Err(e) => return Outcome::NotSent(e),
            };
            // Much may have passed since the choice: an evacuation, a drain, a freeze.
            if let Some(why) = self.barred(p, c) {
                return Outcome::NotSent(Fault::new("last look", c.addr, why));
            }
            let left = Duration::from_millis(p.left_ms(self.now()).max(1));
            match tokio::time::timeout(left, tx.send_request(req)).await {
                Ok(Ok(r)) => {
                    let (head, body) = r.into_parts();
                    return self.judge(p, c, head, body, tx);
                }
                // The connection had ended before the request was put on it.
                Ok(Err(e)) if e.is_canceled() && kept => continue,
                Ok(Err(e)) if e.is_canceled() => return Outcome::NotSent(Fault::new("send", c.addr, e)),
                Ok(Err(e)) => return Outcome::MayHaveRun(Fault::new("await answer", c.addr, e)),
                Err(_) => {
                    return Outcome::MayHaveRun(Fault::new(
                        "await answer",
                        c.addr,
                        "none within the deadline",
                    ));
                }
            }
        }
        Outcome::NotSent(Fault::new("send", c.addr, "kept connections had ended"))
    }

    /// Why nothing may be sent to a replica now, whatever was planned.
    pub fn barred(&self, p: &Plan, c: &Candidate) -> Option<&'static str> {
        let now = self.now();
        let fleet = self.fleet.load();
        let listed = fleet.of(&c.service).iter().find(|x| x.id == c.id);
        [(now >= p.deadline, "past its deadline"), (listed.is_none_or(|x| !self.usable(x)), "replica left")]
            .into_iter()
            .find_map(|(no, why)| no.then_some(why))
            .or_else(|| self.router.standing())
    }

    /// What an answer's head says: whose it is, whether the request ran, whether its end can be told.
    fn judge(&self, p: &Plan, c: &Candidate, mut head: Parts, body: Incoming, tx: Sender) -> Outcome {
        let names = self.dialect.names();
        let code = head.status.as_u16();
        if code == 421 || (head.headers.contains_key(&names.not_run) && matches!(code, 503 | 429 | 400 | 408))
        {
            return Outcome::Declined(Fault::new("replica", &c.id, format!("declined with {code}")));
        }
        let broken = |why: &str| Outcome::MayHaveRun(Fault::new("read answer", c.addr, why));
        if p.request_id.is_some() && head.headers.get(&names.request_id) != p.request_id.as_ref() {
            return broken("it answers another request");
        }
        if head.status.is_success() && !head.headers.contains_key(&names.seal) {
            return broken("a success without the replica's seal");
        }
        if !ends_surely(&p.method, &head, &body) {
            return broken("its end can't be told from a cut");
        }
        c.own.hear(self.now());
        strip(&mut head.headers);
        Outcome::Answer(head, body, tx)
    }
}
