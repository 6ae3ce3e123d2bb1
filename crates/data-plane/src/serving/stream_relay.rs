//! Relays streams of events to clients (design 9.8), whole events only. A stream that is cut off is resumed at another
//! replica after the last event passed on, if the route allows it; otherwise it ends as cut off for the client too.

pub use super::event_splitter::EventSplitter;
use super::{
    attempt::{AttemptOutcome, OpenRequest},
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
    http::{Body, BoxError, OpenGuard},
    log_event,
};
use http_body_util::{BodyExt, StreamBody};
use hyper::{Response, body::Frame};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::sync::mpsc;

type ClientSender = mpsc::Sender<Result<Frame<Bytes>, BoxError>>;

/// Why forwarding from a replica stopped.
enum StreamEnd {
    Complete,
    /// The stream was cut off, for this reason.
    Cut(String),
    /// For a long time the replica has sent nothing, neither on this stream nor in any other answer to this router.
    Silent,
    ClientLeft,
}

/// Most pieces of the stream that are queued for the client.
const CLIENT_BACKLOG: usize = 4;

/// Starts a task that relays a stream. The response to the client has the head of the first replica's answer.
pub fn relay(
    serving: &Arc<Serving>,
    plan: Arc<Plan>,
    history: AttemptHistory,
    open: OpenRequest,
    open_count: Arc<OpenGuard>,
    Answer { head, body }: Answer,
) -> Response<Body> {
    let (client, mut frames) = mpsc::channel(CLIENT_BACKLOG);
    let pauses = EventPauses::new(plan.received_at);
    let events = EventSplitter::default();
    let relay = Relay { serving: serving.clone(), plan, history, events, pauses, client };
    common::runtime::spawn(async move {
        let _open = open_count;
        relay.run(open, body).await;
    });
    let stream = futures::stream::poll_fn(move |cx| frames.poll_recv(cx));
    Response::from_parts(head, BodyExt::boxed(StreamBody::new(SyncStream::new(stream))))
}

/// A stream that is relayed from one replica after another to a client.
struct Relay {
    serving: Arc<Serving>,
    plan: Arc<Plan>,
    history: AttemptHistory,
    events: EventSplitter,
    pauses: EventPauses,
    client: ClientSender,
}

impl Relay {
    /// Relays the stream until it ends or the client leaves.
    async fn run(mut self, mut open: OpenRequest, mut body: AnswerBody) {
        // A frame that arrived while another replica was asked to resume the stream.
        let mut held_frame = None;
        loop {
            match self.forward(&open, &mut body, &mut held_frame).await {
                StreamEnd::Complete => return self.finish(&open, body).await,
                StreamEnd::ClientLeft => return,
                StreamEnd::Silent => match self.wait_or_resume(&mut body).await {
                    ResumeOutcome::ClientLeft => return,
                    ResumeOutcome::Frame(frame) => held_frame = Some(frame),
                    ResumeOutcome::Resumed(next) => (open, body) = *next,
                    ResumeOutcome::NoReplica => {}
                },
                StreamEnd::Cut(why) => {
                    self.events.prepare_resume();
                    log_event!(Info, "stream", "peer" => open.replica.addr, "cause" => why, "after" => self.events.last_id);
                    drop((body, open));
                    match self.resume_after_cut().await {
                        ResumeOutcome::Resumed(next) => (open, body) = *next,
                        ResumeOutcome::ClientLeft => return,
                        ResumeOutcome::Frame(_) | ResumeOutcome::NoReplica => {
                            let _ = self.client.send(Err(why.into())).await;
                            return;
                        }
                    }
                }
            }
        }
    }

    /// Ends a stream that is complete: passes on the rest, and keeps the replica's connection.
    async fn finish(mut self, open: &OpenRequest, body: AnswerBody) {
        let rest = self.events.take_rest();
        if !rest.is_empty() {
            let _ = self.client.send(Ok(Frame::data(rest))).await;
        }
        let duration_ms = self.serving.now().since(self.plan.received_at) as f64;
        self.serving.learn_duration(&self.plan.service, duration_ms);
        self.pauses.log_if_late(&self.plan, open);
        self.serving.keep_connection(&open.replica, body);
    }

    /// Looks for another replica while the current one is silent. Silence alone never ends a stream (design 9.8): it
    /// is resumed at another replica, or goes on waiting for its own.
    async fn wait_or_resume(&mut self, body: &mut AnswerBody) -> ResumeOutcome {
        let last = self.events.last_id.clone();
        let next = tokio::select! {
            biased;
            () = self.client.closed() => return ResumeOutcome::ClientLeft,
            frame = body.frame() => return ResumeOutcome::Frame(frame),
            next = resume(&self.serving, &self.plan, &mut self.history, last.as_deref()) => next,
        };
        let Some(next) = next else { return ResumeOutcome::NoReplica };
        self.events.prepare_resume();
        ResumeOutcome::Resumed(Box::new(next))
    }

    /// Looks for another replica after the stream was cut off.
    async fn resume_after_cut(&mut self) -> ResumeOutcome {
        let last = self.events.last_id.clone();
        tokio::select! {
            biased;
            () = self.client.closed() => ResumeOutcome::ClientLeft,
            next = resume(&self.serving, &self.plan, &mut self.history, last.as_deref()) => {
                next.map_or(ResumeOutcome::NoReplica, |next| ResumeOutcome::Resumed(Box::new(next)))
            }
        }
    }

    /// Passes whole events on until the stream ends or has to be resumed elsewhere.
    async fn forward(
        &mut self,
        open: &OpenRequest,
        body: &mut AnswerBody,
        held_frame: &mut Option<NextFrame>,
    ) -> StreamEnd {
        let max_silence = max_silence(&self.plan);
        loop {
            let frame = tokio::select! {
                biased;
                frame = next_frame(held_frame, body) => frame,
                () = self.client.closed() => return StreamEnd::ClientLeft,
                () = tokio::time::sleep(max_silence) => {
                    if self.is_silent(open, max_silence) {
                        return StreamEnd::Silent;
                    }
                    continue;
                }
            };
            let frame = match frame {
                None => return StreamEnd::Complete,
                Some(Err(e)) => return StreamEnd::Cut(e.to_string()),
                Some(Ok(frame)) => frame,
            };
            let Some(data) = frame.data_ref() else { continue };
            self.events.push(data);
            if !self.events.continues_after_last() {
                return StreamEnd::Cut("the replica does not continue after the last event".into());
            }
            open.replica.local.note_contact(self.serving.now());
            let Some(events) = self.events.take_whole_events() else { continue };
            open.note_event(&self.plan);
            self.pauses.note_event(self.serving.now());
            if self.client.send(Ok(Frame::data(events))).await.is_err() {
                return StreamEnd::ClientLeft;
            }
        }
    }

    /// Whether the replica has sent this router nothing for too long, and another one may be asked in time.
    fn is_silent(&self, open: &OpenRequest, max_silence: Duration) -> bool {
        let now = self.serving.now();
        let quiet_ms = now.since(Tick(open.replica.local.last_contact.load(Ordering::Relaxed)));
        self.plan.idempotent() && now < self.plan.deadline && quiet_ms >= max_silence.as_millis() as u64
    }
}

/// How looking for another replica ended.
enum ResumeOutcome {
    ClientLeft,
    /// The silent replica has sent something again.
    Frame(NextFrame),
    /// Another replica resumes the stream.
    Resumed(Box<(OpenRequest, AnswerBody)>),
    /// No other replica may be asked.
    NoReplica,
}

/// A frame, an error, or the end of the body.
type NextFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

async fn next_frame(held_frame: &mut Option<NextFrame>, body: &mut AnswerBody) -> NextFrame {
    match held_frame.take() {
        Some(frame) => frame,
        None => body.frame().await,
    }
}

/// How long a replica may be silent before another one is asked: twice the longest pause that the route allows.
fn max_silence(plan: &Plan) -> Duration {
    Duration::from_millis(plan.route.max_event_gap_ms.unwrap_or(plan.route.latency_target_ms).max(250) * 2)
}

/// Resumes a stream at another replica, after the last event that was passed on.
async fn resume(
    serving: &Arc<Serving>,
    plan: &Plan,
    history: &mut AttemptHistory,
    last_id: Option<&str>,
) -> Option<(OpenRequest, AnswerBody)> {
    if !plan.idempotent() {
        return None;
    }
    loop {
        let replica = serving.begin_attempt(plan, history).ok()?;
        let open = OpenRequest::new(serving, replica.clone());
        match serving.attempt(plan, &replica, last_id).await {
            AttemptOutcome::Answer(answer) if answer.head.status.is_success() => {
                history.end_attempt(serving, plan, AttemptEnd::MayHaveRun);
                return Some((open, answer.body));
            }
            AttemptOutcome::Answer(answer) => {
                let error = PeerError::new("resume", replica.addr, answer.head.status.to_string());
                history.fail_attempt(serving, plan, AttemptEnd::MayHaveRun, error);
            }
            AttemptOutcome::NotSent(e) => {
                history.fail_attempt(serving, plan, AttemptEnd::NotSent, e);
                replica.local.avoid(serving.now() + serving.router.settings.timing.probe_interval_ms);
            }
            AttemptOutcome::Declined(e) => history.fail_attempt(serving, plan, AttemptEnd::Declined, e),
            AttemptOutcome::MayHaveRun(e) => history.fail_attempt(serving, plan, AttemptEnd::MayHaveRun, e),
        }
    }
}
