//! A soak of the control side with real processes (design 7.2): control nodes are frozen, killed, asked to stop, restarted
//! and robbed of their disks in overlapping series, while operators change the document, clients read it over connections
//! that they keep until the process is gone, and others send what no client should.

mod clients;
mod cluster;
mod crowd;
mod disruptions;
mod history;
mod process_usage;

use bpaf::Bpaf;
use cluster::Cluster;
use eyre::{Result, ensure};
use history::History;
use std::{
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Time in which the cluster must serve and accept changes again, with all voters, once all processes run undisturbed:
/// the time to recover and the time to catch up of the requirements.
const RECOVERY_LIMIT: Duration = Duration::from_secs(12 + 4);
/// Pause between two checks for recovery.
const RECOVERY_POLL: Duration = Duration::from_millis(100);

/// What a soak runs, for each seed.
#[derive(Clone, Debug, Bpaf)]
pub struct SoakPlan {
    /// First seed
    #[bpaf(argument("N"), fallback(1))]
    pub from: u64,
    /// How many seeds
    #[bpaf(argument("N"), fallback(1))]
    pub seeds: u64,
    /// Control nodes that vote; one more is a spare
    #[bpaf(argument("N"), fallback(5))]
    pub voters: u8,
    /// Routers
    #[bpaf(argument("N"), fallback(2))]
    pub routers: u8,
    /// Clients that read the document
    #[bpaf(argument("N"), fallback(8))]
    pub clients: usize,
    /// Clients that don't behave
    #[bpaf(argument("N"), fallback(16))]
    pub crowd: usize,
    /// Seconds of disruptions
    #[bpaf(argument("N"), fallback(20.0))]
    pub seconds: f64,
    /// Second octet of the addresses, 127.NET.x.y
    #[bpaf(argument("NET"), fallback(60))]
    pub net: u8,
    /// Folder for the nodes' data and logs
    #[bpaf(argument("DIR"), fallback("run/soak".into()))]
    pub dir: PathBuf,
}

/// Figures and violations of one seed.
#[derive(Debug)]
pub struct SoakReport {
    /// The seed.
    pub seed: u64,
    /// Changes that were reported as accepted.
    pub accepted: usize,
    /// Complete answers to clients.
    pub answers: usize,
    /// Freezes, ends and losses of disks of processes.
    pub disruptions: usize,
    /// Losses of disks among them.
    pub lost_disks: usize,
    /// Largest peak of memory of a process, in KB.
    pub peak_memory_kb: usize,
    /// Time from the last disruption until the cluster served and accepted changes again.
    pub recovery: Duration,
    /// What must not happen, and did.
    pub violations: Vec<String>,
}

/// Runs each seed in turn, prints its figures, and fails if any had a violation.
///
/// # Errors
/// A violation, or a cluster that could not be started.
pub async fn run_soak(plan: &SoakPlan, programs: &Path) -> Result<()> {
    ensure!([3, 5].contains(&plan.voters), "--voters: {}; allowed: 3, 5", plan.voters);
    ensure!(plan.routers <= 240, "--routers: {}; allowed: up to 240", plan.routers);
    ensure!((1.0..=3_600.0).contains(&plan.seconds), "--seconds: {}; allowed: 1 to 3600", plan.seconds);
    let mut failed = Vec::new();
    for seed in plan.from..plan.from + plan.seeds {
        let report = run_seed(plan, seed, programs).await?;
        println!("{report:?}");
        if !report.violations.is_empty() {
            failed.push(seed);
        }
    }
    ensure!(failed.is_empty(), "seeds with violations: {failed:?}");
    Ok(())
}

/// Runs one seed with the programs of a folder.
///
/// # Errors
/// The cluster could not be started.
pub async fn run_seed(plan: &SoakPlan, seed: u64, programs: &Path) -> Result<SoakReport> {
    let dir = plan.dir.join(seed.to_string());
    let cluster = Arc::new(Cluster::start(plan, &dir, programs).await?);
    let history = Arc::new(History::default());
    let clients = clients::start(&cluster, &history, plan, seed);
    let counts = disruptions::run(&cluster, seed, Duration::from_secs_f64(plan.seconds)).await?;
    let recovery = recover(&cluster, &history).await;
    let (peak_kb, over) = cluster.usage();
    clients.stop().await;
    for violation in counts.violations.into_iter().chain(cluster.ended_by_themselves()).chain(over) {
        history.violation(violation);
    }
    cluster.stop().await;
    if history.violations().is_empty() {
        std::fs::remove_dir_all(&dir)?;
    }
    Ok(SoakReport {
        seed,
        accepted: history.accepted(),
        answers: history.answers(),
        disruptions: counts.disruptions,
        lost_disks: counts.lost_disks,
        peak_memory_kb: counts.peak_memory_kb.max(peak_kb),
        recovery,
        violations: history.violations(),
    })
}

/// Waits until each control node serves the newest acknowledged revision, a new change is accepted, and all voters and
/// routers take part.
async fn recover(cluster: &Cluster, history: &History) -> Duration {
    let started = Instant::now();
    let accepted_before = history.accepted();
    loop {
        let missing = cluster.missing(history.newest_acknowledged()).await;
        let accepts = history.accepted() > accepted_before;
        if missing.is_empty() && accepts {
            return started.elapsed();
        }
        if started.elapsed() > RECOVERY_LIMIT {
            history.violation(format!("no recovery: {missing:?}; new changes accepted: {accepts}"));
            return started.elapsed();
        }
        sleep(RECOVERY_POLL).await;
    }
}
