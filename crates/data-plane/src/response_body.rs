//! Response bodies that are forwarded to the client (design 6.3): unbuffered, and never ended cleanly where the
//! upstream body broke off.

use bytes::Bytes;
use common::http::{Body, BoxError};
use futures::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};
use tokio::time::Sleep;

/// An upstream body that fails when nothing arrives for too long, and owns what must live until its end.
pub struct ForwardedBody<K> {
    inner: Incoming,
    idle: Duration,
    timer: Pin<Box<Sleep>>,
    _kept: K,
}

impl<K: Send + Sync + Unpin + 'static> ForwardedBody<K> {
    /// Forwards a body; it fails if nothing arrives for `idle`. `kept` is dropped with the body.
    pub fn wrap(inner: Incoming, idle: Duration, kept: K) -> Body {
        let timer = Box::pin(tokio::time::sleep(idle));
        ForwardedBody { inner, idle, timer, _kept: kept }.boxed()
    }
}

impl<K: Unpin> HttpBody for ForwardedBody<K> {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        match Pin::new(&mut self.inner).poll_frame(cx) {
            Poll::Ready(Some(Err(_))) if common::mutation::enabled("cut-looks-whole") => Poll::Ready(None),
            Poll::Ready(frame) => {
                let deadline = tokio::time::Instant::now() + self.idle;
                self.timer.as_mut().reset(deadline);
                Poll::Ready(frame.map(|f| f.map_err(Into::into)))
            }
            Poll::Pending => match self.timer.poll_unpin(cx) {
                Poll::Ready(()) => {
                    Poll::Ready(Some(Err("upstream sent nothing within the idle timeout".into())))
                }
                Poll::Pending => Poll::Pending,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Whether the regular end of a body can be told from a broken connection: by its length, or by chunks.
pub fn has_detectable_end(
    method: &hyper::Method,
    head: &hyper::http::response::Parts,
    body: &Incoming,
) -> bool {
    let no_body = method == hyper::Method::HEAD || matches!(head.status.as_u16(), 204 | 304);
    let chunked = head
        .headers
        .get("transfer-encoding")
        .and_then(|v| v.to_str().ok())
        .is_some_and(|v| v.to_ascii_lowercase().ends_with("chunked"));
    no_body || chunked || body.size_hint().exact().is_some()
}
