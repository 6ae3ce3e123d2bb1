//! One node of a fleet: a real process, or the same code on a host of a world (design 7.2).

use crate::{
    hosted::Hosted,
    sim::disk::{DiskCondition, SimDisk},
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

pub const RAIL: u16 = 7100;
pub const HTTP: u16 = 8080;

/// How a node lives while it runs.
pub enum Life {
    Process(Child),
    Hosted(Hosted),
}

/// Where nodes are started.
#[derive(Clone)]
pub enum Yard {
    /// As processes, from the programs in this folder.
    Programs(PathBuf),
    World(Arc<common::runtime::Simulation>),
}

pub struct Node {
    pub name: String,
    pub zone: &'static str,
    pub core: bool,
    /// An empty machine that may take the place of another.
    pub spare: bool,
    pub ip: IpAddr,
    /// Where its relay stands: what the others are told.
    pub told: IpAddr,
    pub dir: PathBuf,
    pub cluster: &'static str,
    pub seeds: Vec<SocketAddr>,
    pub process: Option<Life>,
    /// In a world: its disk, which outlives the process.
    pub disk: Arc<Mutex<SimDisk>>,
}

impl Node {
    pub fn http(&self) -> SocketAddr {
        SocketAddr::new(self.ip, HTTP)
    }

    pub fn settings(&self) -> Settings {
        let advertise = |port| (self.told != self.ip).then_some(SocketAddr::new(self.told, port));
        Settings {
            cluster: self.cluster.into(),
            node: self.name.clone(),
            zone: self.zone.into(),
            rpc_addr: SocketAddr::new(self.ip, RAIL),
            http: self.http(),
            rpc_advertise: advertise(RAIL),
            http_advertise: advertise(HTTP),
            seeds: self.seeds.clone(),
            may_bootstrap: true,
            data: self.core.then(|| self.dir.join("data")),
            timing: Timing::default(),
            log: "info".into(),
        }
    }

    pub fn start(&mut self, yard: &Yard) -> Result<()> {
        if self.process.is_some() {
            bail!("{} runs already", self.name);
        }
        self.process = Some(match yard {
            Yard::Programs(bin) => Life::Process(self.process(bin)?),
            Yard::World(w) => Life::Hosted(Hosted::start(w, self)),
        });
        Ok(())
    }

    fn process(&self, bin: &Path) -> Result<Child> {
        std::fs::create_dir_all(&self.dir)?;
        std::fs::write(self.dir.join("node.toml"), toml::to_string(&self.settings())?)?;
        let prog = bin.join(if self.core { "foldshunt-control" } else { "foldshunt-router" });
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
        match &self.process {
            Some(Life::Process(c)) => c.id(),
            _ => None,
        }
    }

    fn signal(&self, s: Signal) -> Result<()> {
        match &self.process {
            Some(Life::Process(c)) => {
                let pid = c.id().ok_or_else(|| eyre!("{} has ended", self.name))?;
                Ok(kill(Pid::from_raw(pid as i32), s)?)
            }
            _ => bail!("{} does not run", self.name),
        }
    }

    pub fn freeze(&self) -> Result<()> {
        match &self.process {
            Some(Life::Hosted(h)) => {
                h.host.freeze();
                Ok(())
            }
            _ => self.signal(Signal::SIGSTOP),
        }
    }

    pub fn thaw(&self) -> Result<()> {
        match &self.process {
            Some(Life::Hosted(h)) => {
                h.host.thaw();
                Ok(())
            }
            _ => self.signal(Signal::SIGCONT),
        }
    }

    pub async fn kill(&mut self) -> Result<()> {
        match self.process.take() {
            Some(Life::Process(mut c)) => c.kill().await?,
            Some(Life::Hosted(h)) => h.kill(&self.disk).await,
            None => {}
        }
        Ok(())
    }

    /// The machine loses its power; a real process can only be killed.
    pub async fn power_off(&mut self) -> Result<()> {
        match self.process.take() {
            Some(Life::Hosted(h)) => {
                h.power_off(&self.disk).await;
                Ok(())
            }
            process => {
                self.process = process;
                self.kill().await
            }
        }
    }

    /// SIGTERM, then waits for the end; how long that took.
    pub async fn stop(&mut self) -> Result<Duration> {
        let at = tokio::time::Instant::now();
        let most = Duration::from_secs(90);
        match self.process.take() {
            Some(Life::Process(mut c)) => {
                let pid = c.id().ok_or_else(|| eyre!("{} has ended", self.name))?;
                kill(Pid::from_raw(pid as i32), Signal::SIGTERM)?;
                tokio::time::timeout(most, c.wait()).await.wrap_err("no end after SIGTERM")??;
            }
            Some(Life::Hosted(h)) => {
                tokio::time::timeout(most, h.stop(&self.disk)).await.wrap_err("no end after the stop")?;
            }
            None => bail!("{} does not run", self.name),
        }
        Ok(at.elapsed())
    }

    /// A voter's disk changes; real files do as they do.
    pub fn mood(&self, m: DiskCondition) -> Result<()> {
        if !matches!(self.process, Some(Life::Hosted(_))) {
            bail!("the disk of {} is a real one; disks change in a world only", self.name);
        }
        self.disk.lock().unwrap_or_else(|e| e.into_inner()).condition = m;
        Ok(())
    }

    pub fn runs(&self) -> bool {
        self.process.is_some()
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
