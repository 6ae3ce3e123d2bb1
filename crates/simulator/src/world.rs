//! Runs whole fleets, with the daemons' own code, under virtual time and seeded faults (design 7.2).

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
    ("unknown-called-bounced", "rejected, yet run"),
    ("cut-looks-whole", "garbled"),
    ("departed-still-used", "late run in an evacuated zone"),
    ("no-homes", "misrouted"),
    ("boundless-goes", "retries over a fifth of requests"),
    ("cold-is-warm", "cold replica over its allowance"),
    ("narrows-unheard", "older document used late"),
    ("no-drain", "dropped in planned work"),
    ("no-retry-after", "rejected without Retry-After"),
];

/// Name of a deliberately broken variant.
#[derive(Clone, Debug)]
pub struct BrokenVariant(pub &'static str);

impl FromStr for BrokenVariant {
    type Err = String;
    fn from_str(name: &str) -> Result<Self, String> {
        BROKEN_VARIANTS.iter().find(|v| v.0 == name).map(|v| BrokenVariant(v.0)).ok_or_else(|| {
            let all: Vec<&str> = BROKEN_VARIANTS.iter().map(|v| v.0).collect();
            format!("{name:?}; allowed: {}", all.join(", "))
        })
    }
}

/// What the runs of a sweep have in common.
#[derive(Clone, Debug)]
pub struct WorldPlan {
    /// The deployment; `None` alternates between both by seed.
    pub firm: Option<Firm>,
    /// Seconds of traffic.
    pub seconds: f64,
    /// Traffic, as a multiple of the deployment's own.
    pub rate: f64,
    /// Faults besides those drawn by the seed.
    pub faults: Vec<Fault>,
    /// Whether the seed draws no faults.
    pub calm: bool,
    /// The broken variant to run.
    pub broken: Option<BrokenVariant>,
}

/// Runs one seed. The same seed gives the same run again.
pub fn run_seed(plan: &WorldPlan, seed: u64) -> Result<Audit> {
    let alternating = if seed.is_multiple_of(2) { Firm::Rinaldi } else { Firm::Bitacora };
    let deployment = deployment(plan.firm.unwrap_or(alternating));
    let mut faults = plan.faults.clone();
    if !plan.calm {
        faults.extend(draw_faults(seed, plan.seconds, &deployment, true));
    }
    let load = Load { seconds: plan.seconds, rate: plan.rate, seed, crowd: None };
    let broken = plan.broken.as_ref().map(|b| b.0.to_string());
    Simulation::run(seed, broken, |simulation| async move {
        let mut fleet = Fleet::start_simulated(simulation, deployment).await?;
        let result = run(&mut fleet, &load, 11.0, &faults).await;
        fleet.stop().await;
        result
    })
}

/// A seed, its violations, and the faults and examples of its run.
type Finding = (u64, String, Vec<String>);

/// Runs many seeds on all cores. Stops at the first violation unless `all` is set, and returns it as an error with
/// its seed and trace.
pub fn sweep_worlds(plan: &WorldPlan, from: u64, seeds: u64, verbose: bool, all: bool) -> Result<()> {
    let (next, stop) = (AtomicU64::new(from), AtomicBool::new(false));
    let (completed_runs, findings) = (Mutex::new(Vec::new()), Mutex::new(Vec::new()));
    let cores = std::thread::available_parallelism().map(|n| n.get()).unwrap_or(2);
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| {
                while !stop.load(Ordering::Acquire) {
                    let seed = next.fetch_add(1, Ordering::AcqRel);
                    if seed >= from + seeds {
                        return;
                    }
                    let result = run_seed(plan, seed);
                    if verbose && let Ok(audit) = &result {
                        println!("seed {seed}: {}", serde_json::to_string_pretty(audit).unwrap_or_default());
                    }
                    match result {
                        Ok(audit) if audit.violations().is_empty() => {
                            common::lock(&completed_runs).push(audit);
                        }
                        Ok(audit) => {
                            stop.store(!all, Ordering::Release);
                            let problem = format!("{:?}", audit.violations());
                            let trace = [audit.actions.clone(), audit.examples.clone()].concat();
                            common::lock(&findings).push((seed, problem, trace));
                        }
                        Err(e) => {
                            stop.store(!all, Ordering::Release);
                            let problem = format!("{e:#}");
                            common::lock(&findings).push((seed, problem, vec![]));
                        }
                    }
                }
            });
        }
    });
    let completed = completed_runs.into_inner().unwrap_or_else(|e| e.into_inner());
    println!("{}", summary(&completed));
    let mut findings: Vec<Finding> = findings.into_inner().unwrap_or_else(|e| e.into_inner());
    findings.sort();
    if all && findings.len() > 1 {
        findings.iter().for_each(|(seed, problem, _)| println!("seed {seed}: {problem}"));
        println!("{} of {seeds} seeds with a violation", findings.len());
    }
    match findings.into_iter().next() {
        Some((seed, problem, trace)) => {
            let trace = trace.join("\n  ");
            bail!(
                "violation\nseed {seed}: {problem}\n  {trace}\nreplay: the same command with --from {seed} --seeds 1"
            )
        }
        None => Ok(()),
    }
}

/// Totals over all runs without a violation.
fn summary(audits: &[Audit]) -> String {
    let total = |count: &dyn Fn(&Audit) -> usize| audits.iter().map(count).sum::<usize>();
    let most = |count: &dyn Fn(&Audit) -> u128| audits.iter().map(count).max().unwrap_or(0);
    let retries: f64 = audits.iter().map(|audit| audit.retries).sum();
    format!(
        "{} runs without violation: {} requests, {} done, {} rejected, {} unknown, {} broken, {} not sent; retries {:.3} % (most in a run {:.2} %); \
         longest gap {} ms, slowest rejection {} ms",
        audits.len(),
        total(&|audit| audit.requests),
        total(&|audit| audit.done),
        total(&|audit| audit.rejected),
        total(&|audit| audit.unknown),
        total(&|audit| audit.broken),
        total(&|audit| audit.not_sent),
        100.0 * retries / total(&|audit| audit.requests).max(1) as f64,
        audits.iter().map(|audit| 100.0 * audit.retry_ratio).fold(0.0, f64::max),
        most(&|audit| audit.longest_gap_ms.values().copied().max().unwrap_or(0)),
        most(&|audit| audit.slowest_rejection_ms),
    )
}
