//! The stream of a connection and the body of a response, which report to the connection's progress.

use super::timing::Progress;
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
    sync::{Arc, Mutex},
    task::{Context, Poll},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most bytes that are read at once. The HTTP library enlarges a connection's buffer as long as reads fill it.
const READ_BYTES: usize = 16 << 10;

/// Takes back a connection's stream when the HTTP library drops it.
#[derive(Clone, Default)]
pub(super) struct ReturnedStream(Arc<Mutex<Option<Stream>>>);

impl ReturnedStream {
    /// The stream, once the HTTP library has dropped it.
    pub(super) fn take(&self) -> Option<Stream> {
        lock(&self.0).take()
    }
}

/// A connection's stream, which reports received and sent bytes to its progress.
pub(super) struct TimedStream {
    /// Present until it is dropped.
    inner: Option<Stream>,
    progress: Arc<Progress>,
    returned: ReturnedStream,
}

impl TimedStream {
    pub(super) fn new(inner: Stream, progress: Arc<Progress>, returned: ReturnedStream) -> Self {
        Self { inner: Some(inner), progress, returned }
    }

    fn inner(&mut self) -> io::Result<Pin<&mut Stream>> {
        self.inner.as_mut().map(Pin::new).ok_or_else(|| io::ErrorKind::NotConnected.into())
    }

    fn note_sent(&self, written: &Poll<io::Result<usize>>) {
        match written {
            Poll::Ready(Ok(count)) if *count > 0 => self.progress.sent(),
            Poll::Pending => self.progress.write_blocked(),
            Poll::Ready(_) => {}
        }
    }
}

impl Drop for TimedStream {
    fn drop(&mut self) {
        *lock(&self.returned.0) = self.inner.take();
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let size = buffer.remaining().min(READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(size));
        let read = self.inner()?.poll_read(context, &mut part);
        let count = part.filled().len();
        buffer.advance(count);
        if count > 0 {
            self.progress.received(count).map_err(io::Error::other)?;
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
        let written = self.inner()?.poll_write(context, bytes);
        self.note_sent(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.inner()?.poll_write_vectored(context, parts);
        self.note_sent(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.as_ref().is_some_and(AsyncWrite::is_write_vectored)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner()?.poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner()?.poll_shutdown(context)
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
