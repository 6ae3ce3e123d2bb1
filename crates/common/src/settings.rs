//! Node settings: a file, then the environment, then flags, read by figment (design 1.10).

use crate::{
    ids::is_valid_name,
    runtime::{Listener, bind},
};
use eyre::{Result, WrapErr, bail, ensure, eyre};
use figment::{
    Figment,
    providers::{Env, Format, Serialized, Toml},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, path::PathBuf};

/// Voters of a core: a view's number has room for as many (design 2.2).
const MOST_SEEDS: usize = 4;

/// What a node must be told, and nothing that it can learn.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    pub cluster: String,
    pub node: String,
    #[serde(rename = "area")]
    pub zone: String,
    /// Where own processes reach this one.
    #[serde(rename = "rail")]
    pub rpc_addr: SocketAddr,
    /// Where callers (router) or operators (control node) reach this one.
    pub http: SocketAddr,
    /// What others are told instead, where a relay stands in between.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "rail_advertise")]
    pub rpc_advertise: Option<SocketAddr>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub http_advertise: Option<SocketAddr>,
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether a blank core process may found a cluster with the other seeds.
    #[serde(default = "yes")]
    #[serde(rename = "founds")]
    pub may_bootstrap: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data: Option<PathBuf>,
    #[serde(default)]
    pub timing: Timing,
    #[serde(default = "info")]
    pub log: String,
}

fn yes() -> bool {
    true
}

fn info() -> String {
    "info".into()
}

/// The bounds; every other span of time is a ratio to one of these (design 1.3).
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Length of a lease.
    #[serde(rename = "tenure_ms")]
    pub lease_ms: u64,
    /// Time between two checks of a replica.
    #[serde(rename = "check_ms")]
    pub probe_interval_ms: u64,
    /// Failed checks in a row after which a replica counts as down.
    #[serde(rename = "check_fails")]
    pub probe_failures: u32,
    /// Longest wait for an answer between own processes.
    #[serde(rename = "rail_ms")]
    pub rpc_timeout_ms: u64,
    /// Longest drain after SIGTERM.
    pub drain_ms: u64,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease_ms: 2_000,
            probe_interval_ms: 1_000,
            probe_failures: 3,
            rpc_timeout_ms: 500,
            drain_ms: 60_000,
        }
    }
}

impl Timing {
    pub fn renew_interval_ms(&self) -> u64 {
        self.lease_ms / 4
    }
    /// The core's heartbeat.
    pub fn heartbeat_ms(&self) -> u64 {
        self.lease_ms / 20
    }
    /// Silence of a leader after which a voter asks for a new view.
    pub fn election_timeout_ms(&self) -> u64 {
        self.lease_ms / 2
    }
    /// Added by the core before it takes a lease as expired.
    pub fn lease_margin_ms(&self) -> u64 {
        self.lease_ms / 8
    }
    /// Overdue sync after which a leader stops counting as one.
    pub fn sync_timeout_ms(&self) -> u64 {
        self.lease_ms / 2
    }
    /// Age at which figures no longer count.
    pub fn report_max_age_ms(&self) -> u64 {
        self.probe_interval_ms * u64::from(self.probe_failures)
    }
    /// Time between two looks at what presses.
    pub fn report_interval_ms(&self) -> u64 {
        (self.probe_interval_ms / 4).max(10)
    }
    /// The small bound within which the placement table must answer.
    pub fn placement_timeout_ms(&self) -> u64 {
        (self.rpc_timeout_ms / 5).max(10)
    }
}

/// Flags that stand above the file; each program adds its own.
#[derive(Clone, Debug, Default, Serialize, bpaf::Bpaf)]
pub struct Flags {
    /// Settings file (TOML)
    #[bpaf(short, long, argument("FILE"))]
    #[serde(skip)]
    pub config: Option<PathBuf>,
    /// Name of the cluster
    #[bpaf(argument("NAME"))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cluster: Option<String>,
    /// Name of this node
    #[bpaf(argument("NAME"))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub node: Option<String>,
    /// Zone of this node
    #[bpaf(long("zone"), long("area"), argument("NAME"))]
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "area")]
    pub zone: Option<String>,
    /// Address for other foldshunt processes
    #[bpaf(argument("IP:PORT"))]
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "rail")]
    pub rpc_addr: Option<SocketAddr>,
    /// Address for HTTP
    #[bpaf(argument("IP:PORT"))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub http: Option<SocketAddr>,
    /// Seed address of a core process; give it for each of them
    #[bpaf(long("seed"), argument("IP:PORT"))]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub seeds: Vec<SocketAddr>,
    /// Data folder (control node only)
    #[bpaf(argument("DIR"))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data: Option<PathBuf>,
    /// Log level: error, warn, info, debug or trace
    #[bpaf(argument("LEVEL"))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub log: Option<String>,
}

/// The path of a file that others put there is no setting.
fn names_a_file(key: &str) -> bool {
    key.to_ascii_lowercase().ends_with("_file")
}

impl Settings {
    pub fn read(fl: &Flags) -> Result<Settings> {
        if let Some(p) = fl.config.as_ref().filter(|p| !p.is_file()) {
            bail!("config: {:?} is not a file; allowed: the path of a TOML settings file", p);
        }
        let base = fl.config.iter().fold(Figment::new(), |f, p| f.merge(Toml::file_exact(p)));
        let s: Settings = base
            .merge(Env::prefixed("FOLDSHUNT_").filter(|k| !names_a_file(k.as_str())).split("__"))
            .merge(Serialized::defaults(fl))
            .extract()
            .map_err(|e| eyre!("settings: {e}"))?;
        s.check()?;
        Ok(s)
    }

    pub fn check(&self) -> Result<()> {
        for (f, v) in [("cluster", &self.cluster), ("node", &self.node), ("area", &self.zone)] {
            ensure!(is_valid_name(v), "{f}: {v:?}; allowed: 1 to 64 letters, digits, '-', '_' or '.'");
        }
        let distinct: std::collections::BTreeSet<_> = self.seeds.iter().collect();
        ensure!(
            (1..=MOST_SEEDS).contains(&self.seeds.len()) && distinct.len() == self.seeds.len(),
            "seeds: {:?}; allowed: one to {MOST_SEEDS} different addresses; three, for a core that bears a loss",
            self.seeds
        );
        for (f, a) in [("rail", self.rpc_addr()), ("http", self.advertised_http())] {
            ensure!(
                !a.ip().is_unspecified() && a.port() != 0,
                "{f}: {a}; allowed: an address that others can reach, or one set as {f}_advertise"
            );
        }
        ensure!(
            ["error", "warn", "info", "debug", "trace"].contains(&self.log.as_str()),
            "log: {:?}; allowed: error, warn, info, debug, trace",
            self.log
        );
        let t = &self.timing;
        let fails = u64::from(t.probe_failures);
        for (f, v, lo, hi) in [
            ("timing.tenure_ms", t.lease_ms, 400, 60_000),
            ("timing.check_ms", t.probe_interval_ms, 50, 60_000),
            ("timing.check_fails", fails, 1, 100),
            ("timing.rail_ms", t.rpc_timeout_ms, 50, 10_000),
            ("timing.drain_ms", t.drain_ms, 0, 3_600_000),
        ] {
            ensure!((lo..=hi).contains(&v), "{f}: {v}; allowed: {lo} to {hi}");
        }
        Ok(())
    }

    pub fn rpc_addr(&self) -> SocketAddr {
        self.rpc_advertise.unwrap_or(self.rpc_addr)
    }

    pub fn advertised_http(&self) -> SocketAddr {
        self.http_advertise.unwrap_or(self.http)
    }

    /// Binds both addresses.
    ///
    /// # Errors
    /// Names the address that can't be bound.
    pub async fn bind(&self) -> Result<Listeners> {
        let rpc = bind(self.rpc_addr).await.wrap_err_with(|| format!("rpc: {}", self.rpc_addr))?;
        let http = bind(self.http).await.wrap_err_with(|| format!("http: {}", self.http))?;
        Ok(Listeners { rpc, http })
    }

    pub fn me(&self) -> crate::link::LocalNode {
        crate::link::LocalNode {
            cluster: self.cluster.clone(),
            node: self.node.clone(),
            ip: self.rpc_addr.ip(),
            wait_ms: self.timing.rpc_timeout_ms,
        }
    }
}

/// The addresses of a node, bound.
pub struct Listeners {
    /// For other nodes.
    pub rpc: Listener,
    /// For clients (router) or operators (control node).
    pub http: Listener,
}

/// SIGTERM, or an interrupt from a terminal.
pub fn shutdown_signal() -> Result<impl Future<Output = ()>> {
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    Ok(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
    })
}
