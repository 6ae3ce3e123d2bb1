//! The time that a connection spends at rest and on heads, as its stream and the bodies of its answers see it.

use super::ConnectionLimits;
use crate::{
    http::{Body, BoxError},
    runtime::Stream,
    sync::lock,
};
use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::Instant,
};

/// Where a connection is between two requests.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// Nothing of a request is here.
    Idle,
    /// Some bytes of a head are here.
    Head,
    /// A request is being read, carried out or answered.
    OpenCount,
}

struct State {
    phase: Phase,
    since: Instant,
    /// How long it may stay idle by the newest response, in milliseconds.
    announced_idle_ms: u64,
}

/// Shared by a connection's stream, its requests and its timer.
pub(super) struct Progress(Mutex<State>);

impl Progress {
    pub(super) fn new() -> Self {
        Self(Mutex::new(State { phase: Phase::Idle, since: Instant::now(), announced_idle_ms: 0 }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.0)
    }

    fn received(&self) {
        let mut state = self.state();
        if state.phase == Phase::Idle {
            (state.phase, state.since) = (Phase::Head, Instant::now());
        }
    }

    /// The last bytes of an answer may leave after its body has ended: the rest begins behind them.
    fn sent(&self, written: &Poll<io::Result<usize>>) {
        let mut state = self.state();
        if matches!(written, Poll::Ready(Ok(n)) if *n > 0) && state.phase == Phase::Idle {
            state.since = Instant::now();
        }
    }

    pub(super) fn request_begins(&self) {
        self.state().phase = Phase::OpenCount;
    }

    pub(super) fn answer_begins(&self, idle_timeout_ms: u64) {
        self.state().announced_idle_ms = idle_timeout_ms;
    }

    fn answer_ended(&self) {
        let mut state = self.state();
        (state.phase, state.since) = (Phase::Idle, Instant::now());
    }

    /// When the connection is to be closed, unless something happens before. An idle time that was announced to the
    /// client is kept to, also when the limit has been lowered since.
    pub(super) fn due(&self, limits: &ConnectionLimits) -> Option<Instant> {
        let state = self.state();
        let most_ms = match state.phase {
            Phase::Idle => limits.idle_timeout_ms.max(state.announced_idle_ms),
            Phase::Head => limits.header_timeout_ms,
            Phase::OpenCount => return None,
        };
        Some(state.since + Duration::from_millis(most_ms))
    }
}

/// A connection's bytes; tells its progress when some have come or gone.
pub(super) struct TimedStream {
    pub(super) io: Stream,
    pub(super) progress: Arc<Progress>,
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.io).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.progress.received();
        }
        read
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(context, bytes);
        self.progress.sent(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(context, parts);
        self.progress.sent(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}

/// An answer's body; tells the connection's progress when it has ended.
pub(super) struct TimedBody {
    pub(super) body: Body,
    pub(super) progress: Arc<Progress>,
}

impl hyper::body::Body for TimedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TimedBody {
    fn drop(&mut self) {
        self.progress.answer_ended();
    }
}
