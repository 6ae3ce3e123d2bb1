//! Whole fleets under virtual time (design 7.2): the daemons' own code, by seed.

use crate::{
    audit::Audit,
    chaos::draw_faults,
    deployment::{Firm, deployment},
    fault::Fault,
    fleet::Fleet,
    run::run,
    traffic::Load,
};
use common::runtime::Simulation;
use eyre::{Result, bail};
use std::{
    str::FromStr,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

/// Deliberately broken variants of the daemons, each with the check that must catch it.
pub const BROKEN_VARIANTS: &[(&str, &str)] = &[
    ("once-goes-again", "doubled"),
    ("unknown-called-bounced", "bounced, yet run"),
    ("cut-looks-whole", "garbled"),
    ("departed-still-used", "late in an evacuated area"),
    ("no-homes", "misrouted"),
    ("boundless-goes", "extra goes over a fifth"),
    ("cold-is-warm", "cold replica over its allowance"),
    ("narrows-unheard", "governed late"),
    ("no-drain", "dropped in planned work"),
    ("no-retry-after", "bounced without Retry-After"),
];

#[derive(Clone, Debug)]
pub struct BrokenVariant(pub &'static str);

impl FromStr for BrokenVariant {
    type Err = String;
    fn from_str(s: &str) -> Result<Self, String> {
        BROKEN_VARIANTS.iter().find(|v| v.0 == s).map(|v| BrokenVariant(v.0)).ok_or_else(|| {
            let all: Vec<&str> = BROKEN_VARIANTS.iter().map(|v| v.0).collect();
            format!("{s:?}; allowed: {}", all.join(", "))
        })
    }
}

#[derive(Clone, Debug)]
pub struct WorldPlan {
    pub firm: Option<Firm>,
    pub seconds: f64,
    pub rate: f64,
    pub faults: Vec<Fault>,
    pub calm: bool,
    pub broken: Option<BrokenVariant>,
}

/// One run from one seed. The same seed gives the same run again.
pub fn run_seed(p: &WorldPlan, seed: u64) -> Result<Audit> {
    let both = if seed.is_multiple_of(2) { Firm::Rinaldi } else { Firm::Bitacora };
    let deployment = deployment(p.firm.unwrap_or(both));
    let mut faults = p.faults.clone();
    if !p.calm {
        faults.extend(draw_faults(seed, p.seconds, &deployment, true));
    }
    let load = Load { secs: p.seconds, rate: p.rate, seed, crowd: None };
    let broken = p.broken.as_ref().map(|b| b.0.to_string());
    Simulation::run(seed, broken, |w| async move {
        let mut f = Fleet::start_simulated(w, deployment).await?;
        let res = run(&mut f, &load, 11.0, &faults).await;
        f.stop().await;
        res
    })
}

/// Seed, what was violated, and what had happened.
type Finding = (u64, String, Vec<String>);

/// Runs many seeds on all cores; the first violation ends it, with its seed and what happened.
pub fn sweep_worlds(p: &WorldPlan, from: u64, seeds: u64, verbose: bool, all: bool) -> Result<()> {
    let (next, stop) = (AtomicU64::new(from), AtomicBool::new(false));
    let (sum, found) = (Mutex::new(Vec::new()), Mutex::new(Vec::new()));
    let cores = std::thread::available_parallelism().map(|n| n.get()).unwrap_or(2);
    std::thread::scope(|s| {
        for _ in 0..cores {
            s.spawn(|| {
                while !stop.load(Ordering::Acquire) {
                    let seed = next.fetch_add(1, Ordering::AcqRel);
                    if seed >= from + seeds {
                        return;
                    }
                    let res = run_seed(p, seed);
                    if verbose && let Ok(a) = &res {
                        println!("seed {seed}: {}", serde_json::to_string_pretty(a).unwrap_or_default());
                    }
                    match res {
                        Ok(a) if a.violations().is_empty() => {
                            common::lock(&sum).push(a);
                        }
                        Ok(a) => {
                            stop.store(!all, Ordering::Release);
                            let what = format!("{:?}", a.violations());
                            let trace = [a.actions.clone(), a.examples.clone()].concat();
                            common::lock(&found).push((seed, what, trace));
                        }
                        Err(e) => {
                            stop.store(!all, Ordering::Release);
                            let what = format!("{e:#}");
                            common::lock(&found).push((seed, what, vec![]));
                        }
                    }
                }
            });
        }
    });
    let completed = sum.into_inner().unwrap_or_else(|e| e.into_inner());
    println!("{}", summary(&completed));
    let mut found: Vec<Finding> = found.into_inner().unwrap_or_else(|e| e.into_inner());
    found.sort();
    if all && found.len() > 1 {
        found.iter().for_each(|(seed, what, _)| println!("seed {seed}: {what}"));
        println!("{} of {seeds} seeds with a violation", found.len());
    }
    match found.into_iter().next() {
        Some((seed, what, trace)) => {
            let trace = trace.join("\n  ");
            bail!(
                "violation\nseed {seed}: {what}\n  {trace}\nreplay: the same command with --from {seed} --seeds 1"
            )
        }
        None => Ok(()),
    }
}

fn summary(all: &[Audit]) -> String {
    let sum = |f: &dyn Fn(&Audit) -> usize| all.iter().map(f).sum::<usize>();
    let most = |f: &dyn Fn(&Audit) -> u128| all.iter().map(f).max().unwrap_or(0);
    let extra: f64 = all.iter().map(|a| a.retry_ratio).sum();
    format!(
        "{} whole runs: {} jobs, {} done, {} bounced, {} unknown, {} broken, {} not asked; extra goes {:.3} % (most in a run {:.2} %); \
         longest gap {} ms, slowest bounce {} ms",
        all.len(),
        sum(&|a| a.jobs),
        sum(&|a| a.done),
        sum(&|a| a.rejected),
        sum(&|a| a.unknown),
        sum(&|a| a.broken),
        sum(&|a| a.not_asked),
        100.0 * extra / sum(&|a| a.jobs).max(1) as f64,
        all.iter().map(|a| 100.0 * a.extra_share).fold(0.0, f64::max),
        most(&|a| a.longest_gap_ms.values().copied().max().unwrap_or(0)),
        most(&|a| a.slowest_bounce_ms),
    )
}
