//! The responses of a router itself, and what it adds to those of replicas.

use crate::{plan::Plan, router::Router, summary::EventKind};
use common::{
    PeerError, RequestId,
    http::{Body, BodyError, json},
};
use hyper::{Response, StatusCode};
use serde_json::json as j;

/// Response to a client, or to a router that forwarded its request.
pub type ClientResponse = Response<Body>;

/// Adds the headers that tell a client its request's id and outcome.
pub fn with_outcome(
    mut response: ClientResponse,
    request_id: &RequestId,
    outcome: &'static str,
    reason: &str,
) -> ClientResponse {
    let headers = response.headers_mut();
    for (name, value) in
        [("foldshunt-job", request_id.as_str()), ("foldshunt-outcome", outcome), ("foldshunt-reason", reason)]
    {
        if let Ok(value) = value.parse()
            && !(name == "foldshunt-reason" && reason.is_empty())
        {
            headers.insert(name, value);
        }
    }
    response
}

/// Response to a request that did not run and won't; `retry_s` says when to try again, 0 leaves that out.
pub fn rejection_response(
    router: &Router,
    request_id: &RequestId,
    code: StatusCode,
    reason: &str,
    retry_s: u64,
) -> ClientResponse {
    router.counters.reject(reason);
    router.record_event(EventKind::Rejected(reason.into()));
    let mut response = json(
        code,
        &j!({"outcome": "bounced", "reason": reason, "job": request_id, "retry_after_s": retry_s}),
    );
    if retry_s > 0
        && !common::mutation::enabled("no-retry-after")
        && let Ok(value) = retry_s.to_string().parse()
    {
        response.headers_mut().insert("retry-after", value);
    }
    with_outcome(response, request_id, "bounced", reason)
}

/// Response to a planned request that did not run and won't.
pub fn rejected(router: &Router, plan: &Plan, reason: &str, retry_s: u64) -> ClientResponse {
    router.counters.requests.inc(&[&plan.entry.name, "bounced"]);
    rejection_response(router, &plan.request_id, StatusCode::SERVICE_UNAVAILABLE, reason, retry_s)
}

/// Response to a request that may have run, and so is never reported as rejected. `late` says that its deadline passed.
pub fn unknown(router: &Router, plan: &Plan, error: &PeerError, late: bool) -> ClientResponse {
    router.counters.requests.inc(&[&plan.entry.name, "unknown"]);
    router.record_event(EventKind::Unknown(error.step.into()));
    let code = if late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY };
    let response = json(code, &j!({"outcome": "unknown", "reason": error.step, "job": plan.request_id}));
    with_outcome(response, &plan.request_id, "unknown", error.step)
}

/// The reason for rejecting a request whose body was not read; `over_limit` is the one for a body that is too large.
pub(crate) fn body_rejection(error: BodyError, over_limit: &'static str) -> &'static str {
    match error {
        BodyError::TooLarge => over_limit,
        BodyError::Broken => "body broke off",
        BodyError::TimedOut => "body not here in time",
        BodyError::OutOfMemory => "no memory for the body",
    }
}

impl Router {
    /// Response to a request that ran.
    pub fn done(&self, plan: &Plan, response: ClientResponse) -> ClientResponse {
        self.counters.requests.inc(&[&plan.entry.name, "done"]);
        with_outcome(response, &plan.request_id, "done", "")
    }
}
