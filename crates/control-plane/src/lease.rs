//! Leases (design 3.1): the core's count of renewals, and the holder's own, stricter one.

use crate::{
    change::{Change, NodeInfo},
    cluster_state::ClusterState,
};
use common::{Epoch, NodeId, Tick, settings::Timing};
use std::collections::BTreeMap;

/// Kept by the leader only. A new leader gives each member a full lease from its start.
#[derive(Clone, Debug, Default)]
pub struct Leases {
    since: Tick,
    last_contact: BTreeMap<NodeId, (u64, Tick)>,
    asked: BTreeMap<NodeId, Tick>,
}

impl Leases {
    pub fn new_leader(now: Tick) -> Self {
        Self { since: now, ..Self::default() }
    }

    /// A renewal arrived: the epoch that it keeps, or a change to propose first.
    pub fn renew(
        &mut self,
        l: &ClusterState,
        t: &Timing,
        info: &NodeInfo,
        now: Tick,
    ) -> Result<Epoch, Option<Change>> {
        match l.members.get(&info.node) {
            // Once its expire may be in the log, a lease is renewed no more: it joins anew.
            Some(m) if m.info.incarnation == info.incarnation && self.expired(&m.info, t, now) => Err(None),
            Some(m) if m.info == *info => {
                self.last_contact.insert(info.node.clone(), (info.incarnation.0, now));
                Ok(m.epoch)
            }
            // A younger self takes over only after the old lease must have expired; but what holds the
            // old one's address now has outlived it, once nothing of the old one can be on its way.
            Some(m)
                if !self.expired(&m.info, t, now)
                    && m.info.incarnation != info.incarnation
                    && !self.outlived(&m.info, info, t, now) =>
            {
                Err(None)
            }
            _ => {
                // The new lease counts from when it was asked for.
                self.last_contact.insert(info.node.clone(), (info.incarnation.0, now));
                let again =
                    self.asked.get(&info.node).is_none_or(|at| now.since(*at) > t.renew_interval_ms());
                if again {
                    self.asked.insert(info.node.clone(), now);
                }
                Err(again.then(|| Change::Join(info.clone())))
            }
        }
    }

    /// Whether `new` stands where `old` stood, which has been silent for two heartbeats.
    fn outlived(&self, old: &NodeInfo, new: &NodeInfo, t: &Timing, now: Tick) -> bool {
        let last_contact = self.last_contact.get(&old.node).filter(|h| h.0 == old.incarnation.0);
        old.rpc_addr == new.rpc_addr && last_contact.is_none_or(|h| now.since(h.1) > 2 * t.heartbeat_ms())
    }

    fn expired(&self, info: &NodeInfo, t: &Timing, now: Tick) -> bool {
        let last_contact = self
            .last_contact
            .get(&info.node)
            .filter(|h| h.0 == info.incarnation.0)
            .map(|h| h.1)
            .unwrap_or(self.since);
        now.since(last_contact.max(self.since)) > t.lease_ms + t.lease_margin_ms()
    }

    /// Members that have not renewed here for two renewals: they may not hear of what is logged now.
    pub fn silent(&self, l: &ClusterState, t: &Timing, now: Tick) -> Vec<NodeId> {
        let lately = |c: &NodeInfo| {
            self.last_contact
                .get(&c.node)
                .is_some_and(|h| h.0 == c.incarnation.0 && now.since(h.1) <= 2 * t.renew_interval_ms())
        };
        l.members.values().filter(|m| !lately(&m.info)).map(|m| m.info.node.clone()).collect()
    }

    /// A node gives its lease back on a planned stop.
    pub fn leave(&self, l: &ClusterState, info: &NodeInfo) -> Option<Change> {
        l.members.get(&info.node).filter(|m| m.info.incarnation == info.incarnation).map(|_| Change::Expire {
            node: info.node.clone(),
            incarnation: info.incarnation,
            left: true,
        })
    }

    /// Members whose lease must have expired by now.
    pub fn expired_members(&mut self, l: &ClusterState, t: &Timing, now: Tick) -> Vec<Change> {
        let gone: Vec<NodeInfo> =
            l.members.values().map(|m| m.info.clone()).filter(|c| self.expired(c, t, now)).collect();
        gone.into_iter()
            .filter(|c| {
                let again = self.asked.get(&c.node).is_none_or(|at| now.since(*at) > t.renew_interval_ms());
                if again {
                    self.asked.insert(c.node.clone(), now);
                }
                again
            })
            .map(|c| Change::Expire { node: c.node, incarnation: c.incarnation, left: false })
            .collect()
    }
}

/// The holder's count: from before the renewal was sent (design 3.1).
#[derive(Clone, Copy, Debug, Default)]
pub struct HeldLease {
    pub epoch: Epoch,
    pub until: Tick,
}

impl HeldLease {
    pub fn extend(&mut self, epoch: Epoch, sent: Tick, t: &Timing) {
        self.epoch = epoch;
        self.until = self.until.max(sent + t.lease_ms);
    }
    pub fn valid(&self, now: Tick) -> bool {
        now < self.until
    }
}
