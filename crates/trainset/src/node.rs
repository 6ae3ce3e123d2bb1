//! One node of a fleet as a real process (design 7.2).

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
    time::{Duration, Instant},
};
use tokio::process::{Child, Command};

pub const RAIL: u16 = 7100;
pub const HTTP: u16 = 8080;

pub struct Node {
    pub name: String,
    pub area: &'static str,
    pub core: bool,
    pub ip: IpAddr,
    /// Where its relay stands: what the others are told.
    pub told: IpAddr,
    pub dir: PathBuf,
    pub child: Option<Child>,
}

impl Node {
    pub fn http(&self) -> SocketAddr {
        SocketAddr::new(self.ip, HTTP)
    }

    pub fn settings(&self, cluster: &str, seeds: &[SocketAddr]) -> String {
        let seeds: Vec<String> = seeds.iter().map(|s| format!("{s:?}").replace('"', "")).collect();
        let data = if self.core { format!("data = {:?}\n", self.dir.join("data")) } else { String::new() };
        format!(
            "cluster = {cluster:?}\nnode = {:?}\narea = {:?}\nrail = \"{}:{RAIL}\"\nhttp = \"{}:{HTTP}\"\nrail_advertise = \"{}:{RAIL}\"\nhttp_advertise = \"{}:{HTTP}\"\nseeds = {seeds:?}\n{data}",
            self.name, self.area, self.ip, self.ip, self.told, self.told
        )
    }

    pub fn start(&mut self, bin: &Path) -> Result<()> {
        if self.child.is_some() {
            bail!("{} runs already", self.name);
        }
        let prog = bin.join(if self.core { "signalbox" } else { "pointsman" });
        let log = File::options().create(true).append(true).open(self.dir.join("log"))?;
        let child = Command::new(&prog)
            .arg("--config")
            .arg(self.dir.join("node.toml"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("start {prog:?} (built with: cargo build --workspace)"))?;
        self.child = Some(child);
        Ok(())
    }

    pub fn signal(&self, s: Signal) -> Result<()> {
        let pid =
            self.child.as_ref().and_then(|c| c.id()).ok_or_else(|| eyre!("{} does not run", self.name))?;
        Ok(kill(Pid::from_raw(pid as i32), s)?)
    }

    pub async fn kill(&mut self) -> Result<()> {
        if let Some(mut c) = self.child.take() {
            c.kill().await?;
        }
        Ok(())
    }

    /// SIGTERM, then waits for the end; how long that took.
    pub async fn stop(&mut self) -> Result<Duration> {
        self.signal(Signal::SIGTERM)?;
        let at = Instant::now();
        if let Some(mut c) = self.child.take() {
            tokio::time::timeout(Duration::from_secs(90), c.wait())
                .await
                .wrap_err("no end after SIGTERM")??;
        }
        Ok(at.elapsed())
    }

    pub fn runs(&self) -> bool {
        self.child.is_some()
    }

    pub fn wipe(&self) -> Result<()> {
        Ok(std::fs::remove_dir_all(self.dir.join("data"))?)
    }
}
