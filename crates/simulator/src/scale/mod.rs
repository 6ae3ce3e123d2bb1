//! Scale runs (design 7.7): what each role holds, sends and spends at growing sizes. Hollow nodes
//! share one thread under virtual time; a few real processes calibrate processor time and memory.

pub mod bound;
pub mod hollow;
pub mod layout;
pub mod real;
pub mod rows;
pub mod run;
pub mod times;
pub mod usage;

use bpaf::Bpaf;
use eyre::{Result, ensure, eyre};
use std::path::Path;

/// Deliberately broken variants, each with the growth that must show it.
pub const GROWTH_VARIANTS: &[(&str, &str)] =
    &[("hails-squared", "messages a node"), ("hears-by-pair", "state a node")];

/// Counts at the full size; smaller sizes get their part.
#[derive(Clone, Debug, Bpaf)]
pub struct ScalePlan {
    /// Nodes at the full size, for which the counts below stand; smaller sizes get their part
    #[bpaf(argument("N"), fallback(370))]
    pub full: usize,
    /// Replicas at the full size
    #[bpaf(argument("N"), fallback(1_800))]
    pub replicas: usize,
    /// Regions at the full size
    #[bpaf(argument("N"), fallback(21))]
    pub regions: usize,
    /// Zones at the full size
    #[bpaf(argument("N"), fallback(62))]
    pub zones: usize,
    /// Services at each size
    #[bpaf(argument("N"), fallback(6))]
    pub services: usize,
    /// Tenants at the full size
    #[bpaf(argument("N"), fallback(770))]
    pub tenants: usize,
    /// Requests a second at the full size; they are placed and not carried
    #[bpaf(argument("X"), fallback(2_800.0))]
    pub requests: f64,
    /// Changes of configuration an hour in the span that measures them
    #[bpaf(argument("X"), fallback(1_800.0))]
    pub changes: f64,
    /// Seconds of each of the two measured spans: without changes, and with them
    #[bpaf(argument("X"), fallback(10.0))]
    pub seconds: f64,
    /// Loses no node, zone or region afterwards
    pub calm: bool,
    /// Seed
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Second octet of the addresses, 127.NET.x.y
    #[bpaf(argument("NET"), fallback(30))]
    pub net: u8,
    #[bpaf(pure(None))]
    pub broken: Option<String>,
}

impl ScalePlan {
    pub fn check(&self) -> Result<()> {
        for (f, v, lo, hi) in [
            ("--full", self.full, 4, 10_000),
            ("--replicas", self.replicas, 1, 9_000),
            ("--regions", self.regions, 2, 1_000),
            ("--zones", self.zones, layout::VOTERS, 1_000),
            ("--services", self.services, 1, 100),
            ("--tenants", self.tenants, 1, 10_000),
            ("--net", self.net.into(), 1, 254),
        ] {
            ensure!((lo..=hi).contains(&v), "{f}: {v}; allowed: {lo} to {hi}");
        }
        for (f, v, lo, hi) in [
            ("--requests", self.requests, 0.0, 100_000.0),
            ("--changes", self.changes, 1.0, 36_000.0),
            ("--seconds", self.seconds, 1.0, 3_600.0),
        ] {
            ensure!((lo..=hi).contains(&v), "{f}: {v}; allowed: {lo} to {hi}");
        }
        Ok(())
    }
}

/// Sizes as written: `12,24,48`.
#[derive(Clone, Debug)]
pub struct Sizes(pub Vec<usize>);

impl std::str::FromStr for Sizes {
    type Err = String;
    fn from_str(s: &str) -> Result<Self, String> {
        let all: Result<Vec<usize>, _> = s.split(',').map(|n| n.trim().parse::<usize>()).collect();
        match all {
            Ok(v) if v.iter().all(|n| (4..=10_000).contains(n)) => Ok(Sizes(v)),
            _ => Err(format!("{s:?}; allowed: node counts of 4 to 10000, such as 12,24,48")),
        }
    }
}

/// Runs the sizes in turn, hollow or real, and prints a JSON line for each row.
pub async fn sweep(p: ScalePlan, sizes: Sizes, real: bool, dir: &Path) -> Result<()> {
    p.check()?;
    let machine = usage::machine_memory().ok_or_else(|| eyre!("/proc/meminfo tells no memory"))?;
    if !real {
        bound::check(&p, &sizes.0, machine)?;
        return tokio::task::spawn_blocking(move || {
            for n in &sizes.0 {
                println!("{}", serde_json::to_string(&run::one(&p, *n)?)?);
            }
            Ok(())
        })
        .await?;
    }
    bound::check_real(&sizes.0, machine)?;
    let taken = std::fs::read_dir(dir).is_ok_and(|mut d| d.next().is_some());
    ensure!(!taken, "--dir: {dir:?} is not empty; allowed: a new or empty folder");
    for n in &sizes.0 {
        for row in real::real(&p, *n, &dir.join(n.to_string())).await? {
            println!("{}", serde_json::to_string(&row)?);
        }
    }
    Ok(())
}
