//! The daemons' own code on a simulated host (design 7.2), from start to stop, with a disk that keeps
//! only what was synced.

use crate::{
    node::Node,
    sim::disk::{DiskCondition, SimDisk},
};
use common::{
    runtime::{Host, Simulation, bind, spawn_at},
    settings::Listeners,
};
use control_plane::{
    consensus::{DurableState, Event, Record},
    control_node::{Bootstrap, ControlNode, LogWriter},
    storage::{RecoveryBackoff, blank_voter},
};
use rand::Rng;
use std::{
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, Weak},
    time::Duration,
};
use tokio::{sync::oneshot, task::JoinHandle, time::sleep};

/// A daemon that runs on a simulated host.
pub struct SimulatedProcess {
    /// The host that it runs on.
    pub host: Arc<Host>,
    simulation: Arc<Simulation>,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

fn lock_disk(disk: &Mutex<SimDisk>) -> MutexGuard<'_, SimDisk> {
    disk.lock().unwrap_or_else(|e| e.into_inner())
}

impl SimulatedProcess {
    /// Starts the daemon of a node on its host.
    pub fn start(simulation: &Arc<Simulation>, node: &Node) -> SimulatedProcess {
        let (stop, stopped) = oneshot::channel();
        let (settings, is_control, disk) = (node.settings(), node.is_control, node.disk.clone());
        let (ip, log_simulation) = (node.ip, simulation.clone());
        let shutdown = async move { drop(stopped.await) };
        let task = simulation.host(node.ip).spawn(async move {
            let listeners = match (bind(settings.rpc_addr).await, bind(settings.http).await) {
                (Ok(rpc), Ok(http)) => Listeners { rpc, http },
                _ => return,
            };
            if is_control {
                let image = load_image(&settings, &disk);
                let log_writer = Box::new(move |core| -> Box<dyn LogWriter> {
                    Box::new(SimulatedLogWriter { core, disk, ip, simulation: log_simulation })
                });
                control_plane::daemon::run(
                    settings,
                    Bootstrap::default(),
                    listeners,
                    (image, log_writer),
                    control_plane::operator::api::handle,
                    shutdown,
                )
                .await;
            } else {
                data_plane::daemon::run(settings, listeners, shutdown).await;
            }
        });
        SimulatedProcess { host: simulation.host(node.ip), simulation: simulation.clone(), stop, task }
    }

    /// Loses the writes that were not synced, apart from a random number of the oldest ones that had reached the disk.
    fn crash(&self, disk: &Mutex<SimDisk>) {
        let mut disk = lock_disk(disk);
        let pending = disk.pending.len();
        let reached = if pending == 0 { 0 } else { self.simulation.rng().random_range(0..=pending) };
        disk.crash(reached);
    }

    /// Kills the process; the host stays up and closes its connections.
    pub async fn kill(self, disk: &Mutex<SimDisk>) {
        self.host.kill();
        self.crash(disk);
        // The runtime drops the tasks at their next poll; only then are the ports free.
        sleep(Duration::from_millis(1)).await;
    }

    /// The host loses power: its connections are not closed.
    pub async fn power_off(self, disk: &Mutex<SimDisk>) {
        self.host.power_off();
        self.crash(disk);
        sleep(Duration::from_millis(1)).await;
    }

    /// Asks the daemon to shut down and waits until it has; its disk has then synced every write.
    pub async fn stop(self, disk: &Mutex<SimDisk>) {
        let _ = self.stop.send(());
        let _ = self.task.await;
        self.host.kill();
        lock_disk(disk).crash(usize::MAX);
        sleep(Duration::from_millis(1)).await;
    }
}

/// The durable state on the disk; an empty disk gets that of a blank voter.
fn load_image(settings: &common::settings::Settings, disk: &Mutex<SimDisk>) -> DurableState {
    let mut disk = lock_disk(disk);
    let image = disk.durable.clone().unwrap_or_else(|| DurableState::blank(&blank_voter(settings)));
    disk.durable = Some(image.clone());
    image
}

/// Retries until the disk accepts writes again, as the daemon's own log writer does.
async fn recover(core: Weak<ControlNode>, disk: Arc<Mutex<SimDisk>>) {
    let Some(timing) = core.upgrade().map(|c| c.settings.timing.clone()) else { return };
    let mut retry = RecoveryBackoff::new(&timing);
    let image = loop {
        sleep(retry.wait()).await;
        let disk = lock_disk(&disk);
        if let (DiskCondition::Healthy | DiskCondition::Slow, Some(image)) = (disk.condition, &disk.durable) {
            break image.clone();
        }
        retry.record_failure();
    };
    if let Some(core) = core.upgrade() {
        core.step(Event::Recovered(Box::new(image)));
    }
}

/// Writes a control node's log to its simulated disk, with random delays.
struct SimulatedLogWriter {
    core: Weak<ControlNode>,
    disk: Arc<Mutex<SimDisk>>,
    ip: IpAddr,
    simulation: Arc<Simulation>,
}

impl LogWriter for SimulatedLogWriter {
    fn write(&self, token: u64, record: Record) {
        let delay_ms = {
            let mut disk = lock_disk(&self.disk);
            if let Err(e) = disk.write(token, record) {
                panic!("{e}");
            }
            match disk.condition {
                DiskCondition::Slow => self.simulation.rng().random_range(100..900),
                _ => self.simulation.rng().random_range(1..8),
            }
        };
        let (core, disk) = (self.core.clone(), self.disk.clone());
        spawn_at(self.ip, async move {
            sleep(Duration::from_millis(delay_ms)).await;
            while lock_disk(&disk).condition == DiskCondition::Stalled {
                sleep(Duration::from_millis(40)).await;
            }
            let event = {
                let mut disk = lock_disk(&disk);
                match disk.condition {
                    // The failure of an earlier write has already dropped all pending ones.
                    _ if disk.pending.is_empty() => None,
                    DiskCondition::Failing | DiskCondition::Refusing => {
                        disk.refuse(0);
                        Some(Event::SyncFailed)
                    }
                    _ => disk.sync_one().map(Event::Synced),
                }
            };
            let failed = matches!(event, Some(Event::SyncFailed));
            if let (Some(core), Some(event)) = (core.upgrade(), event) {
                core.step(event);
            }
            if failed {
                recover(core, disk).await;
            }
        });
    }
}
