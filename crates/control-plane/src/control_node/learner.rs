//! A control node without a disk, a learner (design 2.10): it does not vote, follows the cluster state as any member
//! does, passes it on to nodes that ask, and redirects operators to the leader.

use super::{ControlNode, LogWriter, LogWriterFactory, Start};
use crate::{
    consensus::{Effect, Event, Record},
    membership::LocalMember,
    storage::blank_voter,
    types::{NodeInfo, Role},
};
use common::{runtime::spawn, settings::Settings};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Discards records: a learner has none to write.
struct NoLog;

impl LogWriter for NoLog {
    fn write(&self, _token: u64, _record: Record) {}
}

/// Start and log writer of a control node without a disk.
pub fn diskless_start(settings: &Settings) -> (Start, LogWriterFactory) {
    (Start::Learner(Box::new(blank_voter(settings))), Box::new(|_| Box::new(NoLog)))
}

impl ControlNode {
    /// Whether this node is a learner: it has no disk and does not vote.
    pub fn is_learner(&self) -> bool {
        self.lock().voter.learner
    }

    /// HTTP address of the leader, if it is known: a learner redirects operators to it.
    pub fn leader_http_addr(&self) -> Option<SocketAddr> {
        self.lock().voter.leader().map(|leader| leader.http)
    }

    /// Keeps a learner's copy of the state equal to that of its membership, and passes the addresses of voters that it
    /// discovers to the membership.
    pub(crate) fn follow_as_learner(self: &Arc<Self>, member: Arc<LocalMember>) {
        let (node, followed) = (self.clone(), member.clone());
        spawn(async move {
            let interval = Duration::from_millis(node.settings.timing.renew_interval_ms());
            let mut applied = followed.applied.subscribe();
            loop {
                let _ = tokio::time::timeout(interval, applied.changed()).await;
                node.update_from_member(&followed);
            }
        });
        let mut discovered = self.discovered.subscribe();
        spawn(async move {
            while discovered.changed().await.is_ok() {
                member.note_voters(discovered.borrow_and_update().clone());
            }
        });
    }

    /// Passes the membership's copy of the state and its leader to the voter if one of them has changed.
    fn update_from_member(self: &Arc<Self>, member: &LocalMember) {
        let cluster_state = member.cluster_state.load_full();
        let leader = member.known_leader();
        let known = {
            let inner = self.lock();
            let leader = inner.voter.leader().map(|leader| leader.rpc_addr);
            (inner.voter.commit_index(), leader)
        };
        let received = !cluster_state.cluster.is_empty();
        if received && known != (cluster_state.index, leader) {
            let cluster_state = Box::new(crate::ClusterState::clone(&cluster_state));
            self.step(Event::CommittedState { cluster_state, leader });
        }
    }

    /// As the leader, sends the list of voters to learners that have not renewed for a while: one that has just
    /// started may know only the addresses of other learners.
    pub(super) fn announce_voters(self: &Arc<Self>) {
        let now = self.clock.now();
        let timing = &self.settings.timing;
        let mut inner = self.lock();
        let due = now.since(inner.voters_announced_at) >= timing.renew_interval_ms();
        if !due || !inner.voter.can_serve_reads(now) {
            return;
        }
        inner.voters_announced_at = now;
        let state = &inner.voter.cluster_state;
        let votes = |info: &NodeInfo| state.voters.iter().any(|voter| voter.rpc_addr == info.rpc_addr);
        let silent = inner.leases.silent_members(state, timing, now);
        let infos = silent.iter().filter_map(|node| state.members.get(node)).map(|member| &member.info);
        let learners = infos.filter(|info| info.role == Role::Control && !votes(info));
        let mut effects: Vec<Effect> = Vec::new();
        for info in learners {
            inner.voter.send_membership(info.rpc_addr, &mut effects);
        }
        self.carry_out(&mut inner, effects);
    }
}
