//! How long a connection has been idle or has been receiving a head, as observed on its stream and its response bodies.

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

/// What a connection is doing.
#[derive(Clone, Copy, PartialEq)]
enum Phase {
    /// It waits for a request.
    Idle,
    /// Part of a request's head has arrived.
    ReceivingHead,
    /// A request is being received, handled or answered.
    Serving,
}

struct State {
    phase: Phase,
    since: Instant,
    /// Idle timeout that the newest response announced to the client.
    announced_idle_timeout_ms: u64,
}

/// The phase of a connection; shared by its stream, its requests and its timer.
pub(super) struct Progress(Mutex<State>);

impl Progress {
    pub(super) fn new() -> Self {
        Self(Mutex::new(State { phase: Phase::Idle, since: Instant::now(), announced_idle_timeout_ms: 0 }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.0)
    }

    fn received(&self) {
        let mut state = self.state();
        if state.phase == Phase::Idle {
            (state.phase, state.since) = (Phase::ReceivingHead, Instant::now());
        }
    }

    /// The last bytes of a response may be sent after its body has ended; the idle time starts after them.
    fn sent(&self, written: &Poll<io::Result<usize>>) {
        let mut state = self.state();
        if matches!(written, Poll::Ready(Ok(count)) if *count > 0) && state.phase == Phase::Idle {
            state.since = Instant::now();
        }
    }

    pub(super) fn request_begins(&self) {
        self.state().phase = Phase::Serving;
    }

    pub(super) fn response_begins(&self, idle_timeout_ms: u64) {
        self.state().announced_idle_timeout_ms = idle_timeout_ms;
    }

    fn response_ended(&self) {
        let mut state = self.state();
        (state.phase, state.since) = (Phase::Idle, Instant::now());
    }

    /// When the connection is closed if its phase does not change. An idle timeout that was announced to the client is
    /// honoured even if the limit has been lowered since.
    pub(super) fn deadline(&self, limits: &ConnectionLimits) -> Option<Instant> {
        let state = self.state();
        let timeout_ms = match state.phase {
            Phase::Idle => limits.idle_timeout_ms.max(state.announced_idle_timeout_ms),
            Phase::ReceivingHead => limits.header_timeout_ms,
            Phase::Serving => return None,
        };
        Some(state.since + Duration::from_millis(timeout_ms))
    }
}

/// A connection's stream, which reports received and sent bytes to its progress.
pub(super) struct TimedStream {
    pub(super) inner: Stream,
    pub(super) progress: Arc<Progress>,
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
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
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.progress.sent(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, parts);
        self.progress.sent(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

/// A response body, which reports its end to the connection's progress.
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
        self.progress.response_ended();
    }
}
