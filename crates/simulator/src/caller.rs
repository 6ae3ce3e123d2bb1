//! Simulated callers (design 7.3): each request carries its own id, and each answer is checked line by line
//! against it.

use crate::fake_replica::{last_line, line};
use common::http::{RequestSender, full, open_client};
use http_body_util::BodyExt;
use hyper::{Method, Request, Response, body::Incoming};
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};
use tokio::time::Instant;

/// A request that a caller sends.
#[derive(Clone, Debug)]
pub struct Call {
    /// Unique id, sent as `x-job`.
    pub request_id: String,
    /// The entry that it is for.
    pub entry: &'static str,
    /// The service that runs it.
    pub service: &'static str,
    /// HTTP method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// The tenant, sent as `x-tenant`.
    pub tenant: &'static str,
    /// Whether it must not be repeated.
    pub once: bool,
    /// Tokens that the answer must have.
    pub tokens: usize,
    /// Body.
    pub body: String,
    /// Regions that may serve it.
    pub homes: Vec<&'static str>,
}

/// What became of a request, as the caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete answer, each line of which belongs to this request.
    Done,
    /// Refused before it ran; with the reason.
    Rejected(String),
    /// The router could not say whether it ran; with the reason.
    Unknown(String),
    /// The connection broke before the answer was complete, and the caller noticed; with the error.
    Broken(String),
    /// No connection was made, so nothing was sent.
    NotAsked,
    /// The answer looked complete and was not this request's answer, which must never happen; with its beginning.
    Garbled(String),
    /// Any other answer; with its status.
    Other(u16),
}

/// A request and its answer.
#[derive(Clone, Debug)]
pub struct CallResult {
    /// The request.
    pub call: Call,
    /// What became of it.
    pub outcome: CallOutcome,
    /// When it was sent.
    pub at: Instant,
    /// How long it took.
    pub took: Duration,
    /// The last router asked.
    pub router: SocketAddr,
    /// Whether it was redirected.
    pub redirected: bool,
    /// Value of `Retry-After`, in seconds.
    pub retry_after: Option<u64>,
    /// Status of the last answer; 0 without one.
    pub code: u16,
    /// Revision of the document that the last router answered by.
    pub revision: Option<u64>,
}

fn header<T>(response: &Response<T>, name: &str) -> String {
    response.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or("").to_string()
}

async fn send(
    sender: &mut RequestSender,
    to: SocketAddr,
    call: &Call,
    path: &str,
) -> Result<Response<Incoming>, hyper::Error> {
    let request = Request::builder()
        .method(call.method.clone())
        .uri(path)
        .header("host", to.to_string())
        .header("x-job", &call.request_id)
        .header("x-tenant", call.tenant)
        .header("x-tokens", call.tokens.to_string())
        .header("content-type", "application/json")
        .body(full(call.body.clone()))
        .expect("all parts of the request are valid");
    sender.send_request(request).await
}

/// What the caller needs of the last answer's status and headers.
#[derive(Clone, Copy, Default)]
struct Head {
    code: u16,
    retry_after: Option<u64>,
    revision: Option<u64>,
}

/// Sends one request, follows one redirect, and returns the result.
pub async fn call(ip: IpAddr, to: SocketAddr, call: Call, give_up_after: Duration) -> CallResult {
    let at = Instant::now();
    let (mut router, mut redirected) = (to, false);
    let result = tokio::time::timeout(give_up_after, async {
        loop {
            let Ok(mut sender) = open_client(ip, router, 2_000).await else {
                // A redirected request has not run, so it counts as not sent when the second connection fails.
                return (CallOutcome::NotAsked, Head::default());
            };
            let response = match send(&mut sender, router, &call, &call.path).await {
                Ok(response) => response,
                Err(e) => return (CallOutcome::Broken(format!("before the answer: {e}")), Head::default()),
            };
            let next = header(&response, "location")
                .strip_prefix("http://")
                .map(|l| l.split('/').next().unwrap_or("").to_string());
            if response.status().as_u16() == 307
                && !redirected
                && let Some(Ok(n)) = next.map(|n| n.parse())
            {
                (router, redirected) = (n, true);
                continue;
            }
            let head = Head {
                code: response.status().as_u16(),
                retry_after: header(&response, "retry-after").parse().ok(),
                revision: header(&response, "foldshunt-revision").parse().ok(),
            };
            return (read_answer(&call, response).await, head);
        }
    })
    .await;
    let gave_up = || (CallOutcome::Broken("the caller gave up".into()), Head::default());
    let (outcome, head) = result.unwrap_or_else(|_| gave_up());
    let Head { code, retry_after, revision } = head;
    CallResult { call, outcome, at, took: at.elapsed(), router, redirected, retry_after, code, revision }
}

async fn read_answer(call: &Call, response: Response<Incoming>) -> CallOutcome {
    let code = response.status().as_u16();
    let (outcome, reason) = (header(&response, "foldshunt-outcome"), header(&response, "foldshunt-reason"));
    let body = match response.into_body().collect().await {
        Ok(b) => b.to_bytes(),
        Err(e) => return CallOutcome::Broken(format!("within the body: {e}")),
    };
    match (outcome.as_str(), code) {
        ("done", 200) => {
            let expected: String = (0..call.tokens)
                .map(|n| line(&call.request_id, n))
                .chain([last_line(&call.request_id, call.tokens)])
                .collect();
            if body == expected.as_bytes() {
                CallOutcome::Done
            } else {
                CallOutcome::Garbled(String::from_utf8_lossy(&body).chars().take(120).collect())
            }
        }
        ("bounced", _) => CallOutcome::Rejected(reason),
        ("unknown", _) => CallOutcome::Unknown(reason),
        _ => CallOutcome::Other(code),
    }
}
