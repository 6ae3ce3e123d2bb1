//! Runs many seeds, on all cores (design 7.1).

use super::{Broken, Stats, Violation, data_world::DataWorld, run_with_refusals, run_with_voters};
use eyre::{Result, bail};
use std::sync::{
    Mutex,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

/// Totals of all runs.
#[derive(Default)]
struct Totals {
    runs: u64,
    stats: Stats,
    recovery_ms: Vec<u64>,
}

/// Runs `seeds` seeds beginning with `from`, and prints their totals. Fails with the trace of a violation, if one
/// is found.
pub fn sweep(from: u64, seeds: u64, voters: usize, broken: Option<Broken>, refusals: bool) -> Result<()> {
    let (next, stop) = (AtomicU64::new(from), AtomicBool::new(false));
    let (sum, found) = (Mutex::new(Totals::default()), Mutex::new(None::<Violation>));
    let threads = std::thread::available_parallelism().map(|n| n.get()).unwrap_or(2);
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while !stop.load(Ordering::Acquire) {
                    let seed = next.fetch_add(1, Ordering::AcqRel);
                    if seed >= from + seeds {
                        return;
                    }
                    let run = if refusals { run_with_refusals } else { run_with_voters };
                    match run(seed, broken, voters) {
                        Ok(stats) => add(&mut sum.lock().unwrap_or_else(|e| e.into_inner()), &stats),
                        Err(violation) => {
                            stop.store(true, Ordering::Release);
                            let mut first = found.lock().unwrap_or_else(|e| e.into_inner());
                            let earlier = first.as_ref().is_none_or(|other| violation.at_ms < other.at_ms);
                            if earlier {
                                *first = Some(violation);
                            }
                        }
                    }
                }
            });
        }
    });
    let sum = sum.into_inner().unwrap_or_else(|e| e.into_inner());
    println!("{}", summary(from, sum));
    match found.into_inner().unwrap_or_else(|e| e.into_inner()) {
        Some(violation) => {
            let kind = if refusals { " --refusals" } else { "" };
            bail!(
                "violation\n{violation}replay: simulator sim{kind} --voters {voters} --from {} --seeds 1",
                violation.seed
            )
        }
        None => Ok(()),
    }
}

fn add(totals: &mut Totals, run: &Stats) {
    totals.runs += 1;
    totals.recovery_ms.push(run.recovery_ms);
    let sum = &mut totals.stats;
    sum.steps += run.steps;
    sum.accepted += run.accepted;
    sum.reported_accepted += run.reported_accepted;
    sum.reported_conflict += run.reported_conflict;
    sum.reported_refused += run.reported_refused;
    sum.undetermined += run.undetermined;
    sum.terms += run.terms;
    sum.faults += run.faults;
    sum.readmitted += run.readmitted;
    sum.expirations += run.expirations;
}

fn summary(from: u64, mut totals: Totals) -> String {
    totals.recovery_ms.sort();
    let percentile = |percent: usize| {
        totals
            .recovery_ms
            .get(totals.recovery_ms.len().saturating_sub(1) * percent / 100)
            .copied()
            .unwrap_or(0)
    };
    let stats = &totals.stats;
    format!(
        "seeds {from} to {}: {} completed runs, {} steps, {} faults, {} terms, {} accepted; \
         reported to operators: {} accepted, {} conflict, {} refused, {} undetermined; \
         {} readmissions, {} expirations; recovery after the faults: \
         median {} ms, p99 {} ms, maximum {} ms (virtual)",
        from + totals.runs.saturating_sub(1),
        totals.runs,
        stats.steps,
        stats.faults,
        stats.terms,
        stats.accepted,
        stats.reported_accepted,
        stats.reported_conflict,
        stats.reported_refused,
        stats.undetermined,
        stats.readmitted,
        stats.expirations,
        percentile(50),
        percentile(99),
        percentile(100),
    )
}

/// Runs placement and capacity grants over many seeds, and prints the totals.
pub fn sweep_data(from: u64, seeds: u64) -> Result<()> {
    let (mut resolved, mut redeemed) = (0, 0);
    for seed in from..from + seeds {
        let mut world = DataWorld::new(seed, None);
        if let Err(violation) = world.run() {
            bail!("violation\n{violation}replay: simulator sim-data --from {} --seeds 1", violation.seed);
        }
        resolved += world.resolved;
        redeemed += world.redeemed;
    }
    println!(
        "seeds {from} to {}: {resolved} placements resolved, {redeemed} grants redeemed",
        from + seeds - 1
    );
    Ok(())
}
