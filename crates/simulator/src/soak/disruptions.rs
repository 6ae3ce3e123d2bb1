//! The series of signals, restarts and lost disks of a soak, drawn by the seed. Disruptions of different processes
//! overlap.

use super::cluster::{Cluster, Process};
use crate::node::Node;
use eyre::{Result, eyre};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{sync::Arc, time::Duration};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// Pause between the starts of two disruptions, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 50..900;
/// How long a process is frozen or down, in milliseconds: also beyond the silence after which a spare replaces a voter.
const DURATION_MS: std::ops::Range<u64> = 100..3_500;

/// How often SIGHUP is sent in a series.
const HANG_UPS: usize = 3;
/// Time in which a new process is loaded: until its `main` runs, the system's own handling of signals applies.
const LOADING_TIME: Duration = Duration::from_millis(100);

/// How many disruptions there were.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// All disruptions.
    pub disruptions: usize,
    /// Losses of disks among them.
    pub lost_disks: usize,
    /// Processes that ended by themselves, or used more than they have.
    pub violations: Vec<String>,
    /// Largest peak of memory of a process, in KB.
    pub peak_memory_kb: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// SIGSTOP, later SIGCONT.
    Freeze,
    /// SIGKILL, later a new process.
    Kill,
    /// SIGTERM, and a new process once the old one has ended.
    Stop,
    /// SIGTERM to a frozen process, which handles it once it resumes.
    StopWhileFrozen,
    /// SIGKILL and an empty disk, later a new process.
    LoseDisk,
    /// SIGHUP several times, also in the first moments of a new process. It must change nothing.
    HangUp,
    /// SIGKILL to all processes that are not disrupted already, and new ones for all at once.
    KillAll,
}

/// Runs disruptions for this long; returns once all of them have ended.
///
/// # Errors
/// A process could not be signalled or started.
pub async fn run(cluster: &Arc<Cluster>, seed: u64, length: Duration) -> Result<Counts> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut running, mut counts) = (JoinSet::new(), Counts::default());
    let mut losses_left = 0;
    let end = Instant::now() + length;
    while Instant::now() < end {
        // As many disks may be lost at once as the cluster must survive, and again once that is repaired.
        if losses_left == 0 && cluster.missing_participants().await.is_empty() {
            losses_left = (cluster.voters - 1) / 2;
        }
        let (kind, process) = draw(&mut rng, cluster, losses_left > 0);
        let duration = Duration::from_millis(rng.random_range(DURATION_MS));
        let gap = Duration::from_millis(rng.random_range(GAP_MS));
        if process.node.try_lock().is_ok() {
            counts.disruptions += 1;
            counts.lost_disks += usize::from(kind == Kind::LoseDisk);
            losses_left -= usize::from(kind == Kind::LoseDisk);
            running.spawn(disrupt(process, kind, duration, cluster.clone()));
        }
        sleep(gap).await;
        counts.violations.extend(cluster.ended_by_themselves());
        let (peak_kb, over) = cluster.usage();
        counts.peak_memory_kb = counts.peak_memory_kb.max(peak_kb);
        counts.violations.extend(over);
    }
    while let Some(ended) = running.join_next().await {
        ended??;
    }
    counts.violations.extend(cluster.ended_by_themselves());
    counts.violations.sort();
    counts.violations.dedup();
    Ok(counts)
}

/// Draws a disruption and its process: half of them meet control nodes, as far as there are routers.
fn draw(rng: &mut SmallRng, cluster: &Cluster, may_lose_disk: bool) -> (Kind, Arc<Process>) {
    let control_nodes = cluster.control_nodes.len();
    let kind = match rng.random_range(0..14) {
        0..=2 => Kind::Freeze,
        3 | 4 => Kind::Kill,
        5 => Kind::Stop,
        6 => Kind::StopWhileFrozen,
        7 | 8 => Kind::HangUp,
        9 => Kind::KillAll,
        _ if may_lose_disk => Kind::LoseDisk,
        _ => Kind::Freeze,
    };
    let processes: Vec<&Arc<Process>> = cluster.processes().collect();
    let is_router = kind != Kind::LoseDisk && processes.len() > control_nodes && rng.random_bool(0.5);
    let drawn = if is_router { control_nodes..processes.len() } else { 0..control_nodes };
    (kind, processes[rng.random_range(drawn)].clone())
}

async fn disrupt(process: Arc<Process>, kind: Kind, duration: Duration, cluster: Arc<Cluster>) -> Result<()> {
    let launcher = &cluster.launcher;
    let mut node = process.node.lock().await;
    match kind {
        Kind::Freeze => {
            node.freeze()?;
            sleep(duration).await;
            return node.thaw();
        }
        Kind::Kill => {
            node.kill().await?;
            sleep(duration).await;
        }
        Kind::Stop => drop(node.stop().await?),
        Kind::StopWhileFrozen => {
            let pid = node.pid().ok_or_else(|| eyre!("{} has ended", process.name))?;
            node.freeze()?;
            let thaw = async {
                sleep(duration).await;
                kill(Pid::from_raw(pid as i32), Signal::SIGCONT)
            };
            let (stopped, thawed) = tokio::join!(node.stop(), thaw);
            thawed?;
            stopped?;
        }
        Kind::LoseDisk => {
            node.kill().await?;
            node.wipe()?;
            sleep(duration).await;
        }
        Kind::HangUp => {
            hang_up(&node)?;
            node.stop().await?;
            node.start(launcher)?;
            sleep(LOADING_TIME).await;
            return hang_up(&node);
        }
        Kind::KillAll => {
            let mut others: Vec<_> =
                cluster.processes().filter_map(|process| process.node.try_lock().ok()).collect();
            node.kill().await?;
            for other in &mut others {
                other.kill().await?;
            }
            for other in &mut others {
                other.start(launcher)?;
            }
        }
    }
    node.start(launcher)
}

/// Sends SIGHUP to a process a few times.
fn hang_up(node: &Node) -> Result<()> {
    let pid = node.pid().ok_or_else(|| eyre!("{} has ended", node.name))?;
    for _ in 0..HANG_UPS {
        kill(Pid::from_raw(pid as i32), Signal::SIGHUP)?;
    }
    Ok(())
}
