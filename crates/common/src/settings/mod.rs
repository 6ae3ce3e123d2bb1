//! Node settings: a file, then the environment, then flags, read by figment (design 1.10).

mod deprecated;
mod timing;

pub use deprecated::{DEPRECATED, deprecated_names, warn_deprecated};
pub use timing::Timing;

use crate::{
    ids::{NAME_RULE, is_valid_name},
    rpc::LocalNode,
    runtime::{Listener, bind},
};
use deprecated::Renamed;
use eyre::{Result, WrapErr, bail, ensure, eyre};
use figment::{
    Figment,
    providers::{Env, Format, Serialized, Toml},
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, net::SocketAddr, path::PathBuf};

/// Most seeds in the settings.
const MAX_SEEDS: usize = 4;

/// The settings of a node: nothing in them can be learned from others.
///
/// Names of earlier releases are still read: see [`DEPRECATED`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the cluster.
    pub cluster: String,
    /// Name of the node.
    pub node: String,
    /// Failure domain of the node.
    pub zone: String,
    /// Where other nodes reach this one.
    #[serde(rename = "rpc")]
    pub rpc_addr: SocketAddr,
    /// Where clients (router) or operators (control node) reach this one.
    pub http: SocketAddr,
    /// What others are given instead of `rpc`, where a relay stands in between.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rpc_advertise: Option<SocketAddr>,
    /// What others are given instead of `http`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub http_advertise: Option<SocketAddr>,
    /// RPC addresses of control nodes.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether a blank control node may bootstrap a cluster with the other seeds.
    #[serde(rename = "bootstrap", default = "yes")]
    pub may_bootstrap: bool,
    /// Data folder of a control node.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data: Option<PathBuf>,
    /// Time bounds.
    #[serde(default)]
    pub timing: Timing,
    /// Log level.
    #[serde(default = "info")]
    pub log: String,
}

fn yes() -> bool {
    true
}

fn info() -> String {
    "info".into()
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
    pub zone: Option<String>,
    /// Address for RPC from other nodes
    #[bpaf(long("rpc"), long("rail"), argument("IP:PORT"))]
    #[serde(rename = "rpc", skip_serializing_if = "Option::is_none")]
    pub rpc_addr: Option<SocketAddr>,
    /// Address for HTTP
    #[bpaf(argument("IP:PORT"))]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub http: Option<SocketAddr>,
    /// RPC address of a control node; give it for each of them
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

/// The path of a file that others put into the environment is no setting.
fn names_a_file(key: &str) -> bool {
    key.to_ascii_lowercase().ends_with("_file")
}

fn environment() -> Env {
    Env::prefixed("FOLDSHUNT_").filter(|key| !names_a_file(key.as_str())).split("__")
}

/// Levels of the log, as settings name them.
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

impl Settings {
    /// Reads the file, then the environment, then the flags; later ones win.
    ///
    /// # Errors
    /// Names the setting that is missing, unknown or wrong, and what is allowed.
    pub fn read(flags: &Flags) -> Result<Settings> {
        if let Some(path) = flags.config.as_ref().filter(|path| !path.is_file()) {
            bail!("config: {path:?} is not a file; allowed: the path of a TOML settings file");
        }
        let file = |layers: Figment, path| layers.merge(Renamed(Toml::file_exact(path)));
        let settings: Settings = flags
            .config
            .iter()
            .fold(Figment::new(), file)
            .merge(Renamed(environment()))
            .merge(Serialized::defaults(flags))
            .extract()
            .map_err(|e| eyre!("settings: {e}"))?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks values that their types don't.
    ///
    /// # Errors
    /// Names the setting, its value and what is allowed.
    pub fn check(&self) -> Result<()> {
        for (field, name) in [("cluster", &self.cluster), ("node", &self.node), ("zone", &self.zone)] {
            ensure!(is_valid_name(name), "{field}: {name:?}; {NAME_RULE}");
        }
        let distinct: BTreeSet<_> = self.seeds.iter().collect();
        ensure!(
            (1..=MAX_SEEDS).contains(&self.seeds.len()) && distinct.len() == self.seeds.len(),
            "seeds: {:?}; allowed: one to {MAX_SEEDS} different addresses; three, to survive the loss of one",
            self.seeds
        );
        for (field, addr) in [("rpc", self.rpc_addr()), ("http", self.advertised_http())] {
            ensure!(
                !addr.ip().is_unspecified() && addr.port() != 0,
                "{field}: {addr}; allowed: an address that others can reach, or one set as {field}_advertise"
            );
        }
        ensure!(
            LOG_LEVELS.contains(&self.log.as_str()),
            "log: {:?}; allowed: {}",
            self.log,
            LOG_LEVELS.join(", ")
        );
        self.timing.check()
    }

    /// The address that other nodes are given.
    pub fn rpc_addr(&self) -> SocketAddr {
        self.rpc_advertise.unwrap_or(self.rpc_addr)
    }

    /// The address that clients or operators are given.
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

    /// This node as an end of RPC connections.
    pub fn local_node(&self) -> LocalNode {
        LocalNode {
            cluster: self.cluster.clone(),
            node: self.node.clone(),
            ip: self.rpc_addr.ip(),
            timeout_ms: self.timing.rpc_timeout_ms,
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

/// Waits for SIGTERM, or an interrupt from a terminal.
///
/// # Errors
/// The signal can't be caught.
pub fn shutdown_signal() -> Result<impl Future<Output = ()>> {
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    Ok(async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
        }
    })
}
