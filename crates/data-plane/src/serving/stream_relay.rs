//! Streams on their way to the client (design 9.8): event by event, counted by id, taken up at
//! another replica only where the route allows it, and never ended as whole where they were cut.

pub use super::event_splitter::Splitter;
use super::{
    attempt::{Open, Outcome},
    attempt_state::AttemptEnd,
    connection::{Answer, AnswerBody},
    dispatch::Past,
    event_splitter::EventPauses,
    plan::Plan,
    state::Serving,
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
enum Ended {
    Whole,
    Cut(String),
    /// Nothing came for long, from a replica that told nobody here anything meanwhile.
    Silent,
    /// The client has gone.
    Left,
}

/// Passes a stream on from its own task; the answer keeps the head of its first replica.
pub fn relay(
    s: &Arc<Serving>,
    p: Arc<Plan>,
    past: Past,
    open: Open,
    open_count: Arc<OpenGuard>,
    Answer { head, body }: Answer,
) -> Response<Body> {
    let (out, mut rx) = mpsc::channel(4);
    let s = s.clone();
    common::runtime::spawn(async move {
        let _busy = open_count;
        run(s, p, past, (open, body), out).await;
    });
    let stream = futures::stream::poll_fn(move |cx| rx.poll_recv(cx));
    Response::from_parts(head, BodyExt::boxed(StreamBody::new(SyncStream(std::sync::Mutex::new(stream)))))
}

/// A body must be shareable between threads; nobody but its connection ever reads it.
struct SyncStream<S>(std::sync::Mutex<S>);

impl<S: futures::Stream + Unpin> futures::Stream for SyncStream<S> {
    type Item = S::Item;
    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<S::Item>> {
        let mut g = self.0.lock().unwrap_or_else(|e| e.into_inner());
        std::pin::Pin::new(&mut *g).poll_next(cx)
    }
}

async fn run(
    s: Arc<Serving>,
    p: Arc<Plan>,
    mut past: Past,
    (mut open, mut body): (Open, AnswerBody),
    out: Out,
) {
    let mut parts = Splitter::default();
    let mut beat = EventPauses::new(p.came);
    // What came while another replica was asked to go on.
    let mut held = None;
    loop {
        match forward(&s, &p, &open, &mut body, &mut held, (&mut parts, &mut beat), &out).await {
            Ended::Whole => {
                let rest = parts.rest();
                if !rest.is_empty() {
                    let _ = out.send(Ok(Frame::data(rest))).await;
                }
                s.learn_duration(&p.service, s.now().since(p.came) as f64);
                beat.announce_prompt(&p, &open);
                s.keep(&open.at, body);
                return;
            }
            Ended::Left => return,
            // Silence alone ends nothing (design 9.8): the stream attempts on elsewhere, or waits here.
            Ended::Silent => {
                let woke = tokio::select! {
                    biased;
                    () = out.closed() => return,
                    f = body.frame() => Ok(f),
                    next = resume(&s, &p, &mut past, parts.last.as_deref()) => Err(next),
                };
                match woke {
                    Ok(f) => held = Some(f),
                    Err(Some(next)) => {
                        parts.forget();
                        (open, body) = next;
                    }
                    Err(None) => {}
                }
            }
            Ended::Cut(why) => {
                parts.forget();
                log_event!(Info, "stream", "peer" => open.at.addr, "cause" => why, "after" => parts.last);
                drop((body, open));
                let next = tokio::select! {
                    biased;
                    () = out.closed() => return,
                    next = resume(&s, &p, &mut past, parts.last.as_deref()) => next,
                };
                match next {
                    Some(next) => (open, body) = next,
                    None => {
                        let _ = out.send(Err(why.into())).await;
                        return;
                    }
                }
            }
        }
    }
}

/// A frame, an error, or the end.
type NextFrame = Option<Result<Frame<Bytes>, hyper::Error>>;

async fn next(held: &mut Option<NextFrame>, body: &mut AnswerBody) -> NextFrame {
    match held.take() {
        Some(f) => f,
        None => body.frame().await,
    }
}

async fn forward(
    s: &Serving,
    p: &Plan,
    open: &Open,
    body: &mut AnswerBody,
    held: &mut Option<NextFrame>,
    (parts, beat): (&mut Splitter, &mut EventPauses),
    out: &Out,
) -> Ended {
    loop {
        let frame = tokio::select! {
            biased;
            f = next(held, body) => f,
            () = out.closed() => return Ended::Left,
            () = tokio::time::sleep(silence(p)) => {
                let quiet = s.now().since(Tick(open.at.own.last_contacts.load(Ordering::Relaxed)));
                if p.repeatable() && s.now() < p.deadline && quiet >= silence(p).as_millis() as u64 {
                    return Ended::Silent;
                }
                continue;
            }
        };
        match frame {
            None => return Ended::Whole,
            Some(Err(e)) => return Ended::Cut(e.to_string()),
            Some(Ok(f)) => {
                let Some(data) = f.data_ref() else { continue };
                parts.push(data);
                if !parts.continues() {
                    return Ended::Cut("its replica does not go on behind the last event".into());
                }
                open.at.own.note_contact(s.now());
                let Some(events) = parts.whole() else { continue };
                beat.event(s.now());
                if out.send(Ok(Frame::data(events))).await.is_err() {
                    return Ended::Left;
                }
            }
        }
    }
}

/// How long a silence is borne before another replica is looked for: twice the pause that keeps an
/// answer in time.
fn silence(p: &Plan) -> Duration {
    Duration::from_millis(p.route.gap_target_ms.unwrap_or(p.route.target_ms).max(250) * 2)
}

/// Takes a cut stream up at another replica, behind the last event that went out.
async fn resume(
    s: &Arc<Serving>,
    p: &Plan,
    past: &mut Past,
    last: Option<&str>,
) -> Option<(Open, AnswerBody)> {
    if !p.repeatable() {
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
                c.own.avoid(s.now() + s.router.set.timing.probe_interval_ms);
            }
            Outcome::Declined(e) => past.failed(s, p, AttemptEnd::Declined, e),
            Outcome::MayHaveRun(e) => past.failed(s, p, AttemptEnd::MayHaveRun, e),
        }
    }
}
