//! Settings of a node: from a file, the environment and flags, in rising priority, read by figment (design 1.10).

mod deprecated;
mod resources;
mod timing;

pub use deprecated::{DEPRECATED, deprecated_names, warn_deprecated};
pub use resources::Resources;
pub use timing::Timing;

use crate::{
    ids::{NAME_RULE, is_valid_name},
    rpc::LocalNode,
    runtime::{Listener, bind_when_available},
};
use deprecated::Renamed;
use eyre::{Result, WrapErr, bail, ensure, eyre};
use figment::{
    Figment,
    providers::{Env, Format, Serialized, Toml},
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, net::SocketAddr, path::PathBuf};

/// Largest number of seeds.
const MAX_SEEDS: usize = 4;

/// The settings of a node: only what the node can't learn from other nodes.
///
/// Deprecated names are still accepted: see [`DEPRECATED`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the cluster.
    pub cluster: String,
    /// Name of the node.
    pub node: String,
    /// Zone (failure domain) of the node.
    pub zone: String,
    /// Address on which the node serves RPC for other nodes.
    #[serde(rename = "rpc")]
    pub rpc_addr: SocketAddr,
    /// Address on which the node serves HTTP for clients (router) or operators (control node).
    pub http: SocketAddr,
    /// Address that other nodes are told instead of `rpc`, if they reach this node through a relay.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rpc_advertise: Option<SocketAddr>,
    /// Address that others are told instead of `http`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub http_advertise: Option<SocketAddr>,
    /// RPC addresses of control nodes.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether a control node without data may bootstrap a cluster with the other seeds.
    #[serde(rename = "bootstrap", default = "yes")]
    pub may_bootstrap: bool,
    /// Data folder of a control node.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data: Option<PathBuf>,
    /// Durations.
    #[serde(default)]
    pub timing: Timing,
    /// Memory and descriptors of the process.
    #[serde(default)]
    pub resources: Resources,
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

/// Flags that all daemons share. They override the file and the environment; each program adds its own.
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

/// Whether a variable holds a file's path. A platform may set such variables for its own use, so they are not settings.
fn names_a_file(key: &str) -> bool {
    key.to_ascii_lowercase().ends_with("_file")
}

/// Settings from environment variables.
fn environment() -> Env {
    Env::prefixed("FOLDSHUNT_").filter(|key| !names_a_file(key.as_str())).split("__")
}

/// Allowed log levels.
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

impl Settings {
    /// Reads the file, the environment and the flags; of these, later ones override earlier ones.
    ///
    /// # Errors
    /// A setting is missing, unknown or invalid; the message names it and the allowed values.
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

    /// Checks what the types of the values don't guarantee.
    ///
    /// # Errors
    /// A setting is invalid; the message names it, its value and the allowed values.
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
        for (field, address) in [("rpc", self.advertised_rpc()), ("http", self.advertised_http())] {
            ensure!(
                !address.ip().is_unspecified() && address.port() != 0,
                "{field}: {address}; allowed: an address that others can reach, or one set as {field}_advertise"
            );
        }
        ensure!(
            LOG_LEVELS.contains(&self.log.as_str()),
            "log: {:?}; allowed: {}",
            self.log,
            LOG_LEVELS.join(", ")
        );
        self.resources.check()?;
        self.timing.check()
    }

    /// The RPC address that other nodes are told.
    pub fn advertised_rpc(&self) -> SocketAddr {
        self.rpc_advertise.unwrap_or(self.rpc_addr)
    }

    /// The HTTP address that clients or operators are told.
    pub fn advertised_http(&self) -> SocketAddr {
        self.http_advertise.unwrap_or(self.http)
    }

    /// Binds the RPC and HTTP addresses, and waits for an address that is still in use or not there yet.
    ///
    /// # Errors
    /// An address can't be bound for another reason; the message names it.
    pub async fn bind(&self) -> Result<Listeners> {
        let rpc =
            bind_when_available(self.rpc_addr).await.wrap_err_with(|| format!("rpc: {}", self.rpc_addr))?;
        let http = bind_when_available(self.http).await.wrap_err_with(|| format!("http: {}", self.http))?;
        Ok(Listeners { rpc, http })
    }

    /// This node as an endpoint of RPC connections.
    pub fn local_node(&self) -> LocalNode {
        LocalNode {
            cluster: self.cluster.clone(),
            node: self.node.clone(),
            ip: self.rpc_addr.ip(),
            timeout_ms: self.timing.rpc_timeout_ms,
            max_unidentified_connections: self.resources.unidentified_connections(),
        }
    }
}

/// The listeners of a node.
pub struct Listeners {
    /// RPC, for other nodes.
    pub rpc: Listener,
    /// HTTP, for clients (router) or operators (control node).
    pub http: Listener,
}
