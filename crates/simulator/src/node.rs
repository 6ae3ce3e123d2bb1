//! One node of a fleet: a real process, or the same code on a simulated host (design 7.2).

use crate::{
    sim::disk::{DiskCondition, SimDisk},
    simulated_process::SimulatedProcess,
};
use common::settings::{Resources, Settings, Timing};
use eyre::{Result, WrapErr, bail, eyre};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use std::{
    fs::File,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    process::Stdio,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::process::{Child, Command};

pub use crate::launcher::{Launcher, RunningNode};

/// Port of every node for calls between nodes.
pub const RPC_PORT: u16 = 7100;
/// Port of every node for HTTP.
pub const HTTP_PORT: u16 = 8080;

/// A node of a fleet, running or not.
pub struct Node {
    /// Its name: `s1` to `s3` for control nodes, `p1` to `p9` for routers.
    pub name: String,
    /// Its zone.
    pub zone: &'static str,
    /// Whether it is a control node; otherwise it is a router.
    pub is_control: bool,
    /// Whether it was started empty, to take the place of another node.
    pub is_replacement: bool,
    /// The address that it listens on.
    pub ip: IpAddr,
    /// The address that it advertises to others: its relay's, or its own where there are no relays.
    pub advertised_ip: IpAddr,
    /// Folder of its settings, data and log.
    pub dir: PathBuf,
    /// Name of its cluster.
    pub cluster: &'static str,
    /// Addresses of the control nodes, as advertised.
    pub seeds: Vec<SocketAddr>,
    /// Its memory and descriptors.
    pub resources: Resources,
    /// The running node; `None` while it is down.
    pub running: Option<RunningNode>,
    /// In a simulation: its disk, which outlives the process.
    pub disk: Arc<Mutex<SimDisk>>,
}

impl Node {
    /// Its HTTP address.
    pub fn http(&self) -> SocketAddr {
        SocketAddr::new(self.ip, HTTP_PORT)
    }

    /// Its settings.
    pub fn settings(&self) -> Settings {
        let advertise =
            |port| (self.advertised_ip != self.ip).then_some(SocketAddr::new(self.advertised_ip, port));
        Settings {
            cluster: self.cluster.into(),
            node: self.name.clone(),
            zone: self.zone.into(),
            rpc_addr: SocketAddr::new(self.ip, RPC_PORT),
            http: self.http(),
            rpc_advertise: advertise(RPC_PORT),
            http_advertise: advertise(HTTP_PORT),
            seeds: self.seeds.clone(),
            may_bootstrap: true,
            data: self.is_control.then(|| self.dir.join("data")),
            timing: Timing::default(),
            resources: self.resources.clone(),
            log: "info".into(),
        }
    }

    /// Starts it; an error if it is already running.
    pub fn start(&mut self, launcher: &Launcher) -> Result<()> {
        if self.running.is_some() {
            bail!("{} is already running", self.name);
        }
        self.running = Some(match launcher {
            Launcher::Processes(bin) => RunningNode::Process(self.spawn_process(bin, None)?),
            Launcher::ProcessesOfCluster(bin, voters) => {
                RunningNode::Process(self.spawn_process(bin, Some(*voters))?)
            }
            Launcher::Simulation(simulation) => {
                RunningNode::Simulated(SimulatedProcess::start(simulation, self))
            }
        });
        Ok(())
    }

    fn spawn_process(&self, bin: &Path, voters: Option<u8>) -> Result<Child> {
        std::fs::create_dir_all(&self.dir)?;
        std::fs::write(self.dir.join("node.toml"), toml::to_string(&self.settings())?)?;
        let (program, arguments) = match (voters, self.is_control) {
            (Some(voters), true) => {
                ("simulator", vec!["control-node".to_string(), "--voters".into(), voters.to_string()])
            }
            (Some(_), false) => ("simulator", vec!["router".to_string()]),
            (None, true) => ("foldshunt-control", Vec::new()),
            (None, false) => ("foldshunt-router", Vec::new()),
        };
        let program = bin.join(program);
        let log = File::options().create(true).append(true).open(self.dir.join("log"))?;
        Command::new(&program)
            .args(arguments)
            .arg("--config")
            .arg(self.dir.join("node.toml"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("cannot start {program:?}; build it first: cargo build --workspace"))
    }

    /// Process id of a real process, while it runs.
    pub fn pid(&self) -> Option<u32> {
        match &self.running {
            Some(RunningNode::Process(child)) => child.id(),
            _ => None,
        }
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        match &self.running {
            Some(RunningNode::Process(child)) => {
                let pid = child.id().ok_or_else(|| eyre!("{} has ended", self.name))?;
                Ok(kill(Pid::from_raw(pid as i32), signal)?)
            }
            _ => bail!("{} is not running", self.name),
        }
    }

    /// Suspends it, with its connections open.
    pub fn freeze(&self) -> Result<()> {
        match &self.running {
            Some(RunningNode::Simulated(process)) => {
                process.host.freeze();
                Ok(())
            }
            _ => self.signal(Signal::SIGSTOP),
        }
    }

    /// Resumes it.
    pub fn thaw(&self) -> Result<()> {
        match &self.running {
            Some(RunningNode::Simulated(process)) => {
                process.host.thaw();
                Ok(())
            }
            _ => self.signal(Signal::SIGCONT),
        }
    }

    /// Kills it; does nothing if it is not running.
    pub async fn kill(&mut self) -> Result<()> {
        match self.running.take() {
            Some(RunningNode::Process(mut child)) => child.kill().await?,
            Some(RunningNode::Simulated(process)) => process.kill(&self.disk).await,
            None => {}
        }
        Ok(())
    }

    /// The machine loses power; a real process is killed instead.
    pub async fn power_off(&mut self) -> Result<()> {
        match self.running.take() {
            Some(RunningNode::Simulated(process)) => {
                process.power_off(&self.disk).await;
                Ok(())
            }
            running => {
                self.running = running;
                self.kill().await
            }
        }
    }

    /// Sends SIGTERM and waits for the process to end; returns how long that took.
    pub async fn stop(&mut self) -> Result<Duration> {
        let started = tokio::time::Instant::now();
        let limit = Duration::from_secs(90);
        match self.running.take() {
            Some(RunningNode::Process(mut child)) => {
                let pid = child.id().ok_or_else(|| eyre!("{} has ended", self.name))?;
                kill(Pid::from_raw(pid as i32), Signal::SIGTERM)?;
                tokio::time::timeout(limit, child.wait())
                    .await
                    .wrap_err_with(|| format!("{} is still running 90 s after SIGTERM", self.name))??;
            }
            Some(RunningNode::Simulated(process)) => {
                tokio::time::timeout(limit, process.stop(&self.disk)).await.wrap_err_with(|| {
                    format!("{} is still running 90 s after it was asked to stop", self.name)
                })?;
            }
            None => bail!("{} is not running", self.name),
        }
        Ok(started.elapsed())
    }

    /// Sets the condition of a simulated disk. An error for a real process, whose disk cannot be changed.
    pub fn set_disk_condition(&self, condition: DiskCondition) -> Result<()> {
        if !matches!(self.running, Some(RunningNode::Simulated(_))) {
            bail!("the disk of {} is a real one; only a simulated disk can be changed", self.name);
        }
        self.disk.lock().unwrap_or_else(|e| e.into_inner()).condition = condition;
        Ok(())
    }

    /// Whether it is running, even if suspended.
    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// Empties its disk and its data folder.
    pub fn wipe(&self) -> Result<()> {
        self.disk.lock().unwrap_or_else(|e| e.into_inner()).wipe();
        let dir = self.dir.join("data");
        if dir.exists() {
            std::fs::remove_dir_all(dir)?;
        }
        Ok(())
    }
}
