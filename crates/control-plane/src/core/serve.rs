//! What a core answers to other processes (design 3.1, 3.3, 3.4).

use super::{Core, Inner, Status, connectivity::Connectivity};
use crate::{
    change::{NodeInfo, VoterInfo},
    cluster_state::ClusterState,
    consensus::Event,
    rpc::{ControlRequest, ControlResponse},
    state_update,
};
use common::{Epoch, Index, Revision, log_event};
use std::{sync::Arc, time::Duration};

impl Core {
    pub(super) fn lease_timer(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut g = self.lock();
        if !g.voter.can_serve_reads(now) {
            return;
        }
        let Inner { voter, leases, .. } = &mut *g;
        let due = leases.expired_members(&voter.cluster_state, &self.set.timing, now);
        for ch in due {
            log_event!(Info, "tenure lapsed", "change" => format!("{ch:?}"));
            let effects = g.voter.step(Event::Propose(ch), now);
            self.carry_out(&mut g, effects);
        }
    }

    pub fn renew(self: &Arc<Self>, info: NodeInfo, index: Index, revision: Revision) -> ControlResponse {
        let now = self.clock.now();
        let mut g = self.lock();
        if !g.voter.can_serve_reads(now) {
            return ControlResponse::NotLeader { leader: g.voter.leader() };
        }
        g.reports.insert(info.node.clone(), (index, revision, now));
        let Inner { voter, leases, .. } = &mut *g;
        match leases.renew(&voter.cluster_state, &self.set.timing, &info, now) {
            Ok(epoch) => ControlResponse::Renewed { epoch: Epoch(epoch.0), index: voter.accepted() },
            Err(ch) => {
                if let Some(ch) = ch {
                    let effects = g.voter.step(Event::Propose(ch), now);
                    self.carry_out(&mut g, effects);
                }
                ControlResponse::Pending
            }
        }
    }

    pub async fn leave(self: &Arc<Self>, info: NodeInfo) -> ControlResponse {
        let ch = {
            let g = self.lock();
            if !g.voter.can_serve_reads(self.clock.now()) {
                return ControlResponse::NotLeader { leader: g.voter.leader() };
            }
            g.leases.leave(&g.voter.cluster_state, &info)
        };
        if let Some(ch) = ch {
            self.propose_here(ch, self.set.timing.rpc_timeout_ms).await;
        }
        ControlResponse::Done
    }

    pub async fn state_update(self: &Arc<Self>, have: Index, wait_ms: u64) -> ControlResponse {
        let mut moved = self.moved.subscribe();
        let tell = || {
            let g = self.lock();
            // It hears of nothing new: another voter does.
            if g.voter.disk_failed {
                return ControlResponse::NotLeader { leader: None };
            }
            if !g.voter.initialized || g.voter.out {
                return ControlResponse::StateUpdate(state_update::StateUpdate::Same);
            }
            ControlResponse::StateUpdate(state_update::since(
                have,
                &g.voter.cluster_state,
                &g.voter.log,
                g.voter.base,
                g.voter.room,
            ))
        };
        moved.borrow_and_update();
        let first = tell();
        if !matches!(first, ControlResponse::StateUpdate(state_update::StateUpdate::Same)) {
            return first;
        }
        // A voter that is cut off has nothing newer to wait for: others may.
        if self.connectivity() == Connectivity::CutOff {
            return ControlResponse::NotLeader { leader: None };
        }
        let _ = tokio::time::timeout(Duration::from_millis(wait_ms.min(5_000)), moved.changed()).await;
        tell()
    }

    pub fn status(&self) -> Status {
        let now = self.clock.now();
        let g = self.lock();
        let fresh = 2 * self.set.timing.lease_ms;
        Status {
            cluster_state: g.voter.cluster_state.clone(),
            me: g.voter.me.clone(),
            leader: g.voter.leader(),
            initialized: g.voter.initialized,
            voting: g.voter.initialized && !g.voter.disk_failed && !g.voter.out && !g.voter.overdue(now),
            term: g.voter.current_term.0,
            reports: g
                .reports
                .iter()
                .filter(|(_, r)| now.since(r.2) < fresh)
                .map(|(n, r)| (n.clone(), (r.0, r.1)))
                .collect(),
        }
    }

    /// The state by which reads may go, where this voter leads (design 2.3).
    pub fn state_here(&self) -> Result<ClusterState, Option<VoterInfo>> {
        let g = self.lock();
        let leased =
            g.voter.can_serve_reads(self.clock.now()) || common::runtime::broken("reads-without-lease");
        if leased { Ok(g.voter.cluster_state.clone()) } else { Err(g.voter.leader()) }
    }

    /// Up to where it can tell state updates; a voter that hears of nothing new counts as behind.
    fn known_upto(&self) -> Index {
        let g = self.lock();
        if g.voter.disk_failed { Index(0) } else { g.voter.accepted() }
    }

    pub async fn answer(self: Arc<Self>, ask: ControlRequest) -> ControlResponse {
        match ask {
            ControlRequest::Consensus { from, msg } => {
                self.step(Event::Msg(from, *msg));
                ControlResponse::Done
            }
            ControlRequest::Renew { info, index, revision } => self.renew(info, index, revision),
            ControlRequest::Leave { info } => self.leave(info).await,
            ControlRequest::WatchState { have, wait_ms } => self.state_update(have, wait_ms).await,
            ControlRequest::Propose { change } => {
                let ms = self.set.timing.rpc_timeout_ms * 4;
                ControlResponse::Proposed(self.propose_here(change, ms).await)
            }
            ControlRequest::State => match self.state_here() {
                Ok(l) => ControlResponse::State(Box::new(l)),
                Err(leader) => ControlResponse::NotLeader { leader },
            },
            ControlRequest::Heartbeat { .. } => ControlResponse::HeartbeatAck { index: self.known_upto() },
        }
    }
}
