//! A body that may be shared between threads (design 7.3).

use bytes::Bytes;
use common::http::{Body, BoxError};
use http_body_util::BodyExt;
use hyper::body::Frame;
use std::sync::Mutex;

/// hyper's server wants no `Sync` of a body, the shared type does: a lock stands in between.
pub fn sync_body(b: http_body_util::combinators::UnsyncBoxBody<Bytes, BoxError>) -> Body {
    LockedBody(Mutex::new(b)).boxed()
}

struct LockedBody(Mutex<http_body_util::combinators::UnsyncBoxBody<Bytes, BoxError>>);

impl hyper::body::Body for LockedBody {
    type Data = Bytes;
    type Error = BoxError;
    fn poll_frame(
        self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let mut g = self.0.lock().unwrap_or_else(|e| e.into_inner());
        std::pin::Pin::new(&mut *g).poll_frame(cx)
    }
}
