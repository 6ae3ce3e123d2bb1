//! Faults that are drawn by the seed (design 7.1).

use super::{
    Broken,
    disk::DiskCondition,
    event::SimEvent,
    nodes::{ROUTERS, SimVoter},
    world::{DEFAULT_VOTERS, FAULTS_END_MS, World},
};
use common::Term;
use control_plane::consensus::DurableState;
use rand::Rng;

/// How a fault ends.
#[derive(Debug)]
pub enum FaultEnd {
    /// The voter's process starts.
    StartVoter(usize),
    /// These links work again.
    RestoreLinks(Vec<(usize, usize)>),
    /// The voter's disk works normally again.
    RestoreDisk(usize),
    /// The router starts as a new process.
    RestartRouter(usize),
    /// All faults end, and no more are drawn.
    AllFaults,
}

impl World {
    /// Ends a voter's process; some of its pending writes may still have reached the disk.
    pub fn crash(&mut self, voter_id: usize) {
        let node = &mut self.voters[voter_id];
        node.voter = None;
        node.starts += 1;
        let reached =
            if node.disk.pending.is_empty() { 0 } else { self.rng.random_range(0..=node.disk.pending.len()) };
        let reached = if self.broken == Some(Broken::LyingDisk) { 0 } else { reached };
        self.voters[voter_id].disk.crash(reached);
        self.proposals.retain(|k, _| k.0 != voter_id);
    }

    /// Starts a voter's process unless it runs.
    pub fn start(&mut self, voter_id: usize) {
        if self.voters[voter_id].voter.is_none() && self.voters[voter_id].deployed {
            let incarnation = self.next_id();
            let time_ms = self.time_ms;
            self.voters[voter_id].start(time_ms, incarnation);
            self.trace_line(format!("s{voter_id} starts"));
        }
    }

    /// Whether one more machine may be lost: each voter of the newest committed set runs with a complete state on a
    /// working disk, and knows of no voter outside that set.
    pub fn can_lose_a_voter(&self) -> bool {
        let initialized =
            self.voters.iter().filter_map(|node| node.voter.as_ref()).find(|node| node.initialized);
        let Some(first) = initialized.map(|node| node.cluster_state.voters.clone()) else { return false };
        let newest = self.history.newest_voters.as_ref().unwrap_or(&first);
        let holds_state = |node: &SimVoter| node.disk.durable.as_ref().is_some_and(|state| state.initialized);
        newest.iter().all(|voter| {
            self.voters.iter().filter(|node| holds_state(node)).filter_map(|node| node.voter.as_ref()).any(
                |process| {
                    process.initialized
                        && process.identity.incarnation == voter.incarnation
                        && !process.disk_failed
                        && process.voters().iter().all(|other| newest.contains(other))
                },
            )
        })
    }

    /// Draws and injects a fault, and schedules its end and the next fault.
    pub fn inject_fault(&mut self) -> Result<(), String> {
        if self.time_ms >= FAULTS_END_MS {
            self.push(0, SimEvent::EndFault(Box::new(FaultEnd::AllFaults)));
            return Ok(());
        }
        let gap = self.rng.random_range(300..4_000);
        self.push(gap, SimEvent::InjectFault);
        self.stats.faults += 1;
        let voter_id = self.rng.random_range(0..self.voters.len());
        let duration_ms = self.rng.random_range(50..6_000);
        match self.rng.random_range(0..14) {
            0 | 1 => {
                self.trace_line(format!("crash s{voter_id}"));
                self.crash(voter_id);
                self.push(duration_ms, SimEvent::EndFault(Box::new(FaultEnd::StartVoter(voter_id))));
            }
            2 => {
                self.trace_line("all voters crash".into());
                for voter_id in 0..self.voters.len() {
                    self.crash(voter_id);
                    let duration_ms = self.rng.random_range(50..2_000);
                    self.push(duration_ms, SimEvent::EndFault(Box::new(FaultEnd::StartVoter(voter_id))));
                }
            }
            3 | 4 => {
                self.trace_line(format!("freeze s{voter_id} for {duration_ms} ms"));
                self.voters[voter_id].frozen_until_ms = self.time_ms + duration_ms;
            }
            5 => {
                let router_id = self.rng.random_range(0..ROUTERS);
                self.trace_line(format!("freeze p{router_id} for {duration_ms} ms"));
                self.routers[router_id].frozen_until_ms = self.time_ms + duration_ms;
            }
            6 => {
                let peer = self.rng.random_range(0..self.voters.len());
                self.cut_for(vec![(voter_id, peer)], duration_ms, "one-way cut");
            }
            7 | 8 => {
                let pairs = (0..self.voters.len() + ROUTERS)
                    .flat_map(|peer| [(voter_id, peer), (peer, voter_id)])
                    .collect();
                self.cut_for(pairs, duration_ms, "isolated");
            }
            9 => {
                self.trace_line(format!("slow disk s{voter_id} for {duration_ms} ms"));
                self.voters[voter_id].disk.condition = DiskCondition::Slow;
                self.push(duration_ms, SimEvent::EndFault(Box::new(FaultEnd::RestoreDisk(voter_id))));
            }
            10 => {
                self.trace_line(format!("stalled disk s{voter_id} for {duration_ms} ms"));
                self.voters[voter_id].disk.condition = DiskCondition::Stalled;
                self.push(duration_ms, SimEvent::EndFault(Box::new(FaultEnd::RestoreDisk(voter_id))));
            }
            11 if self.rng.random_bool(0.5) => {
                self.trace_line(format!("failing disk s{voter_id}, new process in {duration_ms} ms"));
                self.voters[voter_id].disk.condition = DiskCondition::Failing;
                self.push(duration_ms, SimEvent::EndFault(Box::new(FaultEnd::StartVoter(voter_id))));
            }
            11 => {
                self.trace_line(format!("planned stop of s{voter_id}"));
                self.voter_step(voter_id, control_plane::consensus::Event::StepDown)?;
                if self.rng.random_bool(0.7) {
                    self.crash(voter_id);
                    self.push(duration_ms, SimEvent::EndFault(Box::new(FaultEnd::StartVoter(voter_id))));
                }
            }
            12 => self.lose_disks(voter_id, duration_ms),
            13 => self.replace(voter_id, duration_ms),
            _ => {
                let router_id = self.rng.random_range(0..ROUTERS);
                self.trace_line(format!("restart p{router_id}"));
                self.push(duration_ms, SimEvent::EndFault(Box::new(FaultEnd::RestartRouter(router_id))));
            }
        }
        Ok(())
    }

    /// Cuts directed links for a while.
    fn cut_for(&mut self, pairs: Vec<(usize, usize)>, duration_ms: u64, fault: &str) {
        self.trace_line(format!("{fault}: {:?} for {duration_ms} ms", pairs.first()));
        self.cut_links.extend(pairs.iter().copied());
        self.push(duration_ms, SimEvent::EndFault(Box::new(FaultEnd::RestoreLinks(pairs))));
    }

    /// Loses a voter's disk, and sometimes a second one where the cluster can survive that.
    fn lose_disks(&mut self, voter_id: usize, duration_ms: u64) {
        if !self.can_lose_a_voter() || !self.voters[voter_id].deployed {
            return;
        }
        // A cluster of more than three voters survives the loss of two disks at once.
        let other = (voter_id + 1) % self.voters.len();
        if self.voters.len() > DEFAULT_VOTERS + 1 && self.voters[other].deployed && self.rng.random_bool(0.5)
        {
            self.lose_one_disk(other, duration_ms / 2);
        }
        self.lose_one_disk(voter_id, duration_ms);
    }

    /// Replaces a voter's disk by a blank one while its process is down.
    fn lose_one_disk(&mut self, voter_id: usize, duration_ms: u64) {
        self.trace_line(format!("s{voter_id} loses its disk"));
        self.voters[voter_id].disk_lost = true;
        let durable = self.voters[voter_id].disk.durable.clone();
        self.crash(voter_id);
        self.voters[voter_id].disk.wipe();
        if let (Some(Broken::VotesAfterDiskLoss), Some(image)) =
            (self.broken, durable.filter(|image| image.initialized))
        {
            let cluster_state =
                control_plane::ClusterState::bootstrapped("sim", image.cluster_state.voters.clone());
            let blank_image = DurableState {
                current_term: Term(0),
                log_term: Term(0),
                cluster_state,
                entries: Vec::new(),
                ..image
            };
            self.voters[voter_id].disk.durable = Some(blank_image);
        }
        self.push(duration_ms, SimEvent::EndFault(Box::new(FaultEnd::StartVoter(voter_id))));
    }

    /// Replaces a machine by the spare one, with a blank disk and another address. The old one comes back later.
    fn replace(&mut self, voter_id: usize, duration_ms: u64) {
        let spare = self.voters.len() - 1;
        if !self.can_lose_a_voter() || self.voters[spare].deployed || voter_id == spare {
            return;
        }
        self.trace_line(format!("s{voter_id} is gone, an empty s{spare} comes up at another address"));
        self.crash(voter_id);
        self.voters[spare].deployed = true;
        self.push(200, SimEvent::EndFault(Box::new(FaultEnd::StartVoter(spare))));
        self.push(6_000 + 2 * duration_ms, SimEvent::EndFault(Box::new(FaultEnd::StartVoter(voter_id))));
    }

    /// Ends a fault.
    pub fn end_fault(&mut self, end: FaultEnd) -> Result<(), String> {
        match end {
            FaultEnd::StartVoter(voter_id) => {
                // A process with a failed disk is restarted by the platform.
                if self.voters[voter_id].voter.as_ref().is_some_and(|process| process.disk_failed)
                    || self.voters[voter_id].disk.condition == DiskCondition::Failing
                {
                    self.crash(voter_id);
                }
                self.start(voter_id);
            }
            FaultEnd::RestoreLinks(pairs) => self.cut_links.retain(|p| !pairs.contains(p)),
            FaultEnd::RestoreDisk(voter_id) => self.voters[voter_id].disk.condition = DiskCondition::Healthy,
            FaultEnd::RestartRouter(router_id) => {
                let incarnation = self.next_id();
                let clock = self.routers[router_id].clock;
                self.routers[router_id] = super::nodes::SimRouter::new(router_id, incarnation, clock);
            }
            FaultEnd::AllFaults => {
                self.trace_line("all faults end".into());
                self.cut_links.clear();
                for voter_id in 0..self.voters.len() {
                    self.voters[voter_id].frozen_until_ms = 0;
                    if self.voters[voter_id].disk.condition == DiskCondition::Failing {
                        self.crash(voter_id);
                    }
                    self.voters[voter_id].disk.condition = DiskCondition::Healthy;
                    self.start(voter_id);
                }
                self.routers.iter_mut().for_each(|router| router.frozen_until_ms = 0);
                self.faults_ended_at_ms = Some(self.time_ms);
            }
        }
        Ok(())
    }
}
