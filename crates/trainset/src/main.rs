//! `trainset`: stand-ins, fleets and the simulator (design 7).

use bpaf::Bpaf;
use eyre::{Result, WrapErr, ensure, eyre};
use std::path::PathBuf;
use trainset::{
    audit::audit,
    chaos::plan,
    deployment::{Firm, deployment},
    drive::{Load, ride},
    fault::Fault,
    fleet::Fleet,
    sim::{
        Broken,
        sweep::{sweep, sweep_data},
    },
};

/// Proof of foldshunt on one machine.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Opts {
    /// Starts twelve nodes and their back ends, drives a deployment, and prints the audit
    #[bpaf(command)]
    Fleet {
        /// bitacora or rinaldi
        #[bpaf(argument("FIRM"), fallback(Firm::Bitacora))]
        firm: Firm,
        /// Seconds of traffic
        #[bpaf(argument("N"), fallback(60.0))]
        seconds: f64,
        /// Traffic, as a multiple of the firm's own
        #[bpaf(argument("X"), fallback(1.0))]
        rate: f64,
        /// Seed of the traffic
        #[bpaf(argument("N"), fallback(1))]
        seed: u64,
        /// Seconds to wait before the traffic, for replicas to warm up
        #[bpaf(argument("N"), fallback(11.0))]
        settle: f64,
        /// Second octet of the addresses, 127.NET.x.y
        #[bpaf(argument("NET"), fallback(10))]
        net: u8,
        /// Folder for the nodes' settings, data and logs; a new one must be empty
        #[bpaf(argument("DIR"), fallback("run/fleet".into()))]
        dir: PathBuf,
        /// SECOND:WHAT:WHOM, such as 20:kill:s1; may be given many times
        #[bpaf(long("fault"), argument("FAULT"))]
        faults: Vec<Fault>,
        /// Adds faults drawn by the seed
        chaos: bool,
        /// Region at which all callers without a home arrive
        #[bpaf(argument("REGION"))]
        crowd: Option<String>,
        /// FROM=>TO: changes one piece of the document first; may be given many times
        #[bpaf(argument("FROM=>TO"))]
        replace: Vec<String>,
    },
    /// Runs placement and lending under virtual time over many seeds
    #[bpaf(command("sim-data"))]
    SimData {
        /// First seed
        #[bpaf(argument("N"), fallback(1))]
        from: u64,
        /// How many seeds
        #[bpaf(argument("N"), fallback(200))]
        seeds: u64,
    },
    /// Runs the simulator over many seeds; a violation ends it with the seed and its trace
    #[bpaf(command)]
    Sim {
        /// First seed
        #[bpaf(argument("N"), fallback(1))]
        from: u64,
        /// How many seeds
        #[bpaf(argument("N"), fallback(200))]
        seeds: u64,
        /// Runs a deliberately broken variant, which a check must catch
        #[bpaf(argument("NAME"))]
        broken: Option<Broken>,
    },
}

#[tokio::main]
async fn main() -> std::process::ExitCode {
    gauge::fault::ended(run().await)
}

async fn run() -> Result<()> {
    match opts().run() {
        Opts::Fleet { firm, seconds, rate, seed, settle, net, dir, mut faults, chaos, crowd, replace } => {
            ensure!((1.0..=86_400.0).contains(&seconds), "--seconds: {seconds}; allowed: 1 to 86400");
            ensure!((0.01..=100.0).contains(&rate), "--rate: {rate}; allowed: 0.01 to 100");
            ensure!((0.0..=600.0).contains(&settle), "--settle: {settle}; allowed: 0 to 600");
            ensure!((1..=254).contains(&net), "--net: {net}; allowed: 1 to 254");
            let taken = std::fs::read_dir(&dir).is_ok_and(|mut d| d.next().is_some());
            ensure!(!taken, "--dir: {dir:?} is not empty; allowed: a new or empty folder");
            let mut dep = deployment(firm);
            replace.iter().try_for_each(|r| dep.replace(r)).map_err(|e| eyre!("--replace: {e}"))?;
            let known = crowd.as_ref().is_none_or(|c| dep.regions().contains(&c.as_str()));
            ensure!(known, "--crowd: {crowd:?}; allowed: {}", dep.regions().join(", "));
            let mut f = Fleet::start(dep, &dir, net).await?;
            if chaos {
                faults.extend(plan(seed, seconds, &f.dep));
            }
            let load = Load { secs: seconds, rate, seed, crowd };
            let res = fleet(&mut f, &load, settle, &faults).await;
            f.stop().await;
            res
        }
        Opts::SimData { from, seeds } => {
            ensure!((1..=10_000_000).contains(&seeds), "--seeds: {seeds}; allowed: 1 to 10000000");
            sweep_data(from, seeds)
        }
        Opts::Sim { from, seeds, broken } => {
            ensure!((1..=10_000_000).contains(&seeds), "--seeds: {seeds}; allowed: 1 to 10000000");
            sweep(from, seeds, broken)
        }
    }
}

async fn fleet(f: &mut Fleet, load: &Load, settle: f64, faults: &[Fault]) -> Result<()> {
    f.open().await.wrap_err("opening the fleet")?;
    tokio::time::sleep(std::time::Duration::from_secs_f64(settle)).await;
    let r = ride(f, load, faults).await?;
    let mut a = audit(&r, &f.backs, f.dep.replicas[0].0);
    a.placements = f.by_label("foldshunt_placements_total{").await;
    a.passes = f.by_label("foldshunt_passes_total{").await;
    let goes = f.by_label("foldshunt_goes_total{").await;
    a.extra_goes = goes.get("extra").copied().unwrap_or(0.0);
    a.hops = goes.get("hop").copied().unwrap_or(0.0);
    a.extra_share = a.extra_goes / a.jobs.max(1) as f64;
    let newest = r.acts.iter().rev().find_map(|x| x.text.clone());
    let want = newest.unwrap_or(f.dep.document.clone());
    a.read_back_exact = f.operator().shown().await.map(|s| s == want);
    println!("{}", serde_json::to_string_pretty(&a)?);
    let bad = a.violations();
    ensure!(bad.is_empty(), "what must never happen did: {bad:?}");
    Ok(())
}
