//! What the server adds to the responses of its handlers, and its own response to a head over the limit.

use super::{stream::TimedBody, timing::Progress};
use crate::http::{Body, text};
use hyper::{
    Request, Response, StatusCode,
    header::{CONNECTION, HeaderValue, RETRY_AFTER},
};
use std::sync::Arc;

/// Seconds after which a request for which there was no room may be sent again.
const RETRY_AFTER_S: &str = "1";

/// Announces the idle timeout to the client and wraps the body, so that the connection's progress learns when the response
/// has ended.
pub(super) fn timed(
    mut response: Response<Body>,
    progress: Arc<Progress>,
    idle_timeout_ms: u64,
) -> Response<TimedBody> {
    progress.response_begins(idle_timeout_ms);
    announce_idle_timeout(&mut response, idle_timeout_ms);
    response.map(|body| TimedBody { body, progress })
}

/// The size of a request's head in its usual HTTP/1.1 form.
pub(super) fn head_bytes<B>(request: &Request<B>) -> usize {
    const LINE_END: usize = 2;
    let target = request.uri().path_and_query().map_or(1, |path| path.as_str().len());
    let request_line = request.method().as_str().len() + 1 + target + " HTTP/1.1".len() + LINE_END;
    let field = |(name, value): (&hyper::header::HeaderName, &HeaderValue)| {
        name.as_str().len() + ": ".len() + value.len() + LINE_END
    };
    request_line + request.headers().iter().map(field).sum::<usize>() + LINE_END
}

pub(super) fn head_too_large() -> Response<Body> {
    let mut response = text(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, "head over the limit\n");
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// The response to a request on a connection that is being closed to make room for another one.
pub(super) fn no_room() -> Response<Body> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, "no room for this connection\n");
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    response
}

/// Adds a `keep-alive` header, unless the timeout is below a second or the response has a `connection` header.
fn announce_idle_timeout(response: &mut Response<Body>, idle_timeout_ms: u64) {
    let seconds = idle_timeout_ms / 1_000;
    if seconds == 0 || response.headers().contains_key(CONNECTION) {
        return;
    }
    if let Ok(value) = format!("timeout={seconds}").parse() {
        response.headers_mut().insert("keep-alive", value);
    }
}
