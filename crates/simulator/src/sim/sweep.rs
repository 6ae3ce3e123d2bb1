//! A sweep over many seeds, on all cores (design 7.1).

use super::{Days, Plan, Stats, Violation, data::Data};
use eyre::{Result, bail};
use std::sync::{
    Mutex,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

#[derive(Default)]
struct Sum {
    runs: u64,
    all: Stats,
    back: Vec<u64>,
}

/// Runs so many seeds of a plan, from its own on.
pub fn sweep(plan: Plan, seeds: u64) -> Result<()> {
    let (from, seats) = (plan.seed, plan.seats);
    let (next, stop) = (AtomicU64::new(from), AtomicBool::new(false));
    let (sum, found) = (Mutex::new(Sum::default()), Mutex::new(None::<Violation>));
    let cores = std::thread::available_parallelism().map(|n| n.get()).unwrap_or(2);
    std::thread::scope(|s| {
        for _ in 0..cores {
            s.spawn(|| {
                while !stop.load(Ordering::Acquire) {
                    let seed = next.fetch_add(1, Ordering::AcqRel);
                    if seed >= from + seeds {
                        return;
                    }
                    match (Plan { seed, ..plan }).run() {
                        Ok(st) => add(&mut sum.lock().unwrap_or_else(|e| e.into_inner()), &st),
                        Err(v) => {
                            stop.store(true, Ordering::Release);
                            let mut g = found.lock().unwrap_or_else(|e| e.into_inner());
                            let shorter = g.as_ref().is_none_or(|o| v.at_ms < o.at_ms);
                            if shorter {
                                *g = Some(v);
                            }
                        }
                    }
                }
            });
        }
    });
    let sum = sum.into_inner().unwrap_or_else(|e| e.into_inner());
    println!("{}", told(from, sum));
    match found.into_inner().unwrap_or_else(|e| e.into_inner()) {
        Some(v) => {
            let worst = if plan.days == Days::Worst { " --worst" } else { "" };
            bail!("violation\n{v}replay: simulator sim{worst} --seats {seats} --from {} --seeds 1", v.seed)
        }
        None => Ok(()),
    }
}

fn add(s: &mut Sum, st: &Stats) {
    s.runs += 1;
    s.back.push(st.back_ms);
    let a = &mut s.all;
    a.steps += st.steps;
    a.accepted += st.accepted;
    a.told_accepted += st.told_accepted;
    a.told_conflict += st.told_conflict;
    a.told_refused += st.told_refused;
    a.undetermined += st.undetermined;
    a.views += st.views;
    a.faults += st.faults;
    a.readmitted += st.readmitted;
    a.lapses += st.lapses;
}

fn told(from: u64, mut s: Sum) -> String {
    s.back.sort();
    let at = |p: usize| s.back.get(s.back.len().saturating_sub(1) * p / 100).copied().unwrap_or(0);
    let a = &s.all;
    format!(
        "seeds {from} to {}: {} whole runs, {} steps, {} faults, {} views, {} accepted, operators told: {} accepted, \
         {} conflict, {} refused, {} undetermined; {} readmissions, {} lapses; back after the faults: median {} ms, \
         p99 {} ms, most {} ms (virtual)",
        from + s.runs.saturating_sub(1),
        s.runs,
        a.steps,
        a.faults,
        a.views,
        a.accepted,
        a.told_accepted,
        a.told_conflict,
        a.told_refused,
        a.undetermined,
        a.readmitted,
        a.lapses,
        at(50),
        at(99),
        at(100),
    )
}

/// The same for placement and lending.
pub fn sweep_data(from: u64, seeds: u64) -> Result<()> {
    let (mut settled, mut redeemed) = (0, 0);
    for seed in from..from + seeds {
        let mut d = Data::new(seed, None);
        if let Err(v) = d.run() {
            bail!("violation\n{v}replay: simulator sim-data --from {} --seeds 1", v.seed);
        }
        settled += d.settled;
        redeemed += d.redeemed;
    }
    println!(
        "seeds {from} to {}: {settled} placements settled, {redeemed} passes redeemed",
        from + seeds - 1
    );
    Ok(())
}
