//! Streams on their way to the client (design 9.8): event by event, counted by id, taken up at
//! another replica only where the route allows it, and never ended as whole where they were cut.

pub use super::event_splitter::Splitter;
use super::{
    attempt::{Open, Outcome},
    attempt_state::AttemptEnd,
    connection::{Answer, AnswerBody},
    dispatch::AttemptHistory,
    event_splitter::EventPauses,
    plan::Plan,
    state::Serving,
    sync_stream::SyncStream,
};
use bytes::Bytes;
use common::{
    PeerError, Tick,
    http::{Body, BoxErr, OpenGuard},
    log_event,
};
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, body::Frame};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::sync::mpsc;

type Out = mpsc::Sender<Result<Frame<Bytes>, BoxErr>>;

/// How an upstream ended.
enum StreamEnd {
    Whole,
    Cut(String),
    /// Nothing came for long, from a replica that told nobody here anything meanwhile.
    Silent,
    /// The client has gone.
    Left,
}

/// Events that wait for the client, at most.
const CLIENT_BACKLOG: usize = 4;

/// Passes a stream on from its own task; the response keeps the head of its first replica.
pub fn relay(
    serving: &Arc<Serving>,
    plan: Arc<Plan>,
    history: AttemptHistory,
    open: Open,
    open_count: Arc<OpenGuard>,
    Answer { head, body }: Answer,
) -> Response<Body> {
    let (client, mut frames) = mpsc::channel(CLIENT_BACKLOG);
    let pauses = EventPauses::new(plan.received_at);
    let events = Splitter::default();
    let relay = Relay { serving: serving.clone(), plan, history, events, pauses, client };
    common::runtime::spawn(async move {
        let _open = open_count;
        relay.run(open, body).await;
    });
    let stream = futures::stream::poll_fn(move |cx| frames.poll_recv(cx));
    Response::from_parts(head, BodyExt::boxed(StreamBody::new(SyncStream::new(stream))))
}

/// A stream on its way from replicas to one client.
struct Relay {
    serving: Arc<Serving>,
    plan: Arc<Plan>,
    history: AttemptHistory,
    events: Splitter,
    pauses: EventPauses,
    client: Out,
}

impl Relay {
    async fn run(mut self, mut open: Open, mut body: AnswerBody) {
        // A frame that came while another replica was asked to go on.
        let mut held = None;
        loop {
            match self.forward(&open, &mut body, &mut held).await {
                StreamEnd::Whole => return self.finish(&open, body).await,
                StreamEnd::Left => return,
                StreamEnd::Silent => match self.wait_or_resume(&mut body).await {
                    Woken::ClientLeft => return,
                    Woken::Frame(frame) => held = Some(frame),
                    Woken::Resumed(next) => (open, body) = *next,
                    Woken::NoReplica => {}
                },
                StreamEnd::Cut(why) => {
                    self.events.forget();
                    log_event!(Info, "stream", "peer" => open.at.addr, "cause" => why, "after" => self.events.last);
                    drop((body, open));
                    match self.resume_after_cut().await {
                        Woken::Resumed(next) => (open, body) = *next,
                        Woken::ClientLeft => return,
                        Woken::Frame(_) | Woken::NoReplica => {
                            let _ = self.client.send(Err(why.into())).await;
                            return;
                        }
                    }
                }
            }
        }
    }

    /// The stream came whole.
    async fn finish(mut self, open: &Open, body: AnswerBody) {
        let rest = self.events.rest();
        if !rest.is_empty() {
            let _ = self.client.send(Ok(Frame::data(rest))).await;
        }
        let duration_ms = self.serving.now().since(self.plan.received_at) as f64;
        self.serving.learn_duration(&self.plan.service, duration_ms);
        self.pauses.log_if_late(&self.plan, open);
        self.serving.keep(&open.at, body);
    }

    /// Silence alone ends nothing (design 9.8): the stream goes on at another replica, or waits here.
    async fn wait_or_resume(&mut self, body: &mut AnswerBody) -> Woken {
        let last = self.events.last.clone();
        let next = tokio::select! {
            biased;
            () = self.client.closed() => return Woken::ClientLeft,
            frame = body.frame() => return Woken::Frame(frame),
            next = resume(&self.serving, &self.plan, &mut self.history, last.as_deref()) => next,
        };
        let Some(next) = next else { return Woken::NoReplica };
        self.events.forget();
        Woken::Resumed(Box::new(next))
    }

    async fn resume_after_cut(&mut self) -> Woken {
        let last = self.events.last.clone();
        tokio::select! {
            biased;
            () = self.client.closed() => Woken::ClientLeft,
            next = resume(&self.serving, &self.plan, &mut self.history, last.as_deref()) => {
                next.map_or(Woken::NoReplica, |next| Woken::Resumed(Box::new(next)))
            }
        }
    }

    /// Passes whole events on until the upstream ends, in whatever way.
    async fn forward(
        &mut self,
        open: &Open,
        body: &mut AnswerBody,
        held: &mut Option<NextFrame>,
    ) -> StreamEnd {
        let silence = silence(&self.plan);
        loop {
            let frame = tokio::select! {
                biased;
                frame = next(held, body) => frame,
                () = self.client.closed() => return StreamEnd::Left,
                () = tokio::time::sleep(silence) => {
                    if self.is_silent(open, silence) {
                        return StreamEnd::Silent;
                    }
                    continue;
                }
            };
            let frame = match frame {
                None => return StreamEnd::Whole,
                Some(Err(e)) => return StreamEnd::Cut(e.to_string()),
                Some(Ok(frame)) => frame,
            };
            let Some(data) = frame.data_ref() else { continue };
            self.events.push(data);
            if !self.events.continues() {
                return StreamEnd::Cut("its replica does not go on behind the last event".into());
            }
            open.at.local.note_contact(self.serving.now());
            let Some(events) = self.events.whole() else { continue };
            open.note_event(&self.plan);
            self.pauses.event(self.serving.now());
            if self.client.send(Ok(Frame::data(events))).await.is_err() {
                return StreamEnd::Left;
            }
        }
    }

    /// Whether the replica told nobody here anything for long, and another one may be asked in time.
    fn is_silent(&self, open: &Open, silence: Duration) -> bool {
        let now = self.serving.now();
        let quiet_ms = now.since(Tick(open.at.local.last_contact.load(Ordering::Relaxed)));
        self.plan.idempotent() && now < self.plan.deadline && quiet_ms >= silence.as_millis() as u64
    }
}

/// What ends the wait for another replica.
enum Woken {
    ClientLeft,
    /// The silent replica spoke again.
    Frame(NextFrame),
    /// Another replica goes on.
    Resumed(Box<(Open, AnswerBody)>),
    /// None may be asked.
    NoReplica,
}

/// A frame, an error, or the end.
type NextFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

async fn next(held: &mut Option<NextFrame>, body: &mut AnswerBody) -> NextFrame {
    match held.take() {
        Some(frame) => frame,
        None => body.frame().await,
    }
}

/// How long a silence is borne before another replica is looked for: twice the pause that keeps an
/// answer in time.
fn silence(p: &Plan) -> Duration {
    Duration::from_millis(p.route.max_event_gap_ms.unwrap_or(p.route.latency_target_ms).max(250) * 2)
}

/// Takes a cut stream up at another replica, behind the last event that went out.
async fn resume(
    s: &Arc<Serving>,
    p: &Plan,
    past: &mut AttemptHistory,
    last: Option<&str>,
) -> Option<(Open, AnswerBody)> {
    if !p.idempotent() {
        return None;
    }
    loop {
        let c = s.begin(p, past).ok()?;
        let open = Open::new(s, c.clone());
        match s.attempt(p, &c, last).await {
            Outcome::Answer(answer) if answer.head.status.is_success() => {
                past.ended(s, p, AttemptEnd::MayHaveRun);
                return Some((open, answer.body));
            }
            Outcome::Answer(answer) => {
                let why = PeerError::new("resume", c.addr, answer.head.status.to_string());
                past.failed(s, p, AttemptEnd::MayHaveRun, why);
            }
            Outcome::NotSent(e) => {
                past.failed(s, p, AttemptEnd::NotSent, e);
                c.local.avoid(s.now() + s.router.settings.timing.probe_interval_ms);
            }
            Outcome::Declined(e) => past.failed(s, p, AttemptEnd::Declined, e),
            Outcome::MayHaveRun(e) => past.failed(s, p, AttemptEnd::MayHaveRun, e),
        }
    }
}
