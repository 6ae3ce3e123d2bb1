//! Whether the request of an exchange has left whole: an answer may come before. The HTTP library takes
//! a body into its buffer and then says nothing more of it, so the body tells when it was taken, and the
//! stream below when the buffer was emptied after that.

use bytes::Bytes;
use common::{
    http::{Body, BoxErr},
    runtime::Stream,
};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    task::{Context, Poll},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

const LEAVING: u8 = 0;
const TAKEN: u8 = 1;
const LEFT: u8 = 2;

/// How far the request at hand has left; one for each connection.
#[derive(Clone, Debug, Default)]
pub struct RequestFlush(Arc<AtomicU8>);

impl RequestFlush {
    /// A body whose taking is noted: the request at hand is over with it.
    pub fn of(&self, body: Body) -> Body {
        let taken = body.is_end_stream();
        self.0.store(if taken { TAKEN } else { LEAVING }, Ordering::Release);
        BodyExt::boxed(TrackedBody { body, outgoing: self.clone() })
    }

    pub fn has_left(&self) -> bool {
        self.0.load(Ordering::Acquire) == LEFT
    }

    fn taken(&self) {
        let _ = self.0.compare_exchange(LEAVING, TAKEN, Ordering::AcqRel, Ordering::Acquire);
    }

    fn flushed(&self) {
        let _ = self.0.compare_exchange(TAKEN, LEFT, Ordering::AcqRel, Ordering::Acquire);
    }
}

struct TrackedBody {
    body: Body,
    outgoing: RequestFlush,
}

impl HttpBody for TrackedBody {
    type Data = Bytes;
    type Error = BoxErr;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxErr>>> {
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
}

impl FlushTrackingStream {
    pub fn new(stream: Stream, outgoing: RequestFlush) -> Self {
        Self { stream, outgoing }
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
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
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
