//! Operators that read back, race on one base, and send orders again at any member (design 7.1).
//!
//! They decide by the daemons' own `operations::standing`. Answers are lost, orders are late on their
//! way to the leader, and an order may be sent again after restarts and after many later changes.

use super::{
    Broken,
    orders::{Logged, Order, Readers},
    world::{QUIET_AT, What, World},
};
use common::{OpId, Revision};
use control_plane::{
    ApplyOutcome, Change, ClusterState,
    consensus::{Effect, Event},
    state_machine::{AcceptedOperations, OperationStatus, operation_status},
    types::LogEntry,
};
use rand::Rng;

/// Time between two acts of these operators, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 20..500;
impl World {
    /// Lets operators read back and send again in this world.
    pub fn with_readers(mut self) -> Self {
        self.readers = Some(Readers::new(self.seed));
        self.push(3_000, What::Reader);
        self
    }

    pub fn reader_acts(&mut self) -> Result<(), String> {
        let Some(readers) = &mut self.readers else { return Ok(()) };
        let gap = readers.rng.random_range(GAP_MS);
        let act = readers.rng.random_range(0..10);
        if self.t + gap < QUIET_AT {
            self.push(gap, What::Reader);
        }
        match act {
            0..3 => self.send_new(1),
            3 => self.send_new(2),
            4..7 => self.send_again(),
            _ => self.read_back(),
        }
    }

    /// A new order on top of the newest acknowledged revision, or two at once.
    fn send_new(&mut self, at_once: usize) -> Result<(), String> {
        for _ in 0..at_once {
            let Some(readers) = &mut self.readers else { return Ok(()) };
            let op = OpId::new(format!("order{}", readers.sent.len()));
            let base = readers.newest_read;
            readers.sent.push(Order { op, base });
            let newest = readers.sent.len() - 1;
            self.send(newest)?;
        }
        Ok(())
    }

    /// An order from any time, whatever its sender was told, at any member.
    fn send_again(&mut self) -> Result<(), String> {
        let Some(readers) = self.readers.as_mut().filter(|r| !r.sent.is_empty()) else { return Ok(()) };
        let n = readers.rng.random_range(0..readers.sent.len());
        self.send(n)
    }

    /// What the operator service of a member does with an order: it decides by the newest state, or refuses.
    fn send(&mut self, order: usize) -> Result<(), String> {
        let Some(readers) = &mut self.readers else { return Ok(()) };
        let at = readers.rng.random_range(0..self.voters.len());
        let Order { op, base } = readers.sent[order].clone();
        let Some((lead, mut cluster_state)) = self.newest_at(at) else {
            return self.count_unavailable();
        };
        if self.broken == Some(Broken::VerdictsByCount) {
            cluster_state.accepted_operations = AcceptedOperations::default();
        }
        let text = || format!("document of {op}").into();
        let rebases = self.broken == Some(Broken::Rebases);
        let change = match operation_status(&cluster_state, &op, base.0, cluster_state.revision.0) {
            OperationStatus::Decided(ApplyOutcome::Accepted { .. }) => {
                Change::Apply { op, base: Revision(u64::MAX), text: "".into() }
            }
            OperationStatus::Open => Change::Apply { text: text(), op, base },
            OperationStatus::Superseded if rebases => {
                Change::Apply { text: text(), op, base: cluster_state.revision }
            }
            OperationStatus::Superseded | OperationStatus::Decided(_) => {
                // The refusal tells the version in place.
                if let Some(readers) = &mut self.readers {
                    readers.newest_read = readers.newest_read.max(cluster_state.revision);
                }
                return self.readers.as_mut().map_or(Ok(()), |r| r.refused(&op));
            }
            OperationStatus::Forgotten => return Ok(()),
        };
        match self.late_way(at, lead) {
            Some(ms) => self.push(ms, What::Forward { to: lead, change: Box::new(change) }),
            None => self.count_unavailable()?,
        }
        Ok(())
    }

    /// How long an order is on its way to the leader; now and then far longer than its sender waits.
    fn late_way(&mut self, from: usize, to: usize) -> Option<u64> {
        if self.cut.contains(&(from, to)) {
            return None;
        }
        let rng = &mut self.readers.as_mut()?.rng;
        let late = rng.random_bool(0.1);
        Some(if late { rng.random_range(500..8_000) } else { rng.random_range(1..30) })
    }

    pub fn forwarded(&mut self, at: usize, change: Change) -> Result<(), String> {
        if self.voters[at].frozen_until > self.t {
            let wait = self.voters[at].frozen_until - self.t;
            self.push(wait, What::Forward { to: at, change: Box::new(change) });
            return Ok(());
        }
        let now = self.voters[at].clock.at(self.t);
        let starts = self.voters[at].starts;
        let Some(voter) = self.voters[at].voter.as_mut() else { return Ok(()) };
        let effects = voter.step(Event::Propose(change), now);
        for f in &effects {
            if let (Effect::Logged { index, change }, Some(readers)) = (f, &mut self.readers)
                && let Some(op) = change.op().cloned()
            {
                readers.waiting.insert((at, *index), Logged { op, starts, change: change.clone() });
            }
        }
        effects.into_iter().try_for_each(|f| self.effect(at, f))
    }

    /// A member accepted an entry: the sender is told, unless the answer is lost.
    pub fn order_decided(&mut self, n: usize, e: &LogEntry, v: &ApplyOutcome) -> Result<(), String> {
        let starts = self.voters[n].starts;
        let Some(readers) = &mut self.readers else { return Ok(()) };
        let known = e.change.op().filter(|op| readers.sent.iter().any(|o| o.op == **op));
        if let (Some(op), ApplyOutcome::Accepted { revision }) = (known, v) {
            if readers.told_refused.contains(op) {
                return Err(format!("{op}, which was told as refused, is in force"));
            }
            readers.in_force.entry(op.clone()).or_insert(*revision);
        }
        let Some(logged) = readers.waiting.remove(&(n, e.index)) else { return Ok(()) };
        let lost = readers.rng.random_bool(0.2);
        if lost || logged.starts != starts || logged.change != e.change {
            return Ok(());
        }
        let confirms = matches!(&e.change, Change::Apply { base, .. } if *base == Revision(u64::MAX));
        match v {
            ApplyOutcome::Accepted { .. } => readers.acknowledged(&logged.op),
            ApplyOutcome::Conflict { .. } if !confirms => readers.refused(&logged.op),
            _ => Ok(()),
        }
    }

    /// A read at any member never tells less than was acknowledged before it began.
    fn read_back(&mut self) -> Result<(), String> {
        let Some(readers) = &mut self.readers else { return Ok(()) };
        let at = readers.rng.random_range(0..self.voters.len());
        let before = readers.newest_acknowledged;
        let Some((_, cluster_state)) = self.newest_at(at) else {
            return self.count_unavailable();
        };
        if let Some(readers) = &mut self.readers {
            readers.reads += 1;
            readers.newest_read = readers.newest_read.max(cluster_state.revision);
        }
        if cluster_state.revision < before {
            return Err(format!(
                "s{at} read back {} where {before} had been acknowledged",
                cluster_state.revision
            ));
        }
        Ok(())
    }

    /// The newest state as a member can have it, and the leader that it is from.
    fn newest_at(&self, at: usize) -> Option<(usize, ClusterState)> {
        let awake = |n: usize| self.voters[n].frozen_until <= self.t;
        let own = self.voters[at].voter.as_ref().filter(|s| s.initialized && awake(at))?;
        if self.broken == Some(Broken::ReadsWithoutLease) {
            return Some((at, own.cluster_state.clone()));
        }
        let lead = own.leader().map_or(at, |h| usize::from(h.rpc_addr.port() - 7000));
        let linked = !self.cut.contains(&(at, lead)) && !self.cut.contains(&(lead, at));
        let voter = self.voters.get(lead)?.voter.as_ref().filter(|_| linked && awake(lead))?;
        let current = voter.can_serve_reads(self.voters[lead].clock.at(self.t));
        current.then(|| (lead, voter.cluster_state.clone()))
    }

    fn count_unavailable(&mut self) -> Result<(), String> {
        if let Some(readers) = &mut self.readers {
            readers.unavailable += 1;
        }
        Ok(())
    }
}
