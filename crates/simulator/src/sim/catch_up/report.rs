//! Prints the measurements as a table (see docs/control/catch-up.md).

use super::{Absence, BrokenCatchUp, CATCH_UP_LIMIT_MS, Case, Documents, Measured, measure};
use bpaf::Bpaf;
use eyre::{Result, bail, eyre};

/// One-way delays of the links.
const DELAYS_MS: [u64; 3] = [1, 35, 150];
/// Numbers of changes that the member misses.
const CHANGES: [u64; 3] = [50, 500, 5_000];

/// Which cases to measure.
#[derive(Clone, Debug, Bpaf)]
pub struct CatchUpPlan {
    /// Seeds of each row, of which the worst figures are printed
    #[bpaf(argument("N"), fallback(3))]
    pub seeds: u64,
    /// Bandwidth of each link, in Mbit/s
    #[bpaf(argument("N"), fallback(1_000))]
    pub mbit: u64,
    /// Measures only the rows with this many changes
    #[bpaf(argument("N"))]
    pub changes: Option<u64>,
    /// Runs a deliberately broken variant, which a check must catch
    #[bpaf(argument("NAME"))]
    pub broken: Option<BrokenCatchUp>,
}

/// Prints a row for each case. Fails if a run breaks an invariant.
pub fn print_table(plan: &CatchUpPlan) -> Result<()> {
    println!(
        "| return | changes | documents | delay ms | going on | ms | level ms | KiB sent | KiB needed | snapshots | longest KiB | log kept KiB |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    let mut over_limit = 0;
    for case in cases(plan) {
        let worst = worst(&case, plan)?;
        over_limit += u64::from(worst.catch_up_ms > CATCH_UP_LIMIT_MS);
        println!("{}", row(&case, &worst));
    }
    println!("rows over {CATCH_UP_LIMIT_MS} ms: {over_limit}");
    Ok(())
}

fn worst(case: &Case, plan: &CatchUpPlan) -> Result<Measured> {
    let mut worst = Measured::default();
    let handles: Vec<_> = (0..plan.seeds)
        .map(|seed| (Case { seed, ..*case }, plan.broken))
        .map(|(case, broken)| std::thread::spawn(move || measure(&case, broken).map_err(|e| (case, e))))
        .collect();
    for handle in handles {
        match handle.join().map_err(|_| eyre!("a run panicked"))? {
            Ok(measured) => worst = worst.worst(measured),
            Err((case, e)) => bail!("{case:?}: {e}"),
        }
    }
    Ok(worst)
}

fn cases(plan: &CatchUpPlan) -> Vec<Case> {
    let mut cases = Vec::new();
    for absence in [Absence::Restart, Absence::Wipe, Absence::Lag] {
        for changes in CHANGES.into_iter().filter(|c| plan.changes.is_none_or(|only| only == *c)) {
            for documents in [Documents::Small, Documents::Growing] {
                for delay_ms in DELAYS_MS {
                    for ongoing in [false, true] {
                        let mbit_s = plan.mbit;
                        cases.push(Case { absence, changes, documents, delay_ms, mbit_s, ongoing, seed: 0 });
                    }
                }
            }
        }
    }
    cases
}

fn row(case: &Case, measured: &Measured) -> String {
    let kib = |bytes: usize| bytes.div_ceil(1024);
    format!(
        "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        case.absence,
        case.changes,
        case.documents,
        case.delay_ms,
        if case.ongoing { "yes" } else { "no" },
        measured.catch_up_ms,
        measured.level_ms,
        kib(measured.sent_bytes),
        kib(measured.needed_bytes),
        measured.snapshots,
        kib(measured.longest_message_bytes),
        kib(measured.log_bytes),
    )
}
