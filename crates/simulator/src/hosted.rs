//! A node's own code on a host of a world (design 7.2): the daemons' whole lives, with a disk that
//! keeps only what was synced.

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

pub struct Hosted {
    pub host: Arc<Host>,
    world: Arc<Simulation>,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

fn lock(d: &Mutex<SimDisk>) -> MutexGuard<'_, SimDisk> {
    d.lock().unwrap_or_else(|e| e.into_inner())
}

impl Hosted {
    pub fn start(w: &Arc<Simulation>, n: &Node) -> Hosted {
        let (stop, told) = oneshot::channel();
        let (set, core, disk) = (n.settings(), n.core, n.disk.clone());
        let (ip, world) = (n.ip, w.clone());
        let told = async move { drop(told.await) };
        let task = w.host(n.ip).spawn(async move {
            let bound = match (bind(set.rpc_addr).await, bind(set.http).await) {
                (Ok(rpc), Ok(http)) => Listeners { rpc, http },
                _ => return,
            };
            if core {
                let image = take_up(&set, &disk);
                let drive = Box::new(move |core| -> Box<dyn LogWriter> {
                    Box::new(WorldDrive { core, disk, ip, world })
                });
                control_plane::daemon::run(
                    set,
                    Bootstrap::default(),
                    bound,
                    (image, drive),
                    control_plane::operator::api::handle,
                    told,
                )
                .await;
            } else {
                data_plane::daemon::run(set, bound, told).await;
            }
        });
        Hosted { host: w.host(n.ip), world: w.clone(), stop, task }
    }

    /// Of what was not synced yet, some had reached the disk.
    fn crash(&self, disk: &Mutex<SimDisk>) {
        let mut d = lock(disk);
        let n = d.pending.len();
        let reached = if n == 0 { 0 } else { self.world.rng().random_range(0..=n) };
        d.crash(reached);
    }

    pub async fn kill(self, disk: &Mutex<SimDisk>) {
        self.host.kill();
        self.crash(disk);
        // The tasks are dropped when they are next looked at; then the ports are free.
        sleep(Duration::from_millis(1)).await;
    }

    pub async fn power_off(self, disk: &Mutex<SimDisk>) {
        self.host.power_off();
        self.crash(disk);
        sleep(Duration::from_millis(1)).await;
    }

    pub async fn stop(self, disk: &Mutex<SimDisk>) {
        let _ = self.stop.send(());
        let _ = self.task.await;
        self.host.kill();
        lock(disk).crash(usize::MAX);
        sleep(Duration::from_millis(1)).await;
    }
}

fn take_up(set: &common::settings::Settings, disk: &Mutex<SimDisk>) -> DurableState {
    let mut d = lock(disk);
    let image = d.durable.clone().unwrap_or_else(|| DurableState::blank(&blank_voter(set)));
    d.durable = Some(image.clone());
    image
}

/// Tries until the disk takes writes again, as the daemon's own drive does.
async fn recover(core: Weak<ControlNode>, disk: Arc<Mutex<SimDisk>>) {
    let Some(timing) = core.upgrade().map(|c| c.settings.timing.clone()) else { return };
    let mut retry = RecoveryBackoff::new(&timing);
    let image = loop {
        sleep(retry.wait()).await;
        let d = lock(&disk);
        if let (DiskCondition::Healthy | DiskCondition::Slow, Some(image)) = (d.condition, &d.durable) {
            break image.clone();
        }
        retry.record_failure();
    };
    if let Some(core) = core.upgrade() {
        core.step(Event::Recovered(Box::new(image)));
    }
}

struct WorldDrive {
    core: Weak<ControlNode>,
    disk: Arc<Mutex<SimDisk>>,
    ip: IpAddr,
    world: Arc<Simulation>,
}

impl LogWriter for WorldDrive {
    fn write(&self, token: u64, record: Record) {
        let ms = {
            let mut d = lock(&self.disk);
            if let Err(e) = d.write(token, record) {
                panic!("{e}");
            }
            match d.condition {
                DiskCondition::Slow => self.world.rng().random_range(100..900),
                _ => self.world.rng().random_range(1..8),
            }
        };
        let (core, disk) = (self.core.clone(), self.disk.clone());
        spawn_at(self.ip, async move {
            sleep(Duration::from_millis(ms)).await;
            while lock(&disk).condition == DiskCondition::Stalled {
                sleep(Duration::from_millis(40)).await;
            }
            let event = {
                let mut d = lock(&disk);
                match d.condition {
                    // An earlier write was refused with all that was under way.
                    _ if d.pending.is_empty() => None,
                    DiskCondition::Failing | DiskCondition::Refusing => {
                        d.refuse(0);
                        Some(Event::SyncFailed)
                    }
                    _ => d.sync_one().map(Event::Synced),
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
