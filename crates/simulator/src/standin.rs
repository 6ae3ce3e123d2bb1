//! Stand-in back ends (design 7.3): slots, a prefix cache, streaming, cold starts, and a log of
//! each run by the caller's job id.

use crate::sync_body::sync_body;
use bytes::Bytes;
use common::{
    http::{Body, BoxError, json, text},
    runtime::{bind, spawn, spawn_at},
};
use futures::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Request, Response, StatusCode,
    body::{Frame, Incoming},
};
use hyper_util::rt::TokioIo;
use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;

/// One run of a job at a replica.
#[derive(Clone, Debug)]
pub struct Run {
    pub job: String,
    pub tenant: String,
    pub path: String,
    pub at: Instant,
    pub warm: bool,
    /// Open runs at this replica when this one began, itself counted.
    pub open: usize,
}

#[derive(Clone, Debug)]
pub struct Shape {
    pub service: String,
    pub zone: String,
    pub region: String,
    pub slots: usize,
    pub prefixes: usize,
    /// Time to read a prefix that is not in the cache, and one that is.
    pub cold_ms: u64,
    pub slow_start_ms: u64,
    pub token_ms: u64,
}

#[derive(Default)]
struct Inner {
    runs: Vec<Run>,
    cache: VecDeque<u64>,
    open: usize,
    sick: bool,
    sour: bool,
}

pub struct StandIn {
    pub id: String,
    pub addr: SocketAddr,
    pub shape: Shape,
    inner: Mutex<Inner>,
    slots: Semaphore,
    stop: Mutex<Option<watch::Sender<bool>>>,
    tasks: Mutex<Vec<tokio::task::JoinHandle<()>>>,
}

/// Ends the count of an open run, however the run ends.
struct OpenRun(Arc<StandIn>);

impl Drop for OpenRun {
    fn drop(&mut self) {
        self.0.lock().open -= 1;
    }
}

/// What an answer must look like, line by line, so that any cut, splice or swap shows.
pub fn line(job: &str, n: usize) -> String {
    format!("{job} {n}\n")
}

pub fn last_line(job: &str, n: usize) -> String {
    format!("{job} end {n}\n")
}

impl StandIn {
    pub fn new(id: String, addr: SocketAddr, shape: Shape) -> Arc<Self> {
        let slots = Semaphore::new(shape.slots);
        Arc::new(Self {
            id,
            addr,
            shape,
            inner: Mutex::default(),
            slots,
            stop: Mutex::default(),
            tasks: Mutex::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    pub fn set_sour(&self, sour: bool) {
        self.lock().sour = sour;
    }

    pub fn set_sick(&self, sick: bool) {
        self.lock().sick = sick;
    }

    /// Comes up, with an empty cache: a cold start.
    pub async fn start(self: &Arc<Self>) -> std::io::Result<()> {
        let listener = bind(self.addr).await?;
        self.lock().cache.clear();
        let me = self.clone();
        let task = spawn_at(self.addr.ip(), async move {
            loop {
                let Ok((io, _)) = listener.accept().await else { continue };
                let me2 = me.clone();
                let conn = spawn(async move {
                    let svc = hyper::service::service_fn(|r| me2.clone().serve(r));
                    let _ = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(io), svc)
                        .await;
                });
                me.keep(conn);
            }
        });
        self.keep(task);
        Ok(())
    }

    fn keep(&self, t: tokio::task::JoinHandle<()>) {
        let mut g = self.tasks.lock().unwrap_or_else(|e| e.into_inner());
        g.retain(|t| !t.is_finished());
        g.push(t);
    }

    /// Crashes: the listener and all connections are gone at once.
    pub fn crash(&self) {
        let mut g = self.tasks.lock().unwrap_or_else(|e| e.into_inner());
        g.drain(..).for_each(|t| t.abort());
        let _ = self.stop.lock().map(|mut s| s.take());
    }

    /// Goes dark: nothing is closed, nothing answers. A stand-in beside real processes can only crash.
    pub fn mute(&self) {
        match common::runtime::simulation() {
            Some(w) => w.host(self.addr.ip()).power_off(),
            None => self.crash(),
        }
    }

    pub async fn unmute(self: &Arc<Self>) -> std::io::Result<()> {
        if let Some(w) = common::runtime::simulation() {
            self.crash();
            tokio::time::sleep(Duration::from_millis(1)).await;
            w.power_on(self.addr.ip());
        }
        self.start().await
    }

    async fn serve(self: Arc<Self>, req: Request<Incoming>) -> Result<Response<Body>, BoxError> {
        let (head, body) = req.into_parts();
        match head.uri.path() {
            "/healthz" => return Ok(text(StatusCode::OK, "ok\n")),
            "/foldshunt/report" => {
                let g = self.lock();
                return Ok(json(
                    StatusCode::OK,
                    &serde_json::json!({"healthy": !g.sick, "capacity": self.shape.slots, "consumption": g.open, "model": self.shape.service}),
                ));
            }
            _ => {}
        }
        let said = |k: &str| head.headers.get(k).and_then(|v| v.to_str().ok()).unwrap_or("").to_string();
        let (job, tenant) = (said("x-job"), said("x-tenant"));
        let tokens: usize = said("x-tokens").parse().unwrap_or(1);
        let bytes = body.collect().await?.to_bytes();
        if self.lock().sour {
            return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "not now\n"));
        }
        let prefix = common::rendezvous::stable_hash(&[bytes.get(..bytes.len().min(4096)).unwrap_or(&[])]);
        let (warm, open) = {
            let mut g = self.lock();
            g.open += 1;
            let open = g.open;
            let warm = bytes.is_empty() || g.cache.contains(&prefix);
            g.cache.retain(|p| *p != prefix);
            g.cache.push_back(prefix);
            while g.cache.len() > self.shape.prefixes {
                g.cache.pop_front();
            }
            let run = Run {
                job: job.clone(),
                tenant,
                path: head.uri.path().into(),
                at: Instant::now(),
                warm,
                open,
            };
            g.runs.push(run);
            (warm, open)
        };
        let counted = OpenRun(self.clone());
        let load = format!("{:.2}", open as f64 / self.shape.slots as f64);
        let me = self.clone();
        let _slot = me.slots.acquire().await?;
        let ms = if warm { self.shape.slow_start_ms } else { self.shape.cold_ms };
        tokio::time::sleep(Duration::from_millis(ms)).await;
        let step = Duration::from_millis(self.shape.token_ms);
        let out = futures::stream::unfold((0, counted), move |(n, c)| {
            let job = job.clone();
            async move {
                if n > tokens {
                    return None;
                }
                tokio::time::sleep(if n == 0 { Duration::ZERO } else { step }).await;
                let s = if n == tokens { last_line(&job, n) } else { line(&job, n) };
                Some((Ok::<_, BoxError>(Frame::data(Bytes::from(s))), (n + 1, c)))
            }
        });
        let mut r = Response::new(StreamBody::new(out.boxed()).boxed_unsync());
        r.headers_mut().insert("server-load", load.parse()?);
        Ok(r.map(sync_body))
    }
}

/// Runs by job id over all replicas.
pub fn by_job(all: &[Arc<StandIn>]) -> HashMap<String, Vec<(Arc<StandIn>, Run)>> {
    let mut out: HashMap<String, Vec<(Arc<StandIn>, Run)>> = HashMap::new();
    for s in all {
        for r in s.runs() {
            out.entry(r.job.clone()).or_default().push((s.clone(), r));
        }
    }
    out
}
