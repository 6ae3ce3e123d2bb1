//! Makes a response body `Sync` (design 7.3).

use bytes::Bytes;
use common::http::{Body, BoxError};
use http_body_util::BodyExt;
use hyper::body::Frame;
use std::sync::Mutex;

/// Wraps a body in a lock, because [`Body`] must be `Sync` and the streamed body is not.
pub fn sync_body(body: http_body_util::combinators::UnsyncBoxBody<Bytes, BoxError>) -> Body {
    LockedBody(Mutex::new(body)).boxed()
}

struct LockedBody(Mutex<http_body_util::combinators::UnsyncBoxBody<Bytes, BoxError>>);

impl hyper::body::Body for LockedBody {
    type Data = Bytes;
    type Error = BoxError;
    fn poll_frame(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let mut body = self.0.lock().unwrap_or_else(|e| e.into_inner());
        std::pin::Pin::new(&mut *body).poll_frame(cx)
    }
}
