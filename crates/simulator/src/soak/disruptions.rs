//! The series of signals, restarts and lost disks of a soak, drawn by the seed. Disruptions of different processes
//! overlap.

use super::cluster::{Cluster, Process};
use crate::node::Launcher;
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

/// How many disruptions there were.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// All disruptions.
    pub disruptions: usize,
    /// Losses of disks among them.
    pub lost_disks: usize,
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
        let kind = draw_kind(&mut rng, losses_left > 0);
        let process = cluster.control_nodes[rng.random_range(0..cluster.control_nodes.len())].clone();
        let duration = Duration::from_millis(rng.random_range(DURATION_MS));
        let gap = Duration::from_millis(rng.random_range(GAP_MS));
        if process.node.try_lock().is_ok() {
            counts.disruptions += 1;
            counts.lost_disks += usize::from(kind == Kind::LoseDisk);
            losses_left -= usize::from(kind == Kind::LoseDisk);
            running.spawn(disrupt(process, kind, duration, cluster.launcher.clone()));
        }
        sleep(gap).await;
    }
    while let Some(ended) = running.join_next().await {
        ended??;
    }
    Ok(counts)
}

fn draw_kind(rng: &mut SmallRng, may_lose_disk: bool) -> Kind {
    match rng.random_range(0..10) {
        0..=2 => Kind::Freeze,
        3 | 4 => Kind::Kill,
        5 => Kind::Stop,
        6 => Kind::StopWhileFrozen,
        _ if may_lose_disk => Kind::LoseDisk,
        _ => Kind::Freeze,
    }
}

async fn disrupt(process: Arc<Process>, kind: Kind, duration: Duration, launcher: Launcher) -> Result<()> {
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
    }
    node.start(&launcher)
}
