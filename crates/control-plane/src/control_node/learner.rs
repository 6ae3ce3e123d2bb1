//! A control node without a disk (design 2.10): it follows the cluster as any member does, hands what it holds to the
//! nodes that ask it, and sends operators on to the leader.

use super::{ControlNode, LogWriter, LogWriterFactory, Start};
use crate::{
    consensus::{Effect, Event, Record},
    membership::LocalMember,
    storage::blank_voter,
    types::{NodeInfo, Role},
};
use common::{runtime::spawn, settings::Settings};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// A learner has nothing to write.
struct NoLog;

impl LogWriter for NoLog {
    fn write(&self, _token: u64, _record: Record) {}
}

/// What a control node without a disk starts from.
pub fn diskless_start(settings: &Settings) -> (Start, LogWriterFactory) {
    (Start::Learner(Box::new(blank_voter(settings))), Box::new(|_| Box::new(NoLog)))
}

impl ControlNode {
    /// Whether this node has no disk.
    pub fn is_learner(&self) -> bool {
        self.lock().voter.learner
    }

    /// Where an operator's call is to go instead: a learner sends it on to the leader, as far as that is known.
    pub fn leader_http_addr(&self) -> Option<SocketAddr> {
        self.lock().voter.leader().map(|leader| leader.http)
    }

    /// Keeps a learner's copy of the state at what its membership follows, and tells that of voters.
    pub(crate) fn follow_as_learner(self: &Arc<Self>, member: Arc<LocalMember>) {
        let (node, followed) = (self.clone(), member.clone());
        spawn(async move {
            let interval = Duration::from_millis(node.settings.timing.renew_interval_ms());
            let mut applied = followed.applied.subscribe();
            loop {
                let _ = tokio::time::timeout(interval, applied.changed()).await;
                node.take_followed(&followed);
            }
        });
        let mut discovered = self.discovered.subscribe();
        spawn(async move {
            while discovered.changed().await.is_ok() {
                member.note_voters(discovered.borrow_and_update().clone());
            }
        });
    }

    /// The copy is handed on only when it or the leader changed.
    fn take_followed(self: &Arc<Self>, member: &LocalMember) {
        let cluster_state = member.cluster_state.load_full();
        let leader = member.known_leader();
        let known = {
            let inner = self.lock();
            let leader = inner.voter.leader().map(|leader| leader.rpc_addr);
            (inner.voter.commit_index(), leader)
        };
        let held = !cluster_state.cluster.is_empty();
        if held && known != (cluster_state.index, leader) {
            let cluster_state = Box::new(crate::ClusterState::clone(&cluster_state));
            self.step(Event::CommittedState { cluster_state, leader });
        }
    }

    /// A leader tells control nodes that don't vote, and have been silent, who the voters are: one that has just
    /// started may know only others of its kind.
    pub(super) fn announce_voters(self: &Arc<Self>) {
        let now = self.clock.now();
        let timing = &self.settings.timing;
        let mut inner = self.lock();
        let due = now.since(inner.announced_voters) >= timing.renew_interval_ms();
        if !due || !inner.voter.can_serve_reads(now) {
            return;
        }
        inner.announced_voters = now;
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
