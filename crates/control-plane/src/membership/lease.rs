//! Leases (design 3.1): the leader's record of renewals, and the lease as its holder counts it, which ends earlier.

use crate::{
    state_machine::ClusterState,
    types::{Change, NodeInfo},
};
use common::{Epoch, Incarnation, NodeId, Tick, settings::Timing};
use std::collections::BTreeMap;

/// When each member last renewed its lease. Only the leader keeps this. A new leader has seen no renewals, so it
/// counts a full lease for each member from its election.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    elected_at: Tick,
    last_renewals: BTreeMap<NodeId, LastRenewal>,
    /// When a change of the membership was last proposed for each node.
    last_proposals: BTreeMap<NodeId, Tick>,
}

#[derive(Clone, Copy, Debug)]
struct LastRenewal {
    incarnation: Incarnation,
    at: Tick,
}

/// The leader's decision on a request to renew a lease.
#[derive(Clone, Debug, PartialEq)]
#[must_use]
pub enum Renewal {
    /// The lease of the membership with this epoch is extended.
    Extended(Epoch),
    /// No lease is granted yet: the node asks again with its next renewal. The leader proposes the change, if there
    /// is one, in the meantime.
    Pending(Option<Change>),
}

impl Leases {
    /// The record of a leader that was elected at `now`.
    pub fn new_leader(now: Tick) -> Self {
        Self { elected_at: now, ..Self::default() }
    }

    /// Decides on a request to renew that arrived at `now`.
    pub fn renew(&mut self, state: &ClusterState, timing: &Timing, info: &NodeInfo, now: Tick) -> Renewal {
        if let Some(member) = state.members.get(&info.node) {
            let same_incarnation = member.info.incarnation == info.incarnation;
            let expired = self.expired(&member.info, timing, now);
            // The expiry of this lease may already be in the log, so it is not renewed: the node has to join again.
            if same_incarnation && expired {
                return Renewal::Pending(None);
            }
            if member.info == *info {
                self.note_renewal(info, now);
                return Renewal::Extended(member.epoch);
            }
            // A new incarnation waits until the old one's lease must have expired. If it has the old one's address,
            // the old process has ended, and it waits only until none of the old one's messages can still arrive.
            if !same_incarnation && !expired && !self.has_replaced(&member.info, info, timing, now) {
                return Renewal::Pending(None);
            }
        }
        // The new lease counts from this request.
        self.note_renewal(info, now);
        let join = self.claim_proposal(&info.node, timing, now).then(|| Change::Join(info.clone()));
        Renewal::Pending(join)
    }

    fn note_renewal(&mut self, info: &NodeInfo, at: Tick) {
        let renewal = LastRenewal { incarnation: info.incarnation, at };
        self.last_renewals.insert(info.node.clone(), renewal);
    }

    /// Whether a change of this node's membership may be proposed now: at most one in each renewal interval. If so,
    /// `now` is recorded as the time of the proposal.
    fn claim_proposal(&mut self, node: &NodeId, timing: &Timing, now: Tick) -> bool {
        let last = self.last_proposals.get(node);
        let due = last.is_none_or(|at| now.since(*at) > timing.renew_interval_ms());
        if due {
            self.last_proposals.insert(node.clone(), now);
        }
        due
    }

    /// When this incarnation of the node last renewed its lease.
    fn last_renewal(&self, info: &NodeInfo) -> Option<Tick> {
        let renewal = self.last_renewals.get(&info.node)?;
        (renewal.incarnation == info.incarnation).then_some(renewal.at)
    }

    /// Whether the process `old` has ended: `new` has its address, and `old` has been silent for two heartbeats.
    fn has_replaced(&self, old: &NodeInfo, new: &NodeInfo, timing: &Timing, now: Tick) -> bool {
        let silent = |at: Tick| now.since(at) > 2 * timing.heartbeat_ms();
        old.rpc_addr == new.rpc_addr && self.last_renewal(old).is_none_or(silent)
    }

    /// Whether the lease must have ended on the holder's clock as well.
    fn expired(&self, info: &NodeInfo, timing: &Timing, now: Tick) -> bool {
        let last = self.last_renewal(info).unwrap_or(self.elected_at).max(self.elected_at);
        now.since(last) > timing.lease_ms + timing.lease_margin_ms()
    }

    /// Members that have not renewed here for two renewal intervals: a change that is logged now may not reach them.
    pub fn silent_members(&self, state: &ClusterState, timing: &Timing, now: Tick) -> Vec<NodeId> {
        let recent = |at: Tick| now.since(at) <= 2 * timing.renew_interval_ms();
        let silent = |info: &&NodeInfo| !self.last_renewal(info).is_some_and(recent);
        state
            .members
            .values()
            .map(|member| &member.info)
            .filter(silent)
            .map(|info| info.node.clone())
            .collect()
    }

    /// The change to propose when a node gives up its lease on a planned stop; `None` if it is not a member.
    pub fn leave(&self, state: &ClusterState, info: &NodeInfo) -> Option<Change> {
        let member = state.members.get(&info.node)?;
        let NodeInfo { node, incarnation, .. } = info.clone();
        (member.info.incarnation == incarnation).then_some(Change::Expire { node, incarnation, left: true })
    }

    /// The changes to propose for members whose lease must have expired by now.
    pub fn expired_members(&mut self, state: &ClusterState, timing: &Timing, now: Tick) -> Vec<Change> {
        let infos = state.members.values().map(|member| &member.info);
        let expired: Vec<&NodeInfo> = infos.filter(|info| self.expired(info, timing, now)).collect();
        let mut changes = Vec::new();
        for info in expired {
            if self.claim_proposal(&info.node, timing, now) {
                let (node, incarnation) = (info.node.clone(), info.incarnation);
                changes.push(Change::Expire { node, incarnation, left: false });
            }
        }
        changes
    }
}

/// A lease as its holder counts it (design 3.1): from when the request to renew was sent, so that it ends before the
/// leader takes it for expired.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeldLease {
    /// Epoch of the membership; 0 before the first one.
    pub epoch: Epoch,
    /// When the lease ends, on the holder's clock.
    pub until: Tick,
}

impl HeldLease {
    /// Extends the lease after a renewal that was sent at `sent` was granted.
    pub fn extend(&mut self, epoch: Epoch, sent: Tick, timing: &Timing) {
        self.epoch = epoch;
        self.until = self.until.max(sent + timing.lease_ms);
    }

    /// Whether the lease has not ended.
    pub fn valid(&self, now: Tick) -> bool {
        now < self.until
    }
}
