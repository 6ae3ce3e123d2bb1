//! Tracks whether the whole request of an exchange has been sent, since an answer may arrive before that. The HTTP
//! library reads a body into its buffer and reports nothing after that. So [`TrackedBody`] notes when the body was
//! read, and [`FlushTrackingStream`] when the buffer was flushed afterwards. The stream also refuses to write any
//! byte of a request after its `send_by`, however long the write was blocked before.

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

/// The HTTP library has not read the whole body yet.
const READING: u8 = 0;
/// The HTTP library has read the whole body into its buffer.
const BUFFERED: u8 = 1;
/// The buffer was flushed after that.
const FLUSHED: u8 = 2;

/// How far the current request has been sent; one for each connection.
#[derive(Clone, Debug, Default)]
pub struct RequestFlush(Arc<Progress>);

#[derive(Debug, Default)]
struct Progress {
    step: AtomicU8,
    /// No byte of the request may be written after this [`Tick`].
    send_by: AtomicU64,
    clock: Clock,
}

impl RequestFlush {
    /// Begins to track a new request. Returns its body, which notes when it has been read; no byte of the request is
    /// written after `send_by`.
    pub fn track(&self, body: Body, send_by: Tick) -> Body {
        let empty = body.is_end_stream();
        self.0.send_by.store(send_by.0, Ordering::Release);
        self.0.step.store(if empty { BUFFERED } else { READING }, Ordering::Release);
        BodyExt::boxed(TrackedBody { body, flush: self.clone() })
    }

    /// Whether the whole request was handed to the operating system.
    pub fn is_flushed(&self) -> bool {
        self.0.step.load(Ordering::Acquire) == FLUSHED
    }

    /// For how many more milliseconds bytes may be written; `None` if no longer.
    fn time_left_ms(&self) -> Option<u64> {
        self.0.send_by.load(Ordering::Acquire).checked_sub(self.0.clock.now().0)
    }

    fn note_buffered(&self) {
        let _ = self.0.step.compare_exchange(READING, BUFFERED, Ordering::AcqRel, Ordering::Acquire);
    }

    fn note_flushed(&self) {
        let _ = self.0.step.compare_exchange(BUFFERED, FLUSHED, Ordering::AcqRel, Ordering::Acquire);
    }
}

/// A body that notes when the HTTP library has read it to its end.
struct TrackedBody {
    body: Body,
    flush: RequestFlush,
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
            self.flush.note_buffered();
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

/// The HTTP library drops a body once it has read as much as the announced length, or when the connection closes.
impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.flush.note_buffered();
    }
}

/// A stream that notes when all that was written to it is flushed. The HTTP library flushes it once its own buffer is
/// empty.
pub struct FlushTrackingStream {
    stream: Stream,
    flush: RequestFlush,
    /// Ends the wait of a blocked write at `send_by`.
    write_timeout: Option<Pin<Box<Sleep>>>,
}

impl FlushTrackingStream {
    /// Wraps the stream of a connection whose requests `flush` tracks.
    pub fn new(stream: Stream, flush: RequestFlush) -> Self {
        Self { stream, flush, write_timeout: None }
    }

    /// Writes, or fails if it is past `send_by`.
    fn write_in_time(
        &mut self,
        cx: &mut Context<'_>,
        write: impl FnOnce(Pin<&mut Stream>, &mut Context<'_>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let too_late = || io::Error::new(io::ErrorKind::TimedOut, "the time to send the request has passed");
        let Some(left_ms) = self.flush.time_left_ms() else { return Poll::Ready(Err(too_late())) };
        let polled = write(Pin::new(&mut self.stream), cx);
        if polled.is_ready() {
            self.write_timeout = None;
            return polled;
        }
        let wait = Duration::from_millis(left_ms + 1);
        let write_timeout = self.write_timeout.get_or_insert_with(|| Box::pin(sleep(wait)));
        match write_timeout.poll_unpin(cx) {
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
            self.flush.note_flushed();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
