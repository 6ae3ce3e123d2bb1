//! One node of a fleet: a real process, or the same code on a host of a world (design 7.2).

use crate::{
    sim::disk::{DiskCondition, SimDisk},
    simulated_process::SimulatedProcess,
};
use common::settings::{Settings, Timing};
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

pub const RPC_PORT: u16 = 7100;
pub const HTTP_PORT: u16 = 8080;

/// How a node lives while it runs.
pub enum RunningNode {
    Process(Child),
    Simulated(SimulatedProcess),
}

/// Where nodes are started.
#[derive(Clone)]
pub enum Launcher {
    /// As processes, from the programs in this folder.
    Processes(PathBuf),
    Simulation(Arc<common::runtime::Simulation>),
}

pub struct Node {
    pub name: String,
    pub zone: &'static str,
    pub is_control: bool,
    /// An empty machine that may take the place of another.
    pub is_replacement: bool,
    pub ip: IpAddr,
    /// Where its relay stands: what the others are advertised_ip.
    pub advertised_ip: IpAddr,
    pub dir: PathBuf,
    pub cluster: &'static str,
    pub seeds: Vec<SocketAddr>,
    pub running: Option<RunningNode>,
    /// In a world: its disk, which outlives the process.
    pub disk: Arc<Mutex<SimDisk>>,
}

impl Node {
    pub fn http(&self) -> SocketAddr {
        SocketAddr::new(self.ip, HTTP_PORT)
    }

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
            log: "info".into(),
        }
    }

    pub fn start(&mut self, yard: &Launcher) -> Result<()> {
        if self.running.is_some() {
            bail!("{} runs already", self.name);
        }
        self.running = Some(match yard {
            Launcher::Processes(bin) => RunningNode::Process(self.spawn_process(bin)?),
            Launcher::Simulation(w) => RunningNode::Simulated(SimulatedProcess::start(w, self)),
        });
        Ok(())
    }

    fn spawn_process(&self, bin: &Path) -> Result<Child> {
        std::fs::create_dir_all(&self.dir)?;
        std::fs::write(self.dir.join("node.toml"), toml::to_string(&self.settings())?)?;
        let prog = bin.join(if self.is_control { "foldshunt-control" } else { "foldshunt-router" });
        let log = File::options().create(true).append(true).open(self.dir.join("log"))?;
        Command::new(&prog)
            .arg("--config")
            .arg(self.dir.join("node.toml"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("start {prog:?} (built with: cargo build --workspace)"))
    }

    /// Of a real process, while it runs.
    pub fn pid(&self) -> Option<u32> {
        match &self.running {
            Some(RunningNode::Process(c)) => c.id(),
            _ => None,
        }
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        match &self.running {
            Some(RunningNode::Process(c)) => {
                let pid = c.id().ok_or_else(|| eyre!("{} has ended", self.name))?;
                Ok(kill(Pid::from_raw(pid as i32), signal)?)
            }
            _ => bail!("{} does not run", self.name),
        }
    }

    pub fn freeze(&self) -> Result<()> {
        match &self.running {
            Some(RunningNode::Simulated(h)) => {
                h.host.freeze();
                Ok(())
            }
            _ => self.signal(Signal::SIGSTOP),
        }
    }

    pub fn thaw(&self) -> Result<()> {
        match &self.running {
            Some(RunningNode::Simulated(h)) => {
                h.host.thaw();
                Ok(())
            }
            _ => self.signal(Signal::SIGCONT),
        }
    }

    pub async fn kill(&mut self) -> Result<()> {
        match self.running.take() {
            Some(RunningNode::Process(mut c)) => c.kill().await?,
            Some(RunningNode::Simulated(h)) => h.kill(&self.disk).await,
            None => {}
        }
        Ok(())
    }

    /// The machine loses its power; a real process can only be killed.
    pub async fn power_off(&mut self) -> Result<()> {
        match self.running.take() {
            Some(RunningNode::Simulated(h)) => {
                h.power_off(&self.disk).await;
                Ok(())
            }
            running => {
                self.running = running;
                self.kill().await
            }
        }
    }

    /// SIGTERM, then waits for the end; how long that took.
    pub async fn stop(&mut self) -> Result<Duration> {
        let at = tokio::time::Instant::now();
        let most = Duration::from_secs(90);
        match self.running.take() {
            Some(RunningNode::Process(mut c)) => {
                let pid = c.id().ok_or_else(|| eyre!("{} has ended", self.name))?;
                kill(Pid::from_raw(pid as i32), Signal::SIGTERM)?;
                tokio::time::timeout(most, c.wait()).await.wrap_err("no end after SIGTERM")??;
            }
            Some(RunningNode::Simulated(h)) => {
                tokio::time::timeout(most, h.stop(&self.disk)).await.wrap_err("no end after the stop")?;
            }
            None => bail!("{} does not run", self.name),
        }
        Ok(at.elapsed())
    }

    /// A voter's disk changes; real files do as they do.
    pub fn set_disk_condition(&self, condition: DiskCondition) -> Result<()> {
        if !matches!(self.running, Some(RunningNode::Simulated(_))) {
            bail!("the disk of {} is a real one; disks change in a world only", self.name);
        }
        self.disk.lock().unwrap_or_else(|e| e.into_inner()).condition = condition;
        Ok(())
    }

    pub fn is_running(&self) -> bool {
        self.running.is_some()
    }

    pub fn wipe(&self) -> Result<()> {
        self.disk.lock().unwrap_or_else(|e| e.into_inner()).wipe();
        let dir = self.dir.join("data");
        if dir.exists() {
            std::fs::remove_dir_all(dir)?;
        }
        Ok(())
    }
}
