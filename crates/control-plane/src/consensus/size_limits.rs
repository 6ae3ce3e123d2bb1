//! What fits (design 2.8): whatever is accepted for logging fits the short log, the slot and the
//! wire, in every interleaving. All bounds are ratios to the length of the short log.

use super::{LogEntry, Voter};
use crate::{
    change::{ApplyOutcome, Change, ReplicaMove, VoterInfo},
    cluster_state::ClusterState,
    document::Document,
};
use common::Index;

/// Longest name in a change.
const NAME: usize = 64;

#[derive(Clone, Copy, Debug)]
pub struct SizeLimits {
    pub log: usize,
}

impl Default for SizeLimits {
    fn default() -> Self {
        Self { log: crate::store::LOG_LEN as usize }
    }
}

impl SizeLimits {
    /// The longest document, packed.
    pub fn doc(&self) -> usize {
        self.log / 2
    }
    /// Most that one record, one feed or one answer carries of entries; also the bound on what is
    /// logged and not yet accepted, and on the accepted entries that are kept.
    pub fn batch(&self) -> usize {
        self.log / 8 * 5
    }
    /// Log bytes after which a new slot is written: one more batch still fits behind them.
    pub fn slot_after(&self) -> usize {
        self.log / 4
    }
    pub fn slot(&self) -> usize {
        self.log * 2
    }
    /// Bound on a whole image; what makes the state smaller may use a little more of the slot.
    fn image(&self, grows: bool) -> usize {
        self.slot() - self.slot() / if grows { 8 } else { 32 }
    }
}

impl Change {
    /// No less than its length on disk and on the wire; a test holds it to that.
    pub fn weight(&self) -> usize {
        64 + match self {
            Change::Apply { op, text, .. } => op.as_str().len() + text.packed_len(),
            Change::Evacuate { op, zone, .. } => op.as_str().len() + zone.as_str().len(),
            Change::Replica { op, id, what } => {
                let list = match what {
                    ReplicaMove::List { service, zone, .. } => {
                        service.as_str().len() + zone.as_str().len() + 64
                    }
                    _ => 0,
                };
                op.as_str().len() + id.as_str().len() + list
            }
            Change::Join(c) => c.node.as_str().len() + c.zone.as_str().len() + 128,
            Change::Expire { node, .. } => node.as_str().len(),
            Change::Down { op, node } => op.as_str().len() + node.as_str().len(),
            Change::ReplaceVoter(h) => holder(h),
        }
    }

    /// What folding it may add to the state beyond the entry itself: its outcome.
    fn growth(&self) -> usize {
        match self {
            Change::Apply { op, .. } => op.as_str().len() + 128,
            other => other.weight() + 96,
        }
    }

    fn grows(&self) -> bool {
        match self {
            Change::Apply { .. } | Change::Evacuate { on: true, .. } => true,
            Change::Replica { what, .. } => matches!(what, ReplicaMove::List { .. }),
            _ => false,
        }
    }

    fn names_fit(&self) -> bool {
        let short = |s: &str| s.len() <= NAME;
        self.op().is_none_or(|o| short(o.as_str()))
            && match self {
                Change::Apply { .. } => true,
                Change::Evacuate { zone, .. } => short(zone.as_str()),
                Change::Replica { id, what, .. } => {
                    short(id.as_str())
                        && match what {
                            ReplicaMove::List { service, zone, .. } => {
                                short(service.as_str()) && short(zone.as_str())
                            }
                            _ => true,
                        }
                }
                Change::Join(c) => short(c.node.as_str()) && short(c.zone.as_str()),
                Change::Expire { node, .. } | Change::Down { node, .. } => short(node.as_str()),
                Change::ReplaceVoter(h) => short(h.node.as_str()) && short(h.zone.as_str()),
            }
    }
}

fn holder(h: &VoterInfo) -> usize {
    h.node.as_str().len() + h.zone.as_str().len() + 112
}

impl LogEntry {
    pub fn weight(&self) -> usize {
        self.change.weight() + 16
    }
}

/// Entries from the first on, as many as `most` bytes hold, and one at least.
pub fn batch<'a>(es: impl Iterator<Item = &'a LogEntry>, most: usize) -> Vec<LogEntry> {
    let mut left = most;
    let mut first = true;
    es.take_while(|e| {
        let fits = std::mem::take(&mut first) || e.weight() <= left;
        left = left.saturating_sub(e.weight());
        fits
    })
    .cloned()
    .collect()
}

impl ClusterState {
    /// No less than its length on disk and on the wire.
    pub fn weight(&self) -> usize {
        let outcome = |v: &ApplyOutcome| match v {
            ApplyOutcome::Rejected { reason } => reason.len() + 32,
            _ => 32,
        };
        let text = self.text.as_ref().map_or(0, Document::packed_len);
        let evacuated: usize = self.evacuated.iter().map(|a| a.as_str().len() + 16).sum();
        let changes: usize = self.evacuation_changes.keys().map(|a| a.as_str().len() + 24).sum();
        let zones = evacuated + changes;
        let replicas: usize = self
            .replicas
            .iter()
            .map(|(id, r)| id.as_str().len() + r.service.as_str().len() + r.zone.as_str().len() + 96)
            .sum();
        let members: usize = self
            .members
            .values()
            .map(|m| 2 * m.info.node.as_str().len() + m.info.zone.as_str().len() + 160)
            .sum();
        let voters: usize = self.voters.iter().map(holder).sum();
        let recent_operations: usize =
            self.recent_operations.iter().map(|(o, v)| o.as_str().len() + outcome(v) + 16).sum();
        let lost: usize = self.lost.iter().map(|x| x.node.as_str().len() + 16).sum();
        256 + lost
            + self.cluster.len()
            + text
            + zones
            + replicas
            + members
            + voters
            + recent_operations
            + self.accepted.weight()
    }
}

impl Voter {
    pub(super) fn weight_after(&self, from: Index) -> usize {
        self.log.iter().filter(|e| e.index > from).map(LogEntry::weight).sum()
    }

    /// Why a change can't be logged now, in whatever order the rest of the log is accepted.
    pub(super) fn exceeds_limits(&self, ch: &Change) -> Option<&'static str> {
        let text = match ch {
            Change::Apply { text, .. } => text.packed_len(),
            _ => 0,
        };
        let pending = self.weight_after(self.accepted()) + ch.weight() + 16;
        let growth: usize =
            self.log.iter().filter(|e| e.index > self.accepted()).map(|e| e.change.growth()).sum();
        let whole = self.cluster_state.weight() + pending + growth + ch.growth();
        [
            (!ch.names_fit(), "a name of more than 64 bytes"),
            (text > self.room.doc(), "the document is too long"),
            (pending > self.room.batch(), "too much waits to be accepted"),
            (whole > self.room.image(ch.grows()), "the whole state would not fit into a slot"),
        ]
        .into_iter()
        .find_map(|(no, why)| no.then_some(why))
    }

    /// Accepted entries are kept for those that lag a little, within bounds of count and bytes.
    pub(super) fn trim(&mut self) {
        let accepted = self.accepted();
        let mut kept: usize = self.log.iter().filter(|e| e.index <= accepted).map(LogEntry::weight).sum();
        while self.log.front().is_some_and(|e| e.index < accepted)
            && (self.log.len() > super::KEEP || kept > self.room.batch())
        {
            if let Some(e) = self.log.pop_front() {
                kept -= e.weight();
                self.base = e.index;
            }
        }
    }
}
