//! Keeps a node's copy of the cluster state up to date by long polls to the voters (design 3.3).

use super::{LocalMember, local_member::VoterAddr};
use crate::{
    rpc::{ControlRequest, ControlResponse},
    state_machine::{
        ClusterState,
        state_update::{self, InstallResult, StateUpdate},
    },
};
use common::{Index, PeerError, lock, log_event};
use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

impl LocalMember {
    /// Follows the cluster state for as long as the node runs; pauses for a heartbeat when no voter answered. Asks for
    /// at most one update in each heartbeat: while many nodes join, each answer would bring one of them to all others.
    pub(super) async fn keep_following(self: Arc<Self>) {
        let heartbeat_ms = self.settings.timing.heartbeat_ms();
        loop {
            let began = self.clock.now();
            let pause_ms = match self.fetch_update().await {
                true => heartbeat_ms.saturating_sub(self.clock.now().since(began)),
                false => heartbeat_ms,
            };
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Voters in the order in which they are asked for an update: those in this node's zone first, and those that did not
    /// answer a moment ago last, since each call to a silent one takes its whole timeout.
    fn voters_for_updates(&self) -> Vec<VoterAddr> {
        let mut voters = self.voters();
        {
            let (silent, now) = (lock(&self.silent_voters), self.clock.now());
            voters.sort_by_key(|voter| (!silent.is_available(&voter.addr, now), !voter.same_zone));
        }
        // The leader has every announced index; a voter that is cut off from the others may not.
        let behind = !lock(&self.announced).is_empty();
        if let Some(leader) = self.known_leader().filter(|_| behind) {
            voters.sort_by_key(|voter| voter.addr != leader);
        }
        voters
    }

    /// Asks one voter after the other for an update until one answers. Returns whether one did.
    async fn fetch_update(&self) -> bool {
        let voters = self.voters_for_updates();
        for voter in voters {
            match self.request_update(voter.addr).await {
                Ok(ControlResponse::StateUpdate(update)) => {
                    lock(&self.silent_voters).succeed(&voter.addr);
                    // A voter that is behind this node has nothing for it; another voter may.
                    let unchanged = matches!(update, StateUpdate::Unchanged);
                    if unchanged && self.is_ahead_of(voter.addr).await {
                        continue;
                    }
                    let _ = self.install(update, &voter.addr.to_string());
                    return true;
                }
                Ok(_) => {}
                Err(e) => {
                    let backoff_ms = self.settings.timing.lease_ms;
                    lock(&self.silent_voters).fail(voter.addr, self.clock.now(), backoff_ms);
                    log_event!(Debug, e.step, "peer" => e.peer, "cause" => e.cause());
                }
            }
        }
        false
    }

    async fn request_update(&self, to: SocketAddr) -> Result<ControlResponse, PeerError> {
        let gap = self.gap.swap(false, Ordering::AcqRel);
        let have = if gap { Index(0) } else { self.cluster_state.load().index };
        let wait_ms = self.settings.timing.renew_interval_ms();
        let timeout_ms = wait_ms + self.settings.timing.rpc_timeout_ms;
        let request = ControlRequest::WatchState { have, wait_ms };
        self.control.call_within(timeout_ms, "watch state", to, request).await
    }

    /// Whether this node's copy is newer than what a voter that sent no changes can offer. Index 0 means that the
    /// voter receives no changes itself.
    async fn is_ahead_of(&self, voter: SocketAddr) -> bool {
        let have = self.cluster_state.load().index;
        let request = ControlRequest::Heartbeat { index: have };
        match self.control.call("heartbeat", voter, request).await {
            Ok(ControlResponse::HeartbeatAck { index }) => index < have || index == Index(0),
            _ => true,
        }
    }

    /// Applies an update from a voter or another member to this node's copy of the cluster state.
    pub fn install(&self, update: StateUpdate, from: &str) -> InstallResult {
        let mut state = ClusterState::clone(&self.cluster_state.load());
        let of_operator = update.may_hold_operator_change();
        let result = state_update::install(&mut state, &self.settings.cluster, update);
        match &result {
            InstallResult::Advanced => {
                let index = state.index;
                self.cluster_state.store(Arc::new(state));
                lock(&self.announced).retain(|(announced, _)| *announced > index);
                self.applied.send_replace(index);
                if of_operator {
                    self.operator_change.notify_one();
                }
            }
            InstallResult::Gap => {
                self.gap.store(true, Ordering::Release);
                let cause = "changes before this update are missing here; a snapshot is requested next";
                log_event!(Warn, "state update", "peer" => from, "cause" => cause);
            }
            InstallResult::Rejected(why) => {
                log_event!(Warn, "state update", "peer" => from, "cause" => why.to_string());
            }
            InstallResult::Unchanged => {}
        }
        result
    }
}
