//! What processes cost, as the machine counts it: processor time and resident memory.

use nix::time::{ClockId, clock_gettime};
use std::fs::read_to_string;

/// Processor milliseconds of this thread.
pub fn thread_ms() -> f64 {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map_or(0.0, |t| t.tv_sec() as f64 * 1e3 + t.tv_nsec() as f64 / 1e6)
}

/// Processor milliseconds of a process; the kernel counts in hundredths of a second.
pub fn process_ms(pid: u32) -> Option<f64> {
    let stat = read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let rest = stat.rsplit_once(')')?.1;
    let f: Vec<&str> = rest.split_whitespace().collect();
    let ticks = f.get(11)?.parse::<f64>().ok()? + f.get(12)?.parse::<f64>().ok()?;
    Some(ticks * 10.0)
}

/// Bytes of a row of `/proc`, which counts in kB.
fn row(path: &str, name: &str) -> Option<u64> {
    let text = read_to_string(path).ok()?;
    let line = text.lines().find_map(|l| l.strip_prefix(name))?;
    Some(line.trim_start_matches(':').trim().trim_end_matches(" kB").parse::<u64>().ok()? << 10)
}

/// Resident bytes of a process.
pub fn resident(pid: u32) -> Option<u64> {
    row(&format!("/proc/{pid}/status"), "VmRSS")
}

pub fn machine_memory() -> Option<u64> {
    row("/proc/meminfo", "MemTotal")
}
