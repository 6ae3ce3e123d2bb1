//! A disk that only keeps what was synced (design 7.1).

use super::nodes::fits;
use control_plane::{
    consensus::{DurableState, Record},
    types::SizeLimits,
};
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskCondition {
    Healthy,
    Slow,
    Stalled,
    /// The next write fails: the disk is full or broken.
    Failing,
    /// Refuses every write, and works again later under the same process.
    Refusing,
}

#[derive(Debug)]
pub struct SimDisk {
    /// What a restart would find; nothing on a blank disk.
    pub durable: Option<DurableState>,
    pub pending: VecDeque<(u64, Record)>,
    pub condition: DiskCondition,
    /// Bytes in the short log.
    used: usize,
    room: SizeLimits,
}

impl SimDisk {
    pub fn new(image: Option<DurableState>, room: SizeLimits) -> Self {
        Self { durable: image, pending: VecDeque::new(), condition: DiskCondition::Healthy, used: 0, room }
    }

    /// Takes a record, if it fits where the files of the daemon would have to put it.
    pub fn write(&mut self, token: u64, record: Record) -> Result<(), String> {
        match &record {
            Record::DurableState(i) => {
                self.used = 32;
                fits("a slot", i, self.room.slot())?;
            }
            r => {
                fits("a record", r, self.room.log.saturating_sub(self.used))?;
                self.used += common::wire::encode(r).map_or(0, |b| b.len() + 32);
            }
        }
        self.pending.push_back((token, record));
        Ok(())
    }

    /// The oldest write is synced; its token.
    pub fn sync_one(&mut self) -> Option<u64> {
        let (token, record) = self.pending.pop_front()?;
        self.keep(record);
        Some(token)
    }

    fn keep(&mut self, record: Record) {
        match (&mut self.durable, record) {
            (k, Record::DurableState(i)) => *k = Some(*i),
            (Some(k), r) => k.replay(r),
            (None, _) => {}
        }
    }

    /// Power is lost: of what was not synced yet, `n` writes had reached the disk; the next
    /// one is torn, and so cut.
    pub fn crash(&mut self, n: usize) {
        let reached: Vec<Record> = self.pending.drain(..).take(n).map(|p| p.1).collect();
        reached.into_iter().for_each(|r| self.keep(r));
        // A start writes a slot of its own.
        self.used = 0;
        self.condition = DiskCondition::Healthy;
    }

    /// A write was refused under a process that goes on: of what was under way the first `n` reached
    /// the disk all the same.
    pub fn refuse(&mut self, n: usize) {
        let condition = self.condition;
        self.crash(n);
        self.condition = condition;
    }

    pub fn wipe(&mut self) {
        self.durable = None;
        self.pending.clear();
        self.condition = DiskCondition::Healthy;
    }
}
