//! A size that does not fit is refused before anything starts.

use super::{ScalePlan, layout::Layout};
use eyre::{Result, ensure};

/// Resident bytes of a world: for the program itself; for each node; for each line, of which each
/// node keeps one to each other, and a starting one opens one for each figure that it asks for; and
/// for each figure of a replica that a node holds. Measured at 12 to 93 nodes, and rounded up.
const BASE: u64 = 32 << 20;
const A_NODE: u64 = 200 << 10;
const A_LINE: u64 = 64 << 10;
const A_FIGURE: u64 = 4 << 10;

/// Real processes that one run may start.
pub const PROCESSES: usize = 199;
const A_PROCESS: u64 = 64 << 20;

pub fn needed(p: &ScalePlan, nodes: usize) -> u64 {
    let lay = Layout::of(p, nodes);
    let (n, keys) = (nodes as u64, (lay.zones * lay.services) as u64);
    BASE + n * A_NODE + n * (n + keys) * A_LINE + n * (lay.replicas as u64 + keys) * A_FIGURE
}

/// The largest size that needs no more than `bytes`; 0 where none does.
pub fn most(p: &ScalePlan, bytes: u64) -> usize {
    (4..=10_000).take_while(|n| needed(p, *n) <= bytes).last().unwrap_or(0)
}

/// Half of the machine's memory holds each of these sizes.
pub fn check(p: &ScalePlan, sizes: &[usize], machine: u64) -> Result<()> {
    let half = machine / 2;
    for n in sizes {
        let need = needed(p, *n);
        ensure!(
            need <= half,
            "--nodes: {n} hollow nodes need some {} MB; allowed: half of this machine's memory, {} MB, which is {} nodes at most",
            need >> 20,
            half >> 20,
            most(p, half)
        );
    }
    Ok(())
}

/// The same for real processes.
pub fn check_real(sizes: &[usize], machine: u64) -> Result<()> {
    let most = PROCESSES.min((machine / 2 / A_PROCESS) as usize);
    for n in sizes {
        ensure!(*n <= most, "--real: {n} processes; allowed: {most} at most on this machine");
    }
    Ok(())
}
