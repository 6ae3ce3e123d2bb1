//! What the simulated operators of `reads` sent and were told, and what must hold of it.

use common::{Index, OpId, Revision};
use control_plane::Change;
use rand::{SeedableRng, rngs::SmallRng};
use std::collections::{BTreeMap, BTreeSet};

/// Draws apart from those of the rest, so that a seed's faults are the same with and without readers.
const OWN_DRAWS: u64 = 0x5eed_4ead;

#[derive(Clone, Debug)]
pub struct Order {
    pub op: OpId,
    pub base: Revision,
}

/// An order that a leader logged, and the life of that leader.
#[derive(Debug)]
pub struct Logged {
    pub op: OpId,
    pub starts: u64,
    pub change: Change,
}

/// What these operators sent and were told.
#[derive(Debug)]
pub struct Readers {
    pub rng: SmallRng,
    pub sent: Vec<Order>,
    pub waiting: BTreeMap<(usize, Index), Logged>,
    /// Orders that are in force by the one order of changes, with the revisions that they made.
    pub in_force: BTreeMap<OpId, Revision>,
    pub told_refused: BTreeSet<OpId>,
    /// The order that was acknowledged on top of each base.
    acknowledged: BTreeMap<Revision, OpId>,
    pub newest_acknowledged: Revision,
    /// What a new order builds on.
    pub newest_read: Revision,
    pub reads: u64,
    pub unavailable: u64,
    pub acknowledged_again: u64,
}

impl Readers {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed ^ OWN_DRAWS),
            sent: Vec::new(),
            waiting: BTreeMap::new(),
            in_force: BTreeMap::new(),
            told_refused: BTreeSet::new(),
            acknowledged: BTreeMap::new(),
            newest_acknowledged: Revision(0),
            newest_read: Revision(0),
            reads: 0,
            unavailable: 0,
            acknowledged_again: 0,
        }
    }

    pub fn refused(&mut self, op: &OpId) -> Result<(), String> {
        if self.in_force.contains_key(op) {
            return Err(format!("{op}, which is in force, was told as refused"));
        }
        self.told_refused.insert(op.clone());
        Ok(())
    }

    pub fn acknowledged(&mut self, op: &OpId) -> Result<(), String> {
        let Some(revision) = self.in_force.get(op).copied() else {
            return Err(format!("{op} was acknowledged and is not in force"));
        };
        let order = self.sent.iter().find(|o| o.op == *op).ok_or("an order that nobody sent")?;
        self.newest_acknowledged = self.newest_acknowledged.max(revision);
        self.newest_read = self.newest_read.max(revision);
        match self.acknowledged.insert(order.base, op.clone()) {
            None => Ok(()),
            Some(other) if other == *op => {
                self.acknowledged_again += 1;
                Ok(())
            }
            Some(other) => Err(format!("{other} and {op} were both acknowledged on {}", order.base)),
        }
    }
}
