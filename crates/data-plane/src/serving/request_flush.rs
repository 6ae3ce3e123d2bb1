//! Whether the request of an exchange has left whole: an answer may come before. The HTTP library takes
//! a body into its buffer and then says nothing more of it, so the body tells when it was taken, and the
//! stream below when the buffer was emptied after that. The stream also takes no byte of a request later than
//! that may leave, however long it was held up before.

use bytes::Bytes;
use common::{
    Clock, Tick,
    http::{Body, BoxError},
    runtime::Stream,
};
use futures::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

const LEAVING: u8 = 0;
const TAKEN: u8 = 1;
const LEFT: u8 = 2;

/// How far the request at hand has left; one for each connection.
#[derive(Clone, Debug, Default)]
pub struct RequestFlush(Arc<Progress>);

#[derive(Debug, Default)]
struct Progress {
    step: AtomicU8,
    /// No byte of the request may leave after this [`Tick`].
    leave_by: AtomicU64,
    clock: Clock,
}

impl RequestFlush {
    /// A body whose taking is noted: the request at hand is over with it. No byte leaves after `leave_by`.
    pub fn of(&self, body: Body, leave_by: Tick) -> Body {
        let taken = body.is_end_stream();
        self.0.leave_by.store(leave_by.0, Ordering::Release);
        self.0.step.store(if taken { TAKEN } else { LEAVING }, Ordering::Release);
        BodyExt::boxed(TrackedBody { body, outgoing: self.clone() })
    }

    pub fn has_left(&self) -> bool {
        self.0.step.load(Ordering::Acquire) == LEFT
    }

    /// For how many milliseconds more a byte may leave; `None`: no longer.
    fn time_left_ms(&self) -> Option<u64> {
        self.0.leave_by.load(Ordering::Acquire).checked_sub(self.0.clock.now().0)
    }

    fn taken(&self) {
        let _ = self.0.step.compare_exchange(LEAVING, TAKEN, Ordering::AcqRel, Ordering::Acquire);
    }

    fn flushed(&self) {
        let _ = self.0.step.compare_exchange(TAKEN, LEFT, Ordering::AcqRel, Ordering::Acquire);
    }
}

struct TrackedBody {
    body: Body,
    outgoing: RequestFlush,
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) || self.body.is_end_stream() {
            self.outgoing.taken();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A body is dropped once it was taken as far as its announced length goes, or when its connection closes.
impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.outgoing.taken();
    }
}

/// A stream that notes when all that was written to it has left. The HTTP library flushes it once its own
/// buffer is empty.
pub struct FlushTrackingStream {
    stream: Stream,
    outgoing: RequestFlush,
    /// Ends the wait of a writer that is held up.
    held_up: Option<Pin<Box<Sleep>>>,
}

impl FlushTrackingStream {
    pub fn new(stream: Stream, outgoing: RequestFlush) -> Self {
        Self { stream, outgoing, held_up: None }
    }

    /// A write, unless it is too late for one.
    fn write_in_time(
        &mut self,
        cx: &mut Context<'_>,
        write: impl FnOnce(Pin<&mut Stream>, &mut Context<'_>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let too_late = || io::Error::new(io::ErrorKind::TimedOut, "the request may no longer leave");
        let Some(left_ms) = self.outgoing.time_left_ms() else { return Poll::Ready(Err(too_late())) };
        let polled = write(Pin::new(&mut self.stream), cx);
        if polled.is_ready() {
            self.held_up = None;
            return polled;
        }
        let wait = Duration::from_millis(left_ms + 1);
        let held_up = self.held_up.get_or_insert_with(|| Box::pin(sleep(wait)));
        match held_up.poll_unpin(cx) {
            Poll::Ready(()) => Poll::Ready(Err(too_late())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for FlushTrackingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for FlushTrackingStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.write_in_time(cx, |stream, cx| stream.poll_write(cx, buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write_in_time(cx, |stream, cx| stream.poll_write_vectored(cx, bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.outgoing.flushed();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
