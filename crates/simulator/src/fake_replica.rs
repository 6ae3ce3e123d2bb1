//! Fake replicas (design 7.3) with slots, a prefix cache, streamed answers, cold starts, and a log of
//! each run by the caller's request id.

use crate::{replica_log::RequestRun, sync_body::sync_body};
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
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;

/// What a replica serves, and how fast.
#[derive(Clone, Debug)]
pub struct ReplicaSpec {
    /// The service that it belongs to.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Region of its zone.
    pub region: String,
    /// Requests that run at once; more wait for a slot.
    pub slots: usize,
    /// Prompt prefixes that its cache holds.
    pub prefixes: usize,
    /// Time to process a prompt prefix that is not in the cache, in milliseconds.
    pub cold_prefill_ms: u64,
    /// Time to process a cached prompt prefix, in milliseconds.
    pub warm_prefill_ms: u64,
    /// Time for each token of the answer, in milliseconds.
    pub token_ms: u64,
}

/// What changes while it runs.
#[derive(Default)]
struct State {
    runs: Vec<RequestRun>,
    cache: VecDeque<u64>,
    open: usize,
    unhealthy: bool,
    rejecting: bool,
}

/// A replica that runs in the simulator's process.
pub struct FakeReplica {
    /// Its id in the list of replicas.
    pub id: String,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// What it serves, and how fast.
    pub spec: ReplicaSpec,
    state: Mutex<State>,
    slots: Semaphore,
    stop: Mutex<Option<watch::Sender<bool>>>,
    tasks: Mutex<Vec<tokio::task::JoinHandle<()>>>,
}

/// Counts an open run until it is dropped, however the run ends.
struct OpenRun(Arc<FakeReplica>);

impl Drop for OpenRun {
    fn drop(&mut self) {
        self.0.lock().open -= 1;
    }
}

/// Line `n` of the expected answer. It names the request, so that a truncated, spliced or swapped answer is detected.
pub fn line(request_id: &str, n: usize) -> String {
    format!("{request_id} {n}\n")
}

/// The last line of the expected answer, after `n` others.
pub fn last_line(request_id: &str, n: usize) -> String {
    format!("{request_id} end {n}\n")
}

impl FakeReplica {
    /// A replica that is not listening yet.
    pub fn new(id: String, addr: SocketAddr, spec: ReplicaSpec) -> Arc<Self> {
        let slots = Semaphore::new(spec.slots);
        Arc::new(Self {
            id,
            addr,
            spec,
            state: Mutex::default(),
            slots,
            stop: Mutex::default(),
            tasks: Mutex::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// All runs so far.
    pub fn runs(&self) -> Vec<RequestRun> {
        self.lock().runs.clone()
    }

    /// Whether it answers every request with 503.
    pub fn set_rejecting(&self, rejecting: bool) {
        self.lock().rejecting = rejecting;
    }

    /// Whether it reports itself as unhealthy.
    pub fn set_unhealthy(&self, unhealthy: bool) {
        self.lock().unhealthy = unhealthy;
    }

    /// Starts listening, with an empty cache.
    pub async fn start(self: &Arc<Self>) -> std::io::Result<()> {
        let listener = bind(self.addr).await?;
        self.lock().cache.clear();
        let replica = self.clone();
        let task = spawn_at(self.addr.ip(), async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let connection_replica = replica.clone();
                let connection = spawn(async move {
                    let service = hyper::service::service_fn(|r| connection_replica.clone().serve(r));
                    let _ = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
                replica.keep(connection);
            }
        });
        self.keep(task);
        Ok(())
    }

    fn keep(&self, task: tokio::task::JoinHandle<()>) {
        let mut tasks = self.tasks.lock().unwrap_or_else(|e| e.into_inner());
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    /// Crashes: closes the listener and all connections at once.
    pub fn crash(&self) {
        let mut tasks = self.tasks.lock().unwrap_or_else(|e| e.into_inner());
        tasks.drain(..).for_each(|task| task.abort());
        let _ = self.stop.lock().map(|mut stop| stop.take());
    }

    /// Stops answering without closing anything; beside real processes, where no host can lose power, it crashes.
    pub fn mute(&self) {
        match common::runtime::simulation() {
            Some(w) => w.host(self.addr.ip()).power_off(),
            None => self.crash(),
        }
    }

    /// Answers again after `mute`, with an empty cache.
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
                let state = self.lock();
                return Ok(json(
                    StatusCode::OK,
                    &serde_json::json!({"healthy": !state.unhealthy, "capacity": self.spec.slots, "consumption": state.open, "model": self.spec.service}),
                ));
            }
            _ => {}
        }
        let header =
            |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("").to_string();
        let (request_id, tenant) = (header("x-job"), header("x-tenant"));
        let tokens: usize = header("x-tokens").parse().unwrap_or(1);
        let bytes = body.collect().await?.to_bytes();
        if self.lock().rejecting {
            return Ok(text(StatusCode::SERVICE_UNAVAILABLE, "not now\n"));
        }
        let prefix = common::rendezvous::stable_hash(&[bytes.get(..bytes.len().min(4096)).unwrap_or(&[])]);
        let (warm, open) = {
            let mut state = self.lock();
            state.open += 1;
            let open = state.open;
            let warm = bytes.is_empty() || state.cache.contains(&prefix);
            state.cache.retain(|p| *p != prefix);
            state.cache.push_back(prefix);
            while state.cache.len() > self.spec.prefixes {
                state.cache.pop_front();
            }
            let run = RequestRun {
                request_id: request_id.clone(),
                tenant,
                path: head.uri.path().into(),
                at: Instant::now(),
                warm,
                open,
            };
            state.runs.push(run);
            (warm, open)
        };
        let counted = OpenRun(self.clone());
        let load = format!("{:.2}", open as f64 / self.spec.slots as f64);
        let replica = self.clone();
        let _slot = replica.slots.acquire().await?;
        let prefill_ms = if warm { self.spec.warm_prefill_ms } else { self.spec.cold_prefill_ms };
        tokio::time::sleep(Duration::from_millis(prefill_ms)).await;
        let token_interval = Duration::from_millis(self.spec.token_ms);
        let out = futures::stream::unfold((0, counted), move |(n, counted)| {
            let request_id = request_id.clone();
            async move {
                if n > tokens {
                    return None;
                }
                tokio::time::sleep(if n == 0 { Duration::ZERO } else { token_interval }).await;
                let line_text = if n == tokens { last_line(&request_id, n) } else { line(&request_id, n) };
                Some((Ok::<_, BoxError>(Frame::data(Bytes::from(line_text))), (n + 1, counted)))
            }
        });
        let mut response = Response::new(StreamBody::new(out.boxed()).boxed_unsync());
        response.headers_mut().insert("server-load", load.parse()?);
        Ok(response.map(sync_body))
    }
}
