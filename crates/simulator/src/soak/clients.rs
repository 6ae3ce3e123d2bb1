//! Operators and clients of a soak.

use super::{
    SoakPlan,
    cluster::{Cluster, Process},
    crowd,
    history::History,
};
use common::http::{full, open_client};
use eyre::Result;
use http_body_util::BodyExt;
use hyper::{Method, Request, StatusCode};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{
    task::JoinHandle,
    time::{sleep, timeout},
};

/// Operators that change the document at the same time.
const OPERATORS: usize = 2;
/// Limit on opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Time after which a client gives up on a connection without an answer, as of a frozen process.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause of a client without a connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause of a client or operator between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 60;

/// The tasks of operators and clients.
pub struct Clients {
    stopped: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Clients {
    /// Lets each operator and client finish its request.
    pub async fn stop(self) {
        self.stopped.store(true, Ordering::Relaxed);
        for task in self.tasks {
            let _ = task.await;
        }
    }
}

/// Starts the operators, and as many clients of both kinds as the plan has.
pub fn start(cluster: &Arc<Cluster>, history: &Arc<History>, plan: &SoakPlan, seed: u64) -> Clients {
    let stopped = Arc::new(AtomicBool::new(false));
    let mut tasks = Vec::new();
    for number in 0..OPERATORS {
        let operator = OperatorTask {
            cluster: cluster.clone(),
            history: history.clone(),
            stopped: stopped.clone(),
            name: format!("operator-{number}"),
            number,
            rng: SmallRng::seed_from_u64(seed ^ (number as u64) << 32),
        };
        tasks.push(tokio::spawn(operator.run()));
    }
    tasks.extend(crowd::start(cluster, &stopped, plan.crowd, seed));
    for number in 0..plan.clients {
        let (cluster, history, stopped) = (cluster.clone(), history.clone(), stopped.clone());
        let mut rng = SmallRng::seed_from_u64(seed ^ ((number + OPERATORS) as u64) << 32);
        tasks.push(tokio::spawn(async move {
            while !stopped.load(Ordering::Relaxed) {
                let processes: Vec<&Arc<Process>> = cluster.processes().collect();
                let process = processes[rng.random_range(0..processes.len())];
                if use_connection(&cluster, process, &history, &stopped, &mut rng).await.is_err() {
                    sleep(RECONNECT_PAUSE).await;
                }
            }
        }));
    }
    Clients { stopped, tasks }
}

/// Sends requests over one connection until that ends: a control node is asked for the document, a router gets requests
/// for replicas, which need not run.
async fn use_connection(
    cluster: &Cluster,
    process: &Process,
    history: &History,
    stopped: &AtomicBool,
    rng: &mut SmallRng,
) -> Result<()> {
    let mut connection = open_client(cluster.caller_ip, process.http, CONNECT_TIMEOUT_MS).await?;
    while !stopped.load(Ordering::Relaxed) {
        let acknowledged = history.newest_acknowledged();
        let (method, path, body) = if cluster.is_control(process) {
            (Method::GET, "/v1/timetable", "")
        } else {
            (Method::POST, "/v1/notes", "a note")
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", process.http.to_string())
            .body(full(body))?;
        let exchange = async {
            let (head, body) = connection.send_request(request).await?.into_parts();
            Ok::<_, eyre::Error>((head, body.collect().await?.to_bytes()))
        };
        let (head, body) = timeout(ANSWER_TIMEOUT, exchange).await??;
        history.record_answer();
        let revision =
            head.headers.get("etag").and_then(|tag| tag.to_str().ok()?.trim_matches('"').parse().ok());
        if let (StatusCode::OK, Some(revision)) = (head.status, revision) {
            history.record_read(&process.name, acknowledged, revision, &String::from_utf8_lossy(&body));
        }
        sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
    }
    Ok(())
}

struct OperatorTask {
    cluster: Arc<Cluster>,
    history: Arc<History>,
    stopped: Arc<AtomicBool>,
    name: String,
    number: usize,
    rng: SmallRng,
}

impl OperatorTask {
    async fn run(mut self) {
        for change in 0.. {
            if self.stopped.load(Ordering::Relaxed) {
                return;
            }
            let operator = self.cluster.operator(self.rng.random_range(0..self.cluster.control_nodes.len()));
            if let Some((_, base)) = operator.document_and_revision().await {
                self.change_document(base, change).await;
            }
            sleep(Duration::from_millis(self.rng.random_range(0..MAX_PAUSE_MS))).await;
        }
    }

    /// Sends one change, and again after each lost answer, until its outcome is known.
    async fn change_document(&mut self, base: u64, change: u64) {
        let operation = format!("{}-{change}", self.name);
        let document = format!("{}\n# {operation}\n", self.cluster.deployment.document);
        while !self.stopped.load(Ordering::Relaxed) {
            let operator = self.cluster.operator(self.number + self.rng.random_range(0..self.cluster.voters));
            match operator.apply(&document, base, &operation).await {
                Some((200, answer)) => {
                    if let Some(revision) = answer["revision"].as_u64() {
                        return self.history.record_accepted(revision, &operation, &document);
                    }
                }
                Some((412 | 422, _)) => return,
                _ => sleep(RECONNECT_PAUSE).await,
            }
        }
    }
}
