//! Node settings: a file, then the environment, then flags, read by figment (design 1.10).

use crate::{
    ids::is_valid_name,
    log_event,
    rpc::LocalNode,
    runtime::{Listener, bind},
};
use eyre::{Result, WrapErr, bail, ensure, eyre};
use figment::{
    Figment, Metadata, Profile, Provider,
    providers::{Env, Format, Serialized, Toml},
    value::{Dict, Map, Value},
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, net::SocketAddr, path::PathBuf};

/// Most seeds that a node may be told.
const MAX_SEEDS: usize = 4;

/// What a node must be told, and nothing that it can learn.
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
    /// What others are told instead of `rpc`, where a relay stands in between.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rpc_advertise: Option<SocketAddr>,
    /// What others are told instead of `http`.
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

/// Names of earlier releases that are still read, each with the one that took its place.
pub const DEPRECATED: [(&str, &str); 8] = [
    ("area", "zone"),
    ("rail", "rpc"),
    ("rail_advertise", "rpc_advertise"),
    ("founds", "bootstrap"),
    ("timing.tenure_ms", "timing.lease_ms"),
    ("timing.check_ms", "timing.probe_interval_ms"),
    ("timing.check_fails", "timing.probe_failures"),
    ("timing.rail_ms", "timing.rpc_timeout_ms"),
];

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
    /// Length of a lease, in milliseconds.
    pub lease_ms: u64,
    /// Time between two health checks of a replica, in milliseconds.
    pub probe_interval_ms: u64,
    /// Failed health checks in a row after which a replica counts as down.
    pub probe_failures: u32,
    /// Longest wait for a response between nodes, in milliseconds.
    pub rpc_timeout_ms: u64,
    /// Longest drain after SIGTERM, in milliseconds.
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

/// Shortest interval that is derived from another one, in milliseconds.
const MIN_INTERVAL_MS: u64 = 10;

impl Timing {
    /// Time between two renewals of a lease.
    pub fn renew_interval_ms(&self) -> u64 {
        self.lease_ms / 4
    }
    /// Time between two heartbeats of a leader.
    pub fn heartbeat_ms(&self) -> u64 {
        self.lease_ms / 20
    }
    /// Silence of a leader after which a voter stands for election.
    pub fn election_timeout_ms(&self) -> u64 {
        self.lease_ms / 2
    }
    /// Added by the leader before it takes a lease as expired.
    pub fn lease_margin_ms(&self) -> u64 {
        self.lease_ms / 8
    }
    /// Time without a finished sync after which a leader stops counting as one.
    pub fn sync_timeout_ms(&self) -> u64 {
        self.lease_ms / 2
    }
    /// Age at which load reports no longer count.
    pub fn report_max_age_ms(&self) -> u64 {
        self.probe_interval_ms * u64::from(self.probe_failures)
    }
    /// Time between two looks at the load.
    pub fn report_interval_ms(&self) -> u64 {
        (self.probe_interval_ms / 4).max(MIN_INTERVAL_MS)
    }
    /// Time within which the placement table must answer.
    pub fn placement_timeout_ms(&self) -> u64 {
        (self.rpc_timeout_ms / 5).max(MIN_INTERVAL_MS)
    }

    fn check(&self) -> Result<()> {
        let failures = u64::from(self.probe_failures);
        for (field, value, least, most) in [
            ("timing.lease_ms", self.lease_ms, 400, 60_000),
            ("timing.probe_interval_ms", self.probe_interval_ms, 50, 60_000),
            ("timing.probe_failures", failures, 1, 100),
            ("timing.rpc_timeout_ms", self.rpc_timeout_ms, 50, 10_000),
            ("timing.drain_ms", self.drain_ms, 0, 3_600_000),
        ] {
            ensure!((least..=most).contains(&value), "{field}: {value}; allowed: {least} to {most}");
        }
        Ok(())
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

/// A source of settings in which deprecated names are replaced.
struct Renamed<P>(P);

impl<P: Provider> Provider for Renamed<P> {
    fn metadata(&self) -> Metadata {
        self.0.metadata()
    }

    fn data(&self) -> Result<Map<Profile, Dict>, figment::Error> {
        let mut data = self.0.data()?;
        for settings in data.values_mut() {
            for (old, new) in DEPRECATED {
                rename(settings, old, new);
            }
        }
        Ok(data)
    }
}

/// Moves the value of a dotted name to another name with the same parents, unless that has a value.
fn rename(settings: &mut Dict, old: &str, new: &str) {
    match (old.split_once('.'), new.split_once('.')) {
        (Some((parent, old)), Some((_, new))) => {
            if let Some(Value::Dict(_, inner)) = settings.get_mut(parent) {
                rename(inner, old, new);
            }
        }
        _ => {
            if let Some(value) = settings.remove(old) {
                settings.entry(new.into()).or_insert(value);
            }
        }
    }
}

fn environment() -> Env {
    Env::prefixed("FOLDSHUNT_").filter(|key| !names_a_file(key.as_str())).split("__")
}

/// Deprecated names that the settings file, the environment or the arguments use, each with its new name.
pub fn deprecated_names(flags: &Flags, arguments: &[String]) -> Vec<(&'static str, &'static str)> {
    let file = flags.config.iter().fold(Figment::new(), |layers, path| layers.merge(Toml::file_exact(path)));
    let given = file.merge(environment());
    let used = |old: &str| {
        let flag = format!("--{old}");
        given.contains(old) || arguments.iter().any(|a| *a == flag || a.starts_with(&format!("{flag}=")))
    };
    DEPRECATED.into_iter().filter(|(old, _)| used(old)).collect()
}

/// Logs a warning for each deprecated name in use.
pub fn warn_deprecated(flags: &Flags) {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    for (old, new) in deprecated_names(flags, &arguments) {
        log_event!(Warn, "deprecated setting", "name" => old, "use" => new);
    }
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
            ensure!(
                is_valid_name(name),
                "{field}: {name:?}; allowed: 1 to 64 letters, digits, '-', '_' or '.'"
            );
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

    /// The address that other nodes are told.
    pub fn rpc_addr(&self) -> SocketAddr {
        self.rpc_advertise.unwrap_or(self.rpc_addr)
    }

    /// The address that clients or operators are told.
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
    pub fn me(&self) -> LocalNode {
        LocalNode {
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
