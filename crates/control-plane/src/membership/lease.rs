//! Leases (design 3.1): the leader's count of renewals, and the holder's own, stricter one.

use crate::{
    state_machine::ClusterState,
    types::{Change, NodeInfo},
};
use common::{Epoch, Incarnation, NodeId, Tick, settings::Timing};
use std::collections::BTreeMap;

/// The leases of all members, counted by the leader only. A new leader gives each member a full lease from its
/// election.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    elected: Tick,
    last_renewals: BTreeMap<NodeId, LastRenewal>,
    /// When a change of the membership was last proposed for a node.
    proposed: BTreeMap<NodeId, Tick>,
}

#[derive(Clone, Copy, Debug)]
struct LastRenewal {
    incarnation: Incarnation,
    at: Tick,
}

/// What a leader answers to a renewal.
#[derive(Clone, Debug, PartialEq)]
#[must_use]
pub enum Renewal {
    /// The lease is extended.
    Extended(Epoch),
    /// The node is to ask again with its next renewal; meanwhile this change is proposed, if there is one.
    Pending(Option<Change>),
}

impl Leases {
    /// The count of a leader that was elected now.
    pub fn new_leader(now: Tick) -> Self {
        Self { elected: now, ..Self::default() }
    }

    /// Takes a renewal.
    pub fn renew(&mut self, state: &ClusterState, timing: &Timing, info: &NodeInfo, now: Tick) -> Renewal {
        if let Some(member) = state.members.get(&info.node) {
            let same = member.info.incarnation == info.incarnation;
            let expired = self.expired(&member.info, timing, now);
            // Once its expiry may be in the log, a lease is not renewed: the node joins anew.
            if same && expired {
                return Renewal::Pending(None);
            }
            if member.info == *info {
                self.note_renewal(info, now);
                return Renewal::Extended(member.epoch);
            }
            // A new incarnation takes over only after the old lease must have expired; but what holds the old
            // one's address now has outlived it, once nothing of the old one can be on its way.
            if !same && !expired && !self.outlived(&member.info, info, timing, now) {
                return Renewal::Pending(None);
            }
        }
        // The new lease counts from when it was asked for.
        self.note_renewal(info, now);
        let join = self.may_propose(&info.node, timing, now).then(|| Change::Join(info.clone()));
        Renewal::Pending(join)
    }

    fn note_renewal(&mut self, info: &NodeInfo, at: Tick) {
        let renewal = LastRenewal { incarnation: info.incarnation, at };
        self.last_renewals.insert(info.node.clone(), renewal);
    }

    /// At most one proposal for a node within a renewal interval.
    fn may_propose(&mut self, node: &NodeId, timing: &Timing, now: Tick) -> bool {
        let last = self.proposed.get(node);
        let due = last.is_none_or(|at| now.since(*at) > timing.renew_interval_ms());
        if due {
            self.proposed.insert(node.clone(), now);
        }
        due
    }

    fn last_renewal(&self, info: &NodeInfo) -> Option<Tick> {
        let renewal = self.last_renewals.get(&info.node)?;
        (renewal.incarnation == info.incarnation).then_some(renewal.at)
    }

    /// Whether `new` has the address of `old`, which has been silent for two heartbeats.
    fn outlived(&self, old: &NodeInfo, new: &NodeInfo, timing: &Timing, now: Tick) -> bool {
        let silent = |at: Tick| now.since(at) > 2 * timing.heartbeat_ms();
        old.rpc_addr == new.rpc_addr && self.last_renewal(old).is_none_or(silent)
    }

    fn expired(&self, info: &NodeInfo, timing: &Timing, now: Tick) -> bool {
        let last = self.last_renewal(info).unwrap_or(self.elected).max(self.elected);
        now.since(last) > timing.lease_ms + timing.lease_margin_ms()
    }

    /// Members that have not renewed here for two renewal intervals: they may not learn of what is logged now.
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

    /// The change to propose when a node gives its lease back on a planned stop.
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
            if self.may_propose(&info.node, timing, now) {
                let (node, incarnation) = (info.node.clone(), info.incarnation);
                changes.push(Change::Expire { node, incarnation, left: false });
            }
        }
        changes
    }
}

/// A lease as its holder counts it: from before the renewal was sent (design 3.1).
#[derive(Clone, Copy, Debug, Default)]
pub struct HeldLease {
    /// Number of the membership; 0 before the first.
    pub epoch: Epoch,
    /// When it ends, on the holder's clock.
    pub until: Tick,
}

impl HeldLease {
    /// A renewal that was sent at `sent` was granted.
    pub fn extend(&mut self, epoch: Epoch, sent: Tick, timing: &Timing) {
        self.epoch = epoch;
        self.until = self.until.max(sent + timing.lease_ms);
    }

    /// Whether it has not ended.
    pub fn valid(&self, now: Tick) -> bool {
        now < self.until
    }
}
