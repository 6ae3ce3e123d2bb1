//! Committed entries, member leases, routers and singleton roles in the simulated world (design 7.1).

use super::{
    Broken,
    event::SimEvent,
    nodes::{MAX_MESSAGE_BYTES, check_fits, timing},
    world::{END_MS, PROPAGATION_LIMIT_MS, World},
};
use common::{Epoch, FencingToken, Index, NodeId, Revision, Tick};
use control_plane::{
    ApplyOutcome, Change,
    consensus::Event,
    membership::Renewal,
    state_machine::singleton,
    state_machine::state_update::{self, InstallResult, StateUpdate},
    types::{LogEntry, NodeInfo},
};
use rand::Rng;

/// The singleton role that the routers act on.
const SINGLETON_ROLE: &str = "lender/north";

impl World {
    /// A voter committed an entry: records it, and tells its operator the outcome.
    pub fn on_committed(
        &mut self,
        voter_id: usize,
        entry: &LogEntry,
        outcome: &ApplyOutcome,
    ) -> Result<(), String> {
        let is_first_commit = self.history.record_commit(entry, outcome)?;
        self.client_outcome(voter_id, entry, outcome)?;
        if is_first_commit {
            self.stats.accepted += 1;
            if self.time_ms + PROPAGATION_LIMIT_MS <= END_MS {
                self.required_revision = self.history.newest_document.0;
            }
            match &entry.change {
                Change::ReplaceVoter(voter) => self.record_replacement(voter_id, voter),
                Change::Expire { node, incarnation, .. } => {
                    self.stats.expirations += 1;
                    let router = self
                        .routers
                        .iter()
                        .find(|router| router.info.node == *node && router.info.incarnation == *incarnation);
                    if let Some(router) =
                        router.filter(|router| router.lease.valid(router.clock.at(self.time_ms)))
                    {
                        return Err(format!("{} expired while it holds its lease", router.info.node));
                    }
                }
                _ => {}
            }
            if let Some(faults_ended_at_ms) =
                self.faults_ended_at_ms.filter(|_| self.stats.recovery_ms == 0 && entry.change.op().is_some())
            {
                self.stats.recovery_ms = (self.time_ms - faults_ended_at_ms).max(1);
            }
        }
        if let Some(proposal) = self.proposals.remove(&(voter_id, entry.index))
            && proposal.starts == self.voters[proposal.voter].starts
        {
            if proposal.change != entry.change {
                self.stats.undetermined += 1;
                return Ok(());
            }
            match outcome {
                ApplyOutcome::Accepted { .. } => {
                    self.stats.reported_accepted += 1;
                    if self.broken != Some(Broken::AcceptedBeforeCommit) {
                        self.history.report_accepted(&proposal.op, entry.index, &proposal.change)?;
                    }
                }
                ApplyOutcome::Conflict { .. } => {
                    self.stats.reported_conflict += 1;
                    self.history.reported_refused.insert(proposal.op, ());
                }
                ApplyOutcome::Rejected { .. } => self.stats.reported_refused += 1,
            }
        }
        Ok(())
    }

    /// The leader proposes to drop the members whose lease must have expired.
    pub fn expire(&mut self, voter_id: usize) -> Result<(), String> {
        let time_ms = self.time_ms;
        let node = &mut self.voters[voter_id];
        let now = node.clock.at(time_ms);
        let Some(voter) =
            node.voter.as_ref().filter(|x| x.can_serve_reads(now) && node.frozen_until_ms <= time_ms)
        else {
            return Ok(());
        };
        let due = node.leases.expired_members(&voter.cluster_state, &timing(), now);
        due.into_iter().try_for_each(|change| self.voter_step(voter_id, Event::Propose(change)))
    }

    /// A router renews its lease, asks for newer state, and acts on the singleton role if it holds that.
    pub fn router_timer(&mut self, router_id: usize) -> Result<(), String> {
        self.push(100, SimEvent::RouterTimer(router_id));
        let time_ms = self.time_ms;
        if self.routers[router_id].frozen_until_ms > time_ms {
            return Ok(());
        }
        let now = self.routers[router_id].clock.at(time_ms);
        if time_ms >= self.routers[router_id].next_renewal_ms {
            self.routers[router_id].next_renewal_ms = time_ms + timing().renew_interval_ms();
            let voter = self.routers[router_id].first_voter % self.voters.len();
            self.routers[router_id].first_voter = self.rng.random_range(0..self.voters.len());
            let info = self.routers[router_id].info.clone();
            let voters = self.voters.len();
            for voter in (0..voters - 1).map(|n| (voter + n) % voters) {
                if let Some(delay_ms) = self.transit(self.voters.len() + router_id, voter) {
                    let info = info.clone();
                    self.push(delay_ms, SimEvent::Renew { voter, router: router_id, info, sent: now });
                }
            }
        }
        let voter = self.rng.random_range(0..self.voters.len());
        if let Some(delay_ms) = self.transit(self.voters.len() + router_id, voter) {
            let have = self.routers[router_id].cluster_state.index;
            self.push(delay_ms, SimEvent::RequestUpdate { voter, router: router_id, have });
        }
        // The holder acts while its lease is valid, but the action may arrive after the lease ended.
        let router = &self.routers[router_id];
        let own_role = singleton::holder_of(&router.cluster_state, SINGLETON_ROLE, None)
            .filter(|role| role.holder.info == router.info);
        if let Some(role) = own_role.filter(|_| router.lease.valid(now)) {
            let delay_ms = self.rng.random_range(1..400);
            let node = self.routers[router_id].info.node.clone();
            self.push(delay_ms, SimEvent::SingletonAction { fencing_token: role.fencing_token, node });
        }
        Ok(())
    }

    /// A voter answers a lease renewal, if it is the leader.
    pub fn renew_lease(
        &mut self,
        voter_id: usize,
        router_id: usize,
        info: NodeInfo,
        sent: Tick,
    ) -> Result<(), String> {
        let time_ms = self.time_ms;
        let node = &mut self.voters[voter_id];
        let now = node.clock.at(time_ms);
        let Some(voter) =
            node.voter.as_ref().filter(|x| x.can_serve_reads(now) && node.frozen_until_ms <= time_ms)
        else {
            return Ok(());
        };
        match node.leases.renew(&voter.cluster_state, &timing(), &info, now) {
            Renewal::Extended(epoch) => {
                if let Some(delay_ms) = self.transit(voter_id, self.voters.len() + router_id) {
                    self.push(
                        delay_ms,
                        SimEvent::Renewed { router: router_id, incarnation: info.incarnation.0, epoch, sent },
                    );
                }
                Ok(())
            }
            Renewal::Pending(Some(change)) => self.voter_step(voter_id, Event::Propose(change)),
            Renewal::Pending(None) => Ok(()),
        }
    }

    /// A router extends its lease, counted from when it sent the renewal.
    pub fn extend_lease(
        &mut self,
        router_id: usize,
        incarnation: u64,
        epoch: Epoch,
        sent: Tick,
    ) -> Result<(), String> {
        let from_answer = self.broken == Some(Broken::LeaseFromAnswer);
        let router = &mut self.routers[router_id];
        if router.info.incarnation.0 == incarnation {
            let now = router.clock.at(self.time_ms);
            router.lease.extend(epoch, if from_answer { now } else { sent }, &timing());
        }
        Ok(())
    }

    /// A voter sends a router what it lacks after the index `have`.
    pub fn send_update(&mut self, voter_id: usize, router_id: usize, have: Index) -> Result<(), String> {
        let Some(voter) = self.voters[voter_id]
            .voter
            .as_ref()
            .filter(|s| s.initialized && self.voters[voter_id].frozen_until_ms <= self.time_ms)
        else {
            return Ok(());
        };
        let always_snapshot = self.broken == Some(Broken::OlderSnapshotsInstalled);
        let state_update = if always_snapshot {
            StateUpdate::Snapshot(Box::new(voter.cluster_state.clone()))
        } else {
            state_update::update_since(
                have,
                &voter.cluster_state,
                &voter.log,
                voter.snapshot_index,
                voter.size_limits,
            )
        };
        check_fits("a state update", &state_update, MAX_MESSAGE_BYTES)?;
        if let Some(delay_ms) = self.transit(voter_id, self.voters.len() + router_id) {
            self.push(
                delay_ms,
                SimEvent::StateUpdate { router: router_id, state_update: Box::new(state_update) },
            );
        }
        Ok(())
    }

    /// A router installs a state update; its state never goes back.
    pub fn install_update(&mut self, router_id: usize, state_update: StateUpdate) -> Result<(), String> {
        let router = &mut self.routers[router_id];
        let before = (router.cluster_state.index, router.cluster_state.revision);
        if let (Some(Broken::OlderSnapshotsInstalled), StateUpdate::Snapshot(snapshot)) =
            (self.broken, &state_update)
        {
            router.cluster_state = (**snapshot).clone();
        } else {
            let mut state = router.cluster_state.clone();
            if state_update::install(&mut state, "sim", state_update) == InstallResult::Advanced {
                router.cluster_state = state;
            }
        }
        let after: (Index, Revision) = (router.cluster_state.index, router.cluster_state.revision);
        if after.0 < before.0 || after.1 < before.1 {
            return Err(format!("{} went back from {before:?} to {after:?}", router.info.node));
        }
        Ok(())
    }

    /// The receiver of an action on the singleton role checks its fencing token.
    pub fn singleton_action(&mut self, fencing_token: FencingToken, node: NodeId) -> Result<(), String> {
        let accepted = self.fencing_tokens.check(SINGLETON_ROLE, fencing_token).is_ok()
            || self.broken == Some(Broken::NoFencing);
        if accepted { self.history.record_action(fencing_token, &node) } else { Ok(()) }
    }
}
