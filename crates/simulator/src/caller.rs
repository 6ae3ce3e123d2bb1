//! Stand-in callers (design 7.3): each job carries its own id, and each answer is checked line
//! by line against it.

use crate::fake_replica::{last_line, line};
use common::http::{RequestSender, full, open_client};
use http_body_util::BodyExt;
use hyper::{Method, Request, Response, body::Incoming};
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};
use tokio::time::Instant;

#[derive(Clone, Debug)]
pub struct Call {
    pub job: String,
    pub entry: &'static str,
    pub service: &'static str,
    pub method: Method,
    pub path: String,
    pub tenant: &'static str,
    pub once: bool,
    pub tokens: usize,
    pub body: String,
    pub homes: Vec<&'static str>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A whole answer, line by line this job's own.
    Done,
    Rejected(String),
    Unknown(String),
    /// The connection broke before a final answer: known to the caller as such.
    Broken(String),
    /// No connection was made: nothing was asked.
    NotAsked,
    /// Looked whole and was not this job's whole answer: must never be.
    Garbled(String),
    Other(u16),
}

#[derive(Clone, Debug)]
pub struct CallResult {
    pub call: Call,
    pub outcome: CallOutcome,
    pub at: Instant,
    pub took: Duration,
    pub router: SocketAddr,
    pub redirected: bool,
    pub retry_after: Option<u64>,
    pub code: u16,
    /// The document by which the last router answered.
    pub revision: Option<u64>,
}

fn header<T>(r: &Response<T>, name: &str) -> String {
    r.headers().get(name).and_then(|v| v.to_str().ok()).unwrap_or("").to_string()
}

async fn send(
    tx: &mut RequestSender,
    to: SocketAddr,
    c: &Call,
    path: &str,
) -> Result<Response<Incoming>, hyper::Error> {
    let req = Request::builder()
        .method(c.method.clone())
        .uri(path)
        .header("host", to.to_string())
        .header("x-job", &c.job)
        .header("x-tenant", c.tenant)
        .header("x-tokens", c.tokens.to_string())
        .header("content-type", "application/json")
        .body(full(c.body.clone()))
        .expect("a fixed shape of request");
    tx.send_request(req).await
}

/// What the last answer's head said.
#[derive(Clone, Copy, Default)]
struct Head {
    code: u16,
    retry_after: Option<u64>,
    revision: Option<u64>,
}

/// Sends one job, follows one redirect, and says what came of it.
pub async fn call(ip: IpAddr, to: SocketAddr, c: Call, give_up_after: Duration) -> CallResult {
    let at = Instant::now();
    let (mut router, mut redirected) = (to, false);
    let result = tokio::time::timeout(give_up_after, async {
        loop {
            let Ok(mut tx) = open_client(ip, router, 2_000).await else {
                // What was redirected was told that it did not run: no connection changes nothing.
                return (CallOutcome::NotAsked, Head::default());
            };
            let res = match send(&mut tx, router, &c, &c.path).await {
                Ok(r) => r,
                Err(e) => return (CallOutcome::Broken(format!("before the answer: {e}")), Head::default()),
            };
            let next = header(&res, "location")
                .strip_prefix("http://")
                .map(|l| l.split('/').next().unwrap_or("").to_string());
            if res.status().as_u16() == 307
                && !redirected
                && let Some(Ok(n)) = next.map(|n| n.parse())
            {
                (router, redirected) = (n, true);
                continue;
            }
            let head = Head {
                code: res.status().as_u16(),
                retry_after: header(&res, "retry-after").parse().ok(),
                revision: header(&res, "foldshunt-revision").parse().ok(),
            };
            return (read_answer(&c, res).await, head);
        }
    })
    .await;
    let late = || (CallOutcome::Broken("the caller's patience ended".into()), Head::default());
    let (outcome, head) = result.unwrap_or_else(|_| late());
    let Head { code, retry_after, revision } = head;
    CallResult { call: c, outcome, at, took: at.elapsed(), router, redirected, retry_after, code, revision }
}

async fn read_answer(c: &Call, res: Response<Incoming>) -> CallOutcome {
    let code = res.status().as_u16();
    let (outcome, reason) = (header(&res, "foldshunt-outcome"), header(&res, "foldshunt-reason"));
    let body = match res.into_body().collect().await {
        Ok(b) => b.to_bytes(),
        Err(e) => return CallOutcome::Broken(format!("within the body: {e}")),
    };
    match (outcome.as_str(), code) {
        ("done", 200) => {
            let want: String =
                (0..c.tokens).map(|n| line(&c.job, n)).chain([last_line(&c.job, c.tokens)]).collect();
            if body == want.as_bytes() {
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
