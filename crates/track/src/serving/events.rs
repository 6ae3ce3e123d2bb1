//! Streams on their way to the client (design 9.8): event by event, counted by id, taken up at
//! another replica only where the route allows it, and never ended as whole where they were cut.

use super::{
    attempt::{Open, Outcome},
    carry::Past,
    plan::Plan,
    state::Serving,
};
use bytes::{Bytes, BytesMut};
use gauge::{
    Fault, Tick,
    http::{Body, BoxErr, BusyGuard, Sender},
    jot,
};
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Response,
    body::{Frame, Incoming},
    http::response::Parts,
};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::sync::mpsc;

type Out = mpsc::Sender<Result<Frame<Bytes>, BoxErr>>;

/// Cuts whole events out of what has come so far.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    pub last: Option<String>,
}

impl Splitter {
    pub fn push(&mut self, b: &[u8]) {
        self.buf.extend_from_slice(b);
    }

    /// All whole events that wait, as one piece.
    pub fn whole(&mut self) -> Option<Bytes> {
        let end = self.buf.windows(2).rposition(|w| w == b"\n\n")? + 2;
        let out = self.buf.split_to(end).freeze();
        if let Some(id) = last_id(&out) {
            self.last = Some(id);
        }
        Some(out)
    }

    /// What is left behind the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Forgets half an event: its whole comes from elsewhere.
    pub fn forget(&mut self) {
        self.buf.clear();
    }
}

fn last_id(events: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(events).ok()?;
    text.lines().rev().find_map(|l| l.strip_prefix("id:")).map(|v| v.trim().to_string())
}

/// The pauses of a stream.
struct Beat {
    last: Tick,
    first: Option<u64>,
    gap: u64,
}

impl Beat {
    fn event(&mut self, now: Tick) {
        let pause = now.since(self.last);
        self.last = now;
        match self.first {
            None => self.first = Some(pause),
            Some(_) => self.gap = self.gap.max(pause),
        }
    }

    /// A line for each stream that came late or paused too long.
    fn tell(&self, p: &Plan, open: &Open) {
        let first = self.first.unwrap_or(0);
        if first > p.route.target_ms || p.route.gap_target_ms.is_some_and(|g| self.gap > g) {
            jot!(Info, "late stream", "peer" => open.at.addr, "route" => p.route.name, "first_ms" => first,
                "gap_ms" => self.gap, "tokens" => p.prompt.tokens_in, "load" => open.at.load());
        }
    }
}

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
    busy: Arc<BusyGuard>,
    (head, body, tx): (Parts, Incoming, Sender),
) -> Response<Body> {
    let (out, mut rx) = mpsc::channel(4);
    let s = s.clone();
    gauge::ground::spawn(async move {
        let _busy = busy;
        run(s, p, past, open, (body, tx), out).await;
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
    mut open: Open,
    up: (Incoming, Sender),
    out: Out,
) {
    let mut parts = Splitter::default();
    let mut beat = Beat { last: p.came, first: None, gap: 0 };
    let (mut body, mut tx) = up;
    loop {
        match forward(&s, &p, &open, &mut body, (&mut parts, &mut beat), &out).await {
            Ended::Whole => {
                let rest = parts.rest();
                if !rest.is_empty() {
                    let _ = out.send(Ok(Frame::data(rest))).await;
                }
                s.learn(&p.service, s.now().since(p.came) as f64);
                beat.tell(&p, &open);
                s.keep(&open.at, tx);
                return;
            }
            Ended::Left => return,
            // Silence alone ends nothing (design 9.8): the stream goes on elsewhere, or waits here.
            Ended::Silent => {
                if let Some(next) = resumed(&s, &p, &mut past, parts.last.as_deref()).await {
                    parts.forget();
                    (open, body, tx) = next;
                }
            }
            Ended::Cut(why) => {
                parts.forget();
                jot!(Info, "stream", "peer" => open.at.addr, "cause" => why, "after" => parts.last);
                drop((body, tx, open));
                match resumed(&s, &p, &mut past, parts.last.as_deref()).await {
                    Some((o, b, t)) => (open, body, tx) = (o, b, t),
                    None => {
                        let _ = out.send(Err(why.into())).await;
                        return;
                    }
                }
            }
        }
    }
}

async fn forward(
    s: &Serving,
    p: &Plan,
    open: &Open,
    body: &mut Incoming,
    (parts, beat): (&mut Splitter, &mut Beat),
    out: &Out,
) -> Ended {
    loop {
        let frame = tokio::select! {
            f = body.frame() => f,
            () = out.closed() => return Ended::Left,
            () = tokio::time::sleep(silence(p)) => {
                let quiet = s.now().since(Tick(open.at.own.heard.load(Ordering::Relaxed)));
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
                open.at.own.hear(s.now());
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
async fn resumed(
    s: &Arc<Serving>,
    p: &Plan,
    past: &mut Past,
    last: Option<&str>,
) -> Option<(Open, Incoming, Sender)> {
    if !p.repeatable() {
        return None;
    }
    while s.now() < p.deadline && past.may_go_again(s, p) {
        let c = s.pick(p, past).ok()?;
        let open = Open::new(s, c.clone());
        match s.attempt(p, &c, last).await {
            Outcome::Answer(head, body, tx) if head.status.is_success() => return Some((open, body, tx)),
            Outcome::NotSent(e) => past.failed(s, p, &c, e),
            Outcome::Declined(e) | Outcome::MayHaveRun(e) => past.ran(e),
            Outcome::Answer(head, ..) => past.ran(Fault::new("resume", c.addr, head.status)),
        }
    }
    None
}
