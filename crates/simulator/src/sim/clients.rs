//! What the simulated clients sent and were told, and the invariants of both.

use common::{Index, OpId, Revision};
use control_plane::Change;
use rand::{SeedableRng, rngs::SmallRng};
use std::collections::{BTreeMap, BTreeSet};

/// XORed with the seed for the clients' own random numbers, so that a seed's faults are the same with and without them.
const CLIENT_SEED: u64 = 0x5eed_4ead;

/// An operation that a client sent.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub op: OpId,
    /// The revision that it builds on.
    pub base: Revision,
}

/// An operation that a leader logged.
#[derive(Debug)]
pub struct Logged {
    /// Id of the operation.
    pub op: OpId,
    /// The leader's number of starts at the time.
    pub starts: u64,
    /// The change as it was logged.
    pub change: Change,
}

/// What the clients sent and were told.
#[derive(Debug)]
pub struct Clients {
    /// Random numbers of the clients.
    pub rng: SmallRng,
    /// All operations sent so far.
    pub sent: Vec<Request>,
    /// Operations that wait for their outcome, by leader and log index.
    pub waiting: BTreeMap<(usize, Index), Logged>,
    /// Operations that were accepted, with the revisions that they made.
    pub in_force: BTreeMap<OpId, Revision>,
    /// Operations reported as refused.
    pub reported_refused: BTreeSet<OpId>,
    /// The operation that was acknowledged on each base revision.
    acknowledged_on: BTreeMap<Revision, OpId>,
    /// The newest revision that a client was told of as accepted.
    pub newest_acknowledged: Revision,
    /// The newest revision that a client has read; a new operation builds on it.
    pub newest_read: Revision,
    /// Reads that were answered.
    pub reads: u64,
    /// Reads and operations refused because no leader was in reach.
    pub unavailable: u64,
    /// Operations acknowledged more than once.
    pub reacknowledged: u64,
}

impl Clients {
    /// Clients that have sent nothing yet.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed ^ CLIENT_SEED),
            sent: Vec::new(),
            waiting: BTreeMap::new(),
            in_force: BTreeMap::new(),
            reported_refused: BTreeSet::new(),
            acknowledged_on: BTreeMap::new(),
            newest_acknowledged: Revision(0),
            newest_read: Revision(0),
            reads: 0,
            unavailable: 0,
            reacknowledged: 0,
        }
    }

    /// Records that a client was told of a refusal; the operation must not be in force.
    pub fn record_refused(&mut self, op: &OpId) -> Result<(), String> {
        if self.in_force.contains_key(op) {
            return Err(format!("{op}, which is in force, was reported as refused"));
        }
        self.reported_refused.insert(op.clone());
        Ok(())
    }

    /// Records that a client was told of an acceptance. The operation must be in force, and be the only one
    /// acknowledged on its base revision.
    pub fn record_acknowledged(&mut self, op: &OpId) -> Result<(), String> {
        let Some(revision) = self.in_force.get(op).copied() else {
            return Err(format!("{op} was acknowledged and is not in force"));
        };
        let request =
            self.sent.iter().find(|r| r.op == *op).ok_or("the acknowledged operation was never sent")?;
        self.newest_acknowledged = self.newest_acknowledged.max(revision);
        self.newest_read = self.newest_read.max(revision);
        match self.acknowledged_on.insert(request.base, op.clone()) {
            None => Ok(()),
            Some(other) if other == *op => {
                self.reacknowledged += 1;
                Ok(())
            }
            Some(other) => Err(format!("{other} and {op} were both acknowledged on {}", request.base)),
        }
    }
}
