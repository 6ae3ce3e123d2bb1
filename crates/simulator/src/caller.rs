//! Stand-in callers (design 7.3): each job carries its own id, and each answer is checked line
//! by line against it.

use crate::standin::{last_line, line};
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
pub enum Told {
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
pub struct Heard {
    pub call: Call,
    pub told: Told,
    pub at: Instant,
    pub took: Duration,
    pub router: SocketAddr,
    pub redirected: bool,
    pub retry_after: Option<u64>,
    pub code: u16,
    /// The document by which the last router answered.
    pub revision: Option<u64>,
}

fn said<T>(r: &Response<T>, k: &str) -> String {
    r.headers().get(k).and_then(|v| v.to_str().ok()).unwrap_or("").to_string()
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
pub async fn call(ip: IpAddr, to: SocketAddr, c: Call, give_up_after: Duration) -> Heard {
    let at = Instant::now();
    let (mut router, mut redirected) = (to, false);
    let told = tokio::time::timeout(give_up_after, async {
        loop {
            let Ok(mut tx) = open_client(ip, router, 2_000).await else {
                // What was redirected was told that it did not run: no connection changes nothing.
                return (Told::NotAsked, Head::default());
            };
            let res = match send(&mut tx, router, &c, &c.path).await {
                Ok(r) => r,
                Err(e) => return (Told::Broken(format!("before the answer: {e}")), Head::default()),
            };
            let next = said(&res, "location")
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
                retry_after: said(&res, "retry-after").parse().ok(),
                revision: said(&res, "foldshunt-revision").parse().ok(),
            };
            return (read(&c, res).await, head);
        }
    })
    .await;
    let late = || (Told::Broken("the caller's patience ended".into()), Head::default());
    let (told, h) = told.unwrap_or_else(|_| late());
    let Head { code, retry_after, revision } = h;
    Heard { call: c, told, at, took: at.elapsed(), router, redirected, retry_after, code, revision }
}

async fn read(c: &Call, res: Response<Incoming>) -> Told {
    let code = res.status().as_u16();
    let (outcome, reason) = (said(&res, "foldshunt-outcome"), said(&res, "foldshunt-reason"));
    let body = match res.into_body().collect().await {
        Ok(b) => b.to_bytes(),
        Err(e) => return Told::Broken(format!("within the body: {e}")),
    };
    match (outcome.as_str(), code) {
        ("done", 200) => {
            let want: String =
                (0..c.tokens).map(|n| line(&c.job, n)).chain([last_line(&c.job, c.tokens)]).collect();
            if body == want.as_bytes() {
                Told::Done
            } else {
                Told::Garbled(String::from_utf8_lossy(&body).chars().take(120).collect())
            }
        }
        ("bounced", _) => Told::Rejected(reason),
        ("unknown", _) => Told::Unknown(reason),
        _ => Told::Other(code),
    }
}
