//! The states from which searches start, each produced by a run without faults, and their budgets.

use super::{
    history::Violation,
    variant::Variant,
    world::{Action, Budget, Packet, VOTERS, World},
};
use common::{Tick, settings::Timing};
use control_plane::consensus::{Message, VoterRole};

/// How much a run without faults advances the clock in each step, in milliseconds.
const STEP_MS: u64 = 50;
/// Maximum duration of a run without faults, in milliseconds of virtual time.
pub const MAX_RUN_MS: u64 = 20_000;

/// A state from which a search starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Three blank machines that bootstrap a cluster.
    Bootstrap,
    /// Three voters without a leader, shortly before their election timeouts.
    FirstElection,
    /// A leader with one committed change; two more changes have the same base.
    RacingChanges,
    /// Only the leader has logged a change; elections follow.
    LoggedOnlyByLeader,
    /// A follower has logged a change that the leader has not committed yet; a voter may be lost.
    HalfReplicated,
    /// The followers' last replies to the leader are so old that its lease is about to end.
    LeaseEnds,
    /// A voter restarts right after it replied to the leader.
    Restart,
    /// A voter's disk was wiped; its join request has reached the leader.
    WipedVoterJoins,
    /// The replacement of the wiped voter is logged, but not committed.
    ReplacementLogged,
    /// A voter stays silent, and the spare asks to take its place.
    SpareTakesPlace,
    /// Like `SpareTakesPlace`, but the silent voter has returned: its reply to the leader is in flight.
    ReplacedVoterReturns,
    /// The spare has replaced a silent voter, which returns, doesn't know of it, and starts an election.
    ReplacedVoterCampaigns,
    /// The wiped voter has become a voter again; another loss follows immediately.
    SecondLoss,
    /// Only the leader has logged a replacement. Then the third voter's disk is lost, and the silent voter returns.
    LossDuringReplacement,
    /// A replacement is committed, but the new voter has no state yet. Then the third voter's disk is lost, and the
    /// leader has lost contact with all others.
    LossAfterAdmission,
    /// Five voters and a spare: the leader and one follower have logged the replacement of a silent voter. Then the
    /// two others lose their disks, and the silent voter returns.
    TwoLossesDuringReplacement,
    /// The same, and then the leader and the follower restart.
    TwoLossesAndRestartDuringReplacement,
    /// Five voters and a spare that is known to them; disks are lost in the course of the search.
    SpareWaits,
    /// A follower has not heard from the leader for its election timeout and starts an election, while the others
    /// have a leader.
    FollowerOutOfContact,
    /// The votes for a new leader are sent, while messages of the old leader are still in flight.
    OldTermMessages,
}

impl Scenario {
    /// The budget of a search over all interleavings.
    pub fn budget(self) -> Budget {
        let none = Budget::default();
        match self {
            Self::Bootstrap => Budget { heartbeats: 2, wipes: 1, ..none },
            Self::FirstElection => Budget { deadlines: 3, slow_writes: 1, crashes: 1, ..none },
            Self::RacingChanges => Budget { deadlines: 3, proposals: 3, step_downs: 1, ..none },
            Self::LoggedOnlyByLeader => {
                Budget { deadlines: 4, proposals: 1, crashes: 1, duplicates: 1, ..none }
            }
            Self::HalfReplicated => Budget { deadlines: 4, wipes: 1, slow_writes: 1, ..none },
            Self::LeaseEnds => Budget { deadlines: 6, heartbeats: 1, proposals: 1, ..none },
            Self::Restart => Budget { deadlines: 4, crashes: 2, heartbeats: 1, ..none },
            Self::WipedVoterJoins => Budget { deadlines: 3, crashes: 1, proposals: 1, ..none },
            Self::ReplacementLogged => Budget { deadlines: 4, crashes: 1, slow_writes: 1, ..none },
            Self::SpareTakesPlace => Budget { deadlines: 4, crashes: 1, heartbeats: 1, ..none },
            Self::ReplacedVoterReturns => Budget { deadlines: 1, heartbeats: 1, ..none },
            Self::LossDuringReplacement => Budget { deadlines: 4, duplicates: 1, ..none },
            Self::LossAfterAdmission => Budget { deadlines: 4, duplicates: 1, slow_writes: 1, ..none },
            Self::TwoLossesDuringReplacement | Self::TwoLossesAndRestartDuringReplacement => {
                Budget { deadlines: 4, crashes: 1, ..none }
            }
            Self::SpareWaits => Budget { deadlines: 3, wipes: 2, proposals: 1, ..none },
            Self::FollowerOutOfContact => Budget { deadlines: 1, crashes: 1, ..none },
            Self::OldTermMessages => Budget { deadlines: 1, crashes: 1, duplicates: 1, ..none },
            Self::ReplacedVoterCampaigns => Budget { deadlines: 2, ..none },
            Self::SecondLoss => Budget { deadlines: 4, wipes: 1, proposals: 1, ..none },
        }
    }

    /// The budget of a scheduled run. A scenario that starts with two losses gets no more.
    pub fn budget_of_deviations(self) -> Budget {
        let (crashes, wipes) = match self {
            Self::LossDuringReplacement | Self::LossAfterAdmission => (0, 0),
            Self::TwoLossesDuringReplacement | Self::TwoLossesAndRestartDuringReplacement => (2, 0),
            Self::SpareWaits => (2, 2),
            _ => (2, 1),
        };
        Budget {
            crashes,
            wipes,
            slow_writes: 1,
            duplicates: 1,
            step_downs: 1,
            proposals: 2,
            ..Budget::default()
        }
    }

    /// The start of a cluster with three voters.
    pub fn start(self, variant: Option<Variant>) -> Result<World, Violation> {
        self.start_with(VOTERS, variant)
    }

    /// The start of a cluster with `size` voters, with its budget. A cluster that is to be bootstrapped always has
    /// three.
    pub fn start_with(self, size: usize, variant: Option<Variant>) -> Result<World, Violation> {
        let mut world = match self {
            Self::Bootstrap => World::blank(variant),
            _ => World::bootstrapped(size, variant),
        };
        self.prepare(&mut world)?;
        world.budget = self.budget();
        Ok(world)
    }

    /// Runs a new cluster up to the scenario's start.
    fn prepare(self, world: &mut World) -> Result<(), Violation> {
        let election_timeout = Timing::default().election_timeout_ms();
        if self == Self::Bootstrap {
            return Ok(());
        }
        if self == Self::FirstElection {
            world.now = world.now + election_timeout;
            return Ok(());
        }
        world.run_until_idle(&[], |world| world.leader().is_some())?;
        world.propose_to_leader(0)?;
        world.run_until_idle(&[], |world| world.all_committed(&world.first_voters()))?;
        world.packets.clear();
        let leader = world.leader().ok_or("no leader")?;
        let follower = (leader + 1) % world.size;
        match self {
            Self::Bootstrap | Self::FirstElection | Self::LeaseEnds => {}
            Self::RacingChanges => world.changes = changes(1, &["c", "d"]),
            Self::LoggedOnlyByLeader => {
                world.changes = changes(1, &["c", "d"]);
                world.propose_to_leader(0)?;
                world.packets.clear();
                world.now = world.now + election_timeout;
            }
            Self::HalfReplicated => {
                world.changes = changes(1, &["c", "d"]);
                world.propose_to_leader(0)?;
                world.deliver_first(follower, |message| matches!(message, Message::Append { .. }))?;
                world.packets.retain(|packet| packet.value.to == leader);
            }
            Self::Restart => {
                world.crash(follower, 0);
                world.restart(follower);
            }
            Self::WipedVoterJoins | Self::ReplacementLogged | Self::SecondLoss => {
                world.changes = changes(1, &["c", "d"]);
                world.wipe(follower);
                world.restart(follower);
                let logged = |world: &World| world.has_logged(leader);
                match self {
                    Self::WipedVoterJoins => world.run_until_join_request(leader)?,
                    Self::ReplacementLogged => {
                        world.run_until(&[], logged)?;
                    }
                    _ => {
                        world.run_until_idle(&[], |world| {
                            world.all_voters_have_state() && world.all_committed(&world.first_voters())
                        })?;
                        world.packets.clear();
                    }
                }
            }
            Self::SpareTakesPlace | Self::ReplacedVoterReturns => {
                world.crash(follower, 0);
                world.restart(world.size);
                world.run_until_spare_asks_to_join(follower)?;
                if self == Self::ReplacedVoterReturns {
                    world.restart(follower);
                    world.now = world.now + Timing::default().heartbeat_ms();
                    *world = world.after(Action::Wakeup { machine: leader, slow: false })?;
                    world.deliver_first(follower, |message| matches!(message, Message::Append { .. }))?;
                }
            }
            Self::ReplacedVoterCampaigns => {
                let other_follower = (leader + 2) % world.size;
                world.crash(follower, 0);
                world.restart(world.size);
                let replaced = |world: &World| {
                    world.is_voter(world.size) && world.all_committed(&[leader, other_follower, world.size])
                };
                world.run_until_idle(&[follower], replaced)?;
                world.crash(leader, 0);
                world.crash(world.size, 0);
                world.restart(follower);
                world.run_until_pre_vote(follower)?;
            }
            Self::LossDuringReplacement => {
                let third = (leader + 2) % world.size;
                world.crash(follower, 0);
                world.restart(world.size);
                world.run_until_spare_asks_to_join(follower)?;
                let logged = |world: &World| world.has_logged(leader);
                world.run_until(&[follower], logged)?;
                world.packets.clear();
                world.wipe(third);
                world.restart(third);
                world.restart(follower);
            }
            Self::LossAfterAdmission => {
                let third = (leader + 2) % world.size;
                world.crash(follower, 0);
                world.restart(world.size);
                world.run_until_spare_asks_to_join(follower)?;
                let admitted = |world: &World| {
                    let spare = world.machine(world.size).disk.synced.identity.incarnation;
                    world.history.value.voters.iter().any(|voter| voter.incarnation == spare)
                };
                world.run_until(&[follower], admitted)?;
                world.packets.clear();
                world.wipe(third);
                world.restart(third);
                world.now = world.now + 2 * election_timeout;
                *world = world.after(Action::Wakeup { machine: leader, slow: false })?;
                world.packets.clear();
            }
            Self::TwoLossesDuringReplacement | Self::TwoLossesAndRestartDuringReplacement => {
                let (third, fourth, fifth) =
                    ((leader + 2) % world.size, (leader + 3) % world.size, (leader + 4) % world.size);
                world.crash(follower, 0);
                world.restart(world.size);
                world.run_until_spare_asks_to_join(follower)?;
                let logged = |world: &World| world.has_logged(leader);
                world.run_until(&[follower], logged)?;
                let is_append = |message: &Message| matches!(message, Message::Append { .. });
                world.packets.retain(|packet| packet.value.to == third && is_append(&packet.value.message));
                while !world.packets.is_empty() && !world.has_logged(third) {
                    world.deliver_first(third, is_append)?;
                    world.packets.retain(|packet| packet.value.to == third);
                }
                if !world.has_logged(third) {
                    return Err("the follower has not logged the replacement".into());
                }
                world.packets.clear();
                for lost in [fourth, fifth] {
                    world.wipe(lost);
                    world.restart(lost);
                }
                world.restart(follower);
                if self == Self::TwoLossesAndRestartDuringReplacement {
                    for restarted in [leader, third] {
                        world.crash(restarted, 0);
                        world.restart(restarted);
                    }
                }
            }
            Self::SpareWaits => {
                world.restart(world.size);
                world.run_until_join_request(leader)?;
                world.packets.clear();
                world.changes = changes(1, &["c", "d"]);
            }
            Self::FollowerOutOfContact => {
                world.run_until_pre_vote((leader + 2) % world.size)?;
            }
            Self::OldTermMessages => {
                world.changes = changes(1, &["c", "d"]);
                world.propose_to_leader(0)?;
                let old_packets = std::mem::take(&mut world.packets);
                let is_vote = |message: &Message| matches!(message, Message::Vote { .. });
                world.run_until(&[leader], |world| {
                    world.packets.iter().any(|packet| is_vote(&packet.value.message))
                })?;
                old_packets.into_iter().for_each(|packet| world.add_packet(packet));
            }
        }
        Ok(())
    }
}

fn changes(base: u64, operations: &[&str]) -> std::sync::Arc<Vec<control_plane::Change>> {
    let texts = operations.iter().enumerate();
    let change = |(n, operation): (usize, &&str)| super::world::apply(operation, base, &"x".repeat(n + 5));
    std::sync::Arc::new(texts.map(change).collect())
}

impl World {
    /// The leader that can serve reads, if there is one.
    pub fn leader(&self) -> Option<usize> {
        (0..self.machines.len()).find(|n| self.voter(*n).is_some_and(|voter| voter.can_serve_reads(self.now)))
    }

    /// The machines that are the voters of a new cluster.
    fn first_voters(&self) -> Vec<usize> {
        (0..self.size).collect()
    }

    /// Whether these machines have committed the newest change, and there is one.
    fn all_committed(&self, machines: &[usize]) -> bool {
        let newest = self.history.value.newest();
        machines.iter().all(|n| self.voter(*n).is_some_and(|voter| voter.commit_index() == newest))
            && newest.0 > 0
    }

    /// Whether a machine is a voter and all voters have their states.
    fn is_voter(&self, machine: usize) -> bool {
        let identity = self.machine(machine).disk.synced.identity.incarnation;
        self.all_voters_have_state()
            && self.history.value.voters.iter().any(|info| info.incarnation == identity)
    }

    /// Whether a voter has logged an entry that it doesn't know to be committed.
    fn has_logged(&self, machine: usize) -> bool {
        self.voter(machine).is_some_and(|voter| voter.last_index() > voter.commit_index())
    }

    /// Runs with one machine cut off until its pre-vote request is in flight.
    fn run_until_pre_vote(&mut self, machine: usize) -> Result<(), Violation> {
        let is_request =
            |packet: &Packet| matches!(packet.message, Message::PreVote { .. }) && packet.from == machine;
        self.run_until(&[machine], |world| world.packets.iter().any(|packet| is_request(&packet.value)))
    }

    /// Sends an operator's change to the leader.
    fn propose_to_leader(&mut self, change: usize) -> Result<(), Violation> {
        let machine = self.leader().ok_or("no leader to propose to")?;
        self.budget.proposals += 1;
        *self = self.after(Action::Propose { machine, change, slow: false })?;
        Ok(())
    }

    /// Delivers the first message to a machine that matches.
    fn deliver_first(&mut self, to: usize, matching: impl Fn(&Message) -> bool) -> Result<(), Violation> {
        let fits = |packet: &Packet| packet.to == to && matching(&packet.message);
        let packet = self
            .packets
            .iter()
            .position(|packet| fits(&packet.value))
            .ok_or("no such message is in flight")?;
        *self = self.after(Action::Deliver { packet, duplicate: false, slow: false })?;
        Ok(())
    }

    /// One step of a run without faults: all machines check their timers and all messages arrive, except those from
    /// and to the machines in `cut_off`. Ends early, with messages in flight, if `done` is true. Returns whether it
    /// is.
    fn run_step(&mut self, cut_off: &[usize], done: &impl Fn(&World) -> bool) -> Result<bool, Violation> {
        for machine in 0..self.machines.len() {
            *self = self.after(Action::Wakeup { machine, slow: false })?;
            while !self.packets.is_empty() {
                if done(self) {
                    return Ok(true);
                }
                let (from, to) = (self.packets[0].value.from, self.packets[0].value.to);
                if cut_off.contains(&from) || cut_off.contains(&to) {
                    self.packets.remove(0);
                    continue;
                }
                *self = self.after(Action::Deliver { packet: 0, duplicate: false, slow: false })?;
            }
        }
        self.now = self.now + STEP_MS;
        Ok(done(self))
    }

    /// Runs without faults until `done` is true and no message is in flight.
    pub fn run_until_idle(
        &mut self,
        cut_off: &[usize],
        done: impl Fn(&World) -> bool,
    ) -> Result<(), Violation> {
        self.run_until(cut_off, |world| world.packets.is_empty() && done(world))
    }

    /// Runs without faults until `done` is true.
    pub fn run_until(&mut self, cut_off: &[usize], done: impl Fn(&World) -> bool) -> Result<(), Violation> {
        let deadline = self.now + MAX_RUN_MS;
        while self.now < deadline {
            if self.run_step(cut_off, &done)? {
                return Ok(());
            }
        }
        Err(format!("comes-back: no recovery within {MAX_RUN_MS} ms: {:#?}", self.summary()))
    }

    /// Runs until a join request to the leader is in flight.
    fn run_until_join_request(&mut self, leader: usize) -> Result<(), Violation> {
        let asks_to_join = |world: &World| {
            world.packets.iter().any(|packet| {
                packet.value.to == leader && matches!(packet.value.message, Message::JoinRequest { .. })
            })
        };
        self.run_until(&[], asks_to_join)
    }

    /// Runs until the leader considers the silent voter lost and the spare's join request to it is in flight.
    fn run_until_spare_asks_to_join(&mut self, silent: usize) -> Result<(), Violation> {
        let timing = Timing::default();
        let lost_after = timing.lease_ms + timing.lease_margin_ms();
        self.run_until(&[silent], |world| {
            let Some(leader) = world.leader() else { return false };
            let asks_to_join = |packet: &Packet| {
                packet.to == leader && matches!(packet.message, Message::JoinRequest { .. })
            };
            let considered_lost = world
                .last_heard(leader, silent)
                .is_some_and(|last_contact| world.now.since(last_contact) > lost_after);
            considered_lost && world.packets.iter().any(|packet| asks_to_join(&packet.value))
        })
    }

    /// When a leader sent the message to which it last received another voter's reply.
    fn last_heard(&self, leader: usize, other: usize) -> Option<Tick> {
        let VoterRole::Leader { peers, .. } = &self.voter(leader)?.role else { return None };
        peers.get(&self.machine(other).disk.synced.identity.incarnation).map(|peer| peer.sent_at)
    }

    /// This state, but the spare is started if it is down.
    pub fn with_spare_running(&self) -> World {
        let mut world = self.clone();
        if world.voter(world.size).is_none() {
            world.restart(world.size);
        }
        world
    }

    /// Checks liveness: with all machines up and no network faults, a leader must serve the newest committed state,
    /// and all voters must have their states. Returns how long that takes.
    pub fn recovers(&self) -> Result<Tick, Violation> {
        let mut world = self.clone();
        world.budget = Budget::default();
        // No machine is cut off or frozen any more, and delayed messages are lost.
        world.schedule = None;
        let start = world.now;
        for machine in 0..world.machines.len() {
            world.sync_all(machine)?;
            if world.voter(machine).is_some_and(|voter| voter.disk_failed) {
                world.crash(machine, 0);
            }
            if world.may_restart(machine) {
                world.restart(machine);
            }
        }
        let newest = world.history.value.newest();
        world.run_until(&[], |world| {
            let serves_newest = world
                .leader()
                .and_then(|n| world.voter(n))
                .is_some_and(|voter| voter.commit_index() >= newest);
            serves_newest && world.all_voters_have_state()
        })?;
        Ok(Tick(world.now.since(start)))
    }
}
