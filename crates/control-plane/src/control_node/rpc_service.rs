//! Answers the RPCs of other processes (design 3.1, 3.3, 3.4).

use super::{ControlNode, Inner, MemberReport, Status, connectivity::Connectivity};
use crate::{
    consensus::Event,
    membership::Renewal,
    rpc::{ControlRequest, ControlResponse, SERVICE},
    state_machine::{
        ClusterState,
        state_update::{StateUpdate, update_since},
    },
    types::{Change, NodeInfo, VoterInfo},
};
use common::{
    Index, Revision, log_event,
    rpc::{self, LocalNode},
    runtime::Listener,
};
use std::{sync::Arc, time::Duration};

/// Longest wait of a request for updates, in milliseconds.
const MAX_WATCH_MS: u64 = 5_000;
/// Longest time of a forwarded proposal, in RPC timeouts.
const PROPOSAL_TIMEOUTS: u64 = 4;

/// Answers RPCs until the task is dropped.
pub async fn listen(listener: Listener, local: LocalNode, node: Arc<ControlNode>) {
    rpc::listen(listener, local, SERVICE, move |_peer, request| node.clone().answer(request)).await;
}

impl ControlNode {
    /// As the leader, proposes the expiry of memberships whose lease must have ended.
    pub(super) fn expire_leases(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut inner = self.lock();
        if !inner.voter.can_serve_reads(now) {
            return;
        }
        let Inner { voter, leases, .. } = &mut *inner;
        let expired = leases.expired_members(&voter.cluster_state, &self.settings.timing, now);
        for change in expired {
            log_event!(Info, "lease expired", "change" => format!("{change:?}"));
            self.propose_locked(&mut inner, change);
        }
    }

    /// Proposes a change without waiting for its outcome.
    fn propose_locked(self: &Arc<Self>, inner: &mut Inner, change: Change) {
        let effects = inner.voter.step(Event::Propose(change), self.clock.now());
        self.carry_out(inner, effects);
    }

    fn renew(self: &Arc<Self>, info: NodeInfo, index: Index, revision: Revision) -> ControlResponse {
        let now = self.clock.now();
        let mut inner = self.lock();
        if !inner.voter.can_serve_reads(now) {
            return ControlResponse::NotLeader { leader: inner.voter.leader() };
        }
        inner.reports.insert(info.node.clone(), MemberReport { index, revision, at: now });
        let Inner { voter, leases, .. } = &mut *inner;
        match leases.renew(&voter.cluster_state, &self.settings.timing, &info, now) {
            Renewal::Extended(epoch) => ControlResponse::Renewed { epoch, index: voter.commit_index() },
            Renewal::Pending(change) => {
                if let Some(change) = change {
                    self.propose_locked(&mut inner, change);
                }
                ControlResponse::Pending
            }
        }
    }

    async fn leave(self: &Arc<Self>, info: NodeInfo) -> ControlResponse {
        let change = {
            let inner = self.lock();
            if !inner.voter.can_serve_reads(self.clock.now()) {
                return ControlResponse::NotLeader { leader: inner.voter.leader() };
            }
            inner.leases.leave(&inner.voter.cluster_state, &info)
        };
        if let Some(change) = change {
            let _ = self.propose_here(change, self.settings.timing.rpc_timeout_ms).await;
        }
        ControlResponse::Done
    }

    async fn watch_state(self: &Arc<Self>, have: Index, wait_ms: u64) -> ControlResponse {
        let mut committed = self.committed.subscribe();
        committed.borrow_and_update();
        let first = self.update_since(have);
        if !matches!(first, ControlResponse::StateUpdate(StateUpdate::Unchanged)) {
            return first;
        }
        // No changes reach a node that is cut off: the caller is to ask another one.
        if self.connectivity() == Connectivity::CutOff {
            return ControlResponse::NotLeader { leader: None };
        }
        let wait = Duration::from_millis(wait_ms.min(MAX_WATCH_MS));
        let _ = tokio::time::timeout(wait, committed.changed()).await;
        self.update_since(have)
    }

    fn update_since(&self, have: Index) -> ControlResponse {
        let inner = self.lock();
        let voter = &inner.voter;
        // No changes reach a voter whose disk has failed: the caller is to ask another node.
        if voter.disk_failed {
            return ControlResponse::NotLeader { leader: None };
        }
        if !voter.initialized || voter.removed {
            return ControlResponse::StateUpdate(StateUpdate::Unchanged);
        }
        let state = &voter.cluster_state;
        let update = update_since(have, state, &voter.log, voter.snapshot_index, voter.size_limits);
        ControlResponse::StateUpdate(update)
    }

    /// This node's status, for operators.
    pub fn status(&self) -> Status {
        let now = self.clock.now();
        let inner = self.lock();
        let voter = &inner.voter;
        let recent = |report: &MemberReport| now.since(report.at) < 2 * self.settings.timing.lease_ms;
        let reports = inner.reports.iter().filter(|(_, report)| recent(report));
        Status {
            cluster_state: voter.cluster_state.clone(),
            identity: voter.identity.clone(),
            leader: voter.leader(),
            initialized: voter.initialized,
            voting: voter.initialized
                && !voter.learner
                && !voter.disk_failed
                && !voter.removed
                && !voter.sync_overdue(now),
            term: voter.current_term.0,
            reports: reports.map(|(node, report)| (node.clone(), (report.index, report.revision))).collect(),
        }
    }

    /// Returns this node's state if it is the leader and may serve reads (design 2.3).
    ///
    /// # Errors
    /// This node may not serve reads; the error is the leader, if it is known.
    pub fn local_state(&self) -> Result<ClusterState, Option<VoterInfo>> {
        let inner = self.lock();
        let can_serve =
            inner.voter.can_serve_reads(self.clock.now()) || common::mutation::enabled("reads-without-lease");
        if can_serve { Ok(inner.voter.cluster_state.clone()) } else { Err(inner.voter.leader()) }
    }

    /// Index up to which this node can offer changes; 0 if none reach it since its disk has failed.
    fn known_index(&self) -> Index {
        let inner = self.lock();
        if inner.voter.disk_failed { Index(0) } else { inner.voter.commit_index() }
    }

    /// Answers one request.
    pub async fn answer(self: Arc<Self>, request: ControlRequest) -> ControlResponse {
        match request {
            ControlRequest::Consensus { from, msg } => {
                self.step(Event::Msg(from, *msg));
                ControlResponse::Done
            }
            ControlRequest::Renew { info, index, revision } => self.renew(info, index, revision),
            ControlRequest::Leave { info } => self.leave(info).await,
            ControlRequest::WatchState { have, wait_ms } => self.watch_state(have, wait_ms).await,
            ControlRequest::Propose { change } => {
                let timeout_ms = self.settings.timing.rpc_timeout_ms * PROPOSAL_TIMEOUTS;
                ControlResponse::Proposed(self.propose_here(change, timeout_ms).await)
            }
            ControlRequest::State => match self.local_state() {
                Ok(state) => ControlResponse::State(Box::new(state)),
                Err(leader) => ControlResponse::NotLeader { leader },
            },
            ControlRequest::Heartbeat { .. } => ControlResponse::HeartbeatAck { index: self.known_index() },
        }
    }
}
