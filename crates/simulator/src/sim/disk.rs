//! A simulated disk that keeps only what was synced (design 7.1).

use super::nodes::check_fits;
use control_plane::{
    consensus::{DurableState, Record},
    types::SizeLimits,
};
use std::collections::VecDeque;

/// How a disk handles writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskCondition {
    /// Writes are synced within a few milliseconds.
    Healthy,
    /// Writes take 100 to 900 ms.
    Slow,
    /// No write completes until the condition changes.
    Stalled,
    /// The next write fails: the disk is full or broken.
    Failing,
    /// Refuses every write; works again later, under the same process.
    Refusing,
}

/// A voter's disk.
#[derive(Debug)]
pub struct SimDisk {
    /// What a restart finds; `None` on a blank disk.
    pub durable: Option<DurableState>,
    /// Writes not yet synced, oldest first, with their tokens.
    pub pending: VecDeque<(u64, Record)>,
    /// How the disk works now.
    pub condition: DiskCondition,
    /// Bytes written to the log file since the last snapshot.
    log_bytes: usize,
    size_limits: SizeLimits,
}

impl SimDisk {
    /// Creates a healthy disk with the given content.
    pub fn new(durable: Option<DurableState>, size_limits: SizeLimits) -> Self {
        Self {
            durable,
            pending: VecDeque::new(),
            condition: DiskCondition::Healthy,
            log_bytes: 0,
            size_limits,
        }
    }

    /// Accepts a record, if it fits into the file that the daemon would write it to.
    pub fn write(&mut self, token: u64, record: Record) -> Result<(), String> {
        match &record {
            Record::DurableState(state) => {
                self.log_bytes = 32;
                check_fits("a snapshot", state, self.size_limits.slot())?;
            }
            log_record => {
                check_fits("a record", log_record, self.size_limits.log.saturating_sub(self.log_bytes))?;
                self.log_bytes += common::wire::encode(log_record).map_or(0, |b| b.len() + 32);
            }
        }
        self.pending.push_back((token, record));
        Ok(())
    }

    /// Syncs the oldest pending write, and returns its token.
    pub fn sync_one(&mut self) -> Option<u64> {
        let (token, record) = self.pending.pop_front()?;
        self.apply(record);
        Some(token)
    }

    fn apply(&mut self, record: Record) {
        match (&mut self.durable, record) {
            (durable, Record::DurableState(state)) => *durable = Some(*state),
            (Some(durable), record) => durable.replay(record),
            (None, _) => {}
        }
    }

    /// Power is lost: the first `n` pending writes had reached the disk. The next one is torn, so a start cuts it off.
    pub fn crash(&mut self, n: usize) {
        let reached: Vec<Record> = self.pending.drain(..).take(n).map(|p| p.1).collect();
        reached.into_iter().for_each(|r| self.apply(r));
        // A start writes a snapshot, which empties the log file.
        self.log_bytes = 0;
        self.condition = DiskCondition::Healthy;
    }

    /// A write is refused while the process goes on: the first `n` pending writes reached the disk all the same.
    pub fn refuse(&mut self, n: usize) {
        let condition = self.condition;
        self.crash(n);
        self.condition = condition;
    }

    /// Loses all content.
    pub fn wipe(&mut self) {
        self.durable = None;
        self.pending.clear();
        self.condition = DiskCondition::Healthy;
    }
}
