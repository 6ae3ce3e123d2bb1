//! What a real process uses of its machine.

use std::fs;

/// Memory and descriptors of a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    /// Its peak of resident memory, in KB.
    pub peak_memory_kb: usize,
    /// Its open descriptors.
    pub open_files: usize,
}

impl ProcessUsage {
    /// Of a process that runs; `None` if it has ended.
    pub fn of(pid: u32) -> Option<Self> {
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let peak_memory_kb = peak.trim().trim_end_matches(" kB").parse().ok()?;
        let open_files = fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count();
        Some(Self { peak_memory_kb, open_files })
    }
}
