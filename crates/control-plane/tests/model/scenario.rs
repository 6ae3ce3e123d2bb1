//! States from which the search starts, each brought about by an undisturbed run, and their budgets.

use super::{
    history::Broken,
    variant::Variant,
    world::{Action, Budget, VOTERS, World},
};
use common::{Tick, settings::Timing};
use control_plane::consensus::{Message, VoterRole};

/// A quiet run advances the clock by this much at a time.
const STEP_MS: u64 = 50;
/// No quiet run of a scenario or of a recovery may take longer.
pub const MOST_QUIET_MS: u64 = 20_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Three blank machines that found a core.
    Founding,
    /// Three voters, no leader yet, all election timeouts near.
    FirstElection,
    /// A leader with one accepted change; two more race for the same base.
    RacingChanges,
    /// The leader has logged a change that no other has; elections follow.
    LoggedOnlyByLeader,
    /// A follower has logged a change that its leader has not accepted yet; a voter may be lost.
    HalfReplicated,
    /// The followers' answers to the leader are as old as the lease: it is about to end.
    LeaseEnds,
    /// A voter restarts right after it answered the leader.
    Restart,
    /// A voter's disk was wiped; its join request has reached the leader.
    WipedVoterJoins,
    /// The wiped voter's replacement is logged, with nothing else to be done than to accept it.
    ReplacementLogged,
    /// A voter is silent for good, the spare asks for its place.
    SpareTakesPlace,
    /// The same, and the silent voter is back: its answer to the leader is in flight.
    ReplacedVoterReturns,
    /// The spare has the place of a silent voter; that one is back, knows nothing of it, and stands.
    ReplacedVoterStands,
    /// The wiped voter is a voter again; the next loss comes right then.
    SecondLoss,
    /// A replacement is logged by the leader alone; then the third voter's disk is lost, and the silent voter is back.
    LossDuringReplacement,
    /// A replacement is committed, the newcomer has not taken a state; then the third voter's disk is lost, and the
    /// leader has lost contact with all.
    LossAfterAdmission,
    /// A follower heard no leader for longer than its election time-out and stands, while the others go on.
    FollowerOutOfTouch,
    /// The votes for a new leader are given; what the old leader sent before is still in flight.
    OldTermMessages,
}

impl Scenario {
    pub fn budget(self) -> Budget {
        let none = Budget::default();
        match self {
            Self::Founding => Budget { beats: 2, wipes: 1, ..none },
            Self::FirstElection => Budget { deadlines: 3, slow_writes: 1, crashes: 1, ..none },
            Self::RacingChanges => Budget { deadlines: 3, proposals: 3, yields: 1, ..none },
            Self::LoggedOnlyByLeader => {
                Budget { deadlines: 4, proposals: 1, crashes: 1, duplicates: 1, ..none }
            }
            Self::HalfReplicated => Budget { deadlines: 4, wipes: 1, slow_writes: 1, ..none },
            Self::LeaseEnds => Budget { deadlines: 6, beats: 1, proposals: 1, ..none },
            Self::Restart => Budget { deadlines: 4, crashes: 2, beats: 1, ..none },
            Self::WipedVoterJoins => Budget { deadlines: 3, crashes: 1, proposals: 1, ..none },
            Self::ReplacementLogged => Budget { deadlines: 4, crashes: 1, slow_writes: 1, ..none },
            Self::SpareTakesPlace => Budget { deadlines: 4, crashes: 1, beats: 1, ..none },
            Self::ReplacedVoterReturns => Budget { deadlines: 1, beats: 1, ..none },
            Self::LossDuringReplacement => Budget { deadlines: 4, duplicates: 1, ..none },
            Self::LossAfterAdmission => Budget { deadlines: 4, duplicates: 1, slow_writes: 1, ..none },
            Self::FollowerOutOfTouch => Budget { deadlines: 1, crashes: 1, ..none },
            Self::OldTermMessages => Budget { deadlines: 1, crashes: 1, duplicates: 1, ..none },
            Self::ReplacedVoterStands => Budget { deadlines: 2, ..none },
            Self::SecondLoss => Budget { deadlines: 4, wipes: 1, proposals: 1, ..none },
        }
    }

    /// What may be deviated from in a scheduled run. Where two losses are there from the start, none is added.
    pub fn budget_of_deviations(self) -> Budget {
        let twice_lost = matches!(self, Self::LossDuringReplacement | Self::LossAfterAdmission);
        Budget {
            crashes: if twice_lost { 0 } else { 2 },
            wipes: u8::from(!twice_lost),
            slow_writes: 1,
            duplicates: 1,
            yields: 1,
            proposals: 2,
            ..Budget::default()
        }
    }

    /// The start, with its budget.
    pub fn start(self, variant: Option<Variant>) -> Result<World, Broken> {
        self.start_with(VOTERS, variant)
    }

    /// The start of a cluster of so many voters; one that is founded has the usual ones.
    pub fn start_with(self, size: usize, variant: Option<Variant>) -> Result<World, Broken> {
        let mut world = match self {
            Self::Founding => World::blank(variant),
            _ => World::bootstrapped(size, variant),
        };
        self.prepare(&mut world)?;
        world.budget = self.budget();
        Ok(world)
    }

    fn prepare(self, world: &mut World) -> Result<(), Broken> {
        let election_timeout = Timing::default().election_timeout_ms();
        if self == Self::Founding {
            return Ok(());
        }
        if self == Self::FirstElection {
            world.now = world.now + election_timeout;
            return Ok(());
        }
        world.quiet(&[], |w| w.leader().is_some())?;
        world.order(0)?;
        world.quiet(&[], |w| w.all_accepted(&w.first_voters()))?;
        world.packets.clear();
        let leader = world.leader().ok_or("no leader")?;
        let follower = (leader + 1) % world.size;
        match self {
            Self::Founding | Self::FirstElection | Self::LeaseEnds => {}
            Self::RacingChanges => world.changes = changes(1, &["c", "d"]),
            Self::LoggedOnlyByLeader => {
                world.changes = changes(1, &["c", "d"]);
                world.order(0)?;
                world.packets.clear();
                world.now = world.now + election_timeout;
            }
            Self::HalfReplicated => {
                world.changes = changes(1, &["c", "d"]);
                world.order(0)?;
                world.deliver_first(follower, |m| matches!(m, Message::Append { .. }))?;
                world.packets.retain(|p| p.value.to == leader);
            }
            Self::Restart => {
                world.crash(follower, 0);
                world.restart(follower);
            }
            Self::WipedVoterJoins | Self::ReplacementLogged | Self::SecondLoss => {
                world.changes = changes(1, &["c", "d"]);
                world.wipe(follower);
                world.restart(follower);
                let logged = |w: &World| w.voter(leader).is_some_and(|s| s.last_index() > s.commit_index());
                match self {
                    Self::WipedVoterJoins => world.quiet_until_join(leader)?,
                    Self::ReplacementLogged => {
                        world.quiet_to(&[], logged)?;
                    }
                    _ => {
                        world.quiet(&[], |w| w.is_whole() && w.all_accepted(&w.first_voters()))?;
                        world.packets.clear();
                    }
                }
            }
            Self::SpareTakesPlace | Self::ReplacedVoterReturns => {
                world.crash(follower, 0);
                world.restart(world.size);
                world.quiet_until_join_of_spare(follower)?;
                if self == Self::ReplacedVoterReturns {
                    world.restart(follower);
                    world.now = world.now + Timing::default().heartbeat_ms();
                    *world = world.after(Action::Wakeup { machine: leader, slow: false })?;
                    world.deliver_first(follower, |m| matches!(m, Message::Append { .. }))?;
                }
            }
            Self::ReplacedVoterStands => {
                let last = (leader + 2) % world.size;
                world.crash(follower, 0);
                world.restart(world.size);
                let replaced = |w: &World| w.is_voter(w.size) && w.all_accepted(&[leader, last, w.size]);
                world.quiet(&[follower], replaced)?;
                world.crash(leader, 0);
                world.crash(world.size, 0);
                world.restart(follower);
                world.stands(follower)?;
            }
            Self::LossDuringReplacement => {
                let third = (leader + 2) % world.size;
                world.crash(follower, 0);
                world.restart(world.size);
                world.quiet_until_join_of_spare(follower)?;
                let logged = |w: &World| w.voter(leader).is_some_and(|s| s.last_index() > s.commit_index());
                world.quiet_to(&[follower], logged)?;
                world.packets.clear();
                world.wipe(third);
                world.restart(third);
                world.restart(follower);
            }
            Self::LossAfterAdmission => {
                let third = (leader + 2) % world.size;
                world.crash(follower, 0);
                world.restart(world.size);
                world.quiet_until_join_of_spare(follower)?;
                let admitted = |w: &World| {
                    let spare = w.machine(w.size).disk.synced.me.incarnation;
                    w.history.value.voters.iter().any(|voter| voter.incarnation == spare)
                };
                world.quiet_to(&[follower], admitted)?;
                world.packets.clear();
                world.wipe(third);
                world.restart(third);
                world.now = world.now + 2 * election_timeout;
                *world = world.after(Action::Wakeup { machine: leader, slow: false })?;
                world.packets.clear();
            }
            Self::FollowerOutOfTouch => {
                world.stands((leader + 2) % world.size)?;
            }
            Self::OldTermMessages => {
                world.changes = changes(1, &["c", "d"]);
                world.order(0)?;
                let old = std::mem::take(&mut world.packets);
                let vote = |m: &Message| matches!(m, Message::Vote { .. });
                world.quiet_to(&[leader], |w| w.packets.iter().any(|p| vote(&p.value.message)))?;
                old.into_iter().for_each(|packet| world.put(packet));
            }
        }
        Ok(())
    }
}

fn changes(base: u64, operations: &[&str]) -> std::sync::Arc<Vec<control_plane::Change>> {
    let texts = operations.iter().enumerate();
    let change = |(n, op): (usize, &&str)| super::world::apply(op, base, &"x".repeat(n + 5));
    std::sync::Arc::new(texts.map(change).collect())
}

impl World {
    pub fn leader(&self) -> Option<usize> {
        (0..self.machines.len()).find(|n| self.voter(*n).is_some_and(|voter| voter.can_serve_reads(self.now)))
    }

    /// Machines that are voters at first.
    fn first_voters(&self) -> Vec<usize> {
        (0..self.size).collect()
    }

    fn all_accepted(&self, machines: &[usize]) -> bool {
        let newest = self.history.value.newest();
        machines.iter().all(|n| self.voter(*n).is_some_and(|voter| voter.commit_index() == newest))
            && newest.0 > 0
    }

    /// It counts as a voter and has a state of its own.
    fn is_voter(&self, machine: usize) -> bool {
        let me = self.machine(machine).disk.synced.me.incarnation;
        self.is_whole() && self.history.value.voters.iter().any(|holder| holder.incarnation == me)
    }

    /// Runs with one machine cut off, until its pre-vote request is in flight.
    fn stands(&mut self, machine: usize) -> Result<(), Broken> {
        let requests =
            |p: &super::world::Packet| matches!(p.message, Message::PreVote { .. }) && p.from == machine;
        self.quiet_to(&[machine], |w| w.packets.iter().any(|p| requests(&p.value)))
    }

    fn order(&mut self, change: usize) -> Result<(), Broken> {
        let machine = self.leader().ok_or("no leader to take an order")?;
        self.budget.proposals += 1;
        *self = self.after(Action::Propose { machine, change, slow: false })?;
        Ok(())
    }

    fn deliver_first(&mut self, to: usize, which: impl Fn(&Message) -> bool) -> Result<(), Broken> {
        let fits = |p: &super::world::Packet| p.to == to && which(&p.message);
        let packet = self.packets.iter().position(|p| fits(&p.value)).ok_or("no such message")?;
        *self = self.after(Action::Deliver { packet, again: false, slow: false })?;
        Ok(())
    }

    /// One step of an undisturbed run: all messages arrive, all timers are looked at. Ends early, with
    /// messages in flight, where `done` holds.
    fn quiet_step(&mut self, cut_off: &[usize], done: &impl Fn(&World) -> bool) -> Result<bool, Broken> {
        for machine in 0..self.machines.len() {
            *self = self.after(Action::Wakeup { machine, slow: false })?;
            while !self.packets.is_empty() {
                if done(self) {
                    return Ok(true);
                }
                let ends = (self.packets[0].value.from, self.packets[0].value.to);
                if cut_off.contains(&ends.0) || cut_off.contains(&ends.1) {
                    self.packets.remove(0);
                    continue;
                }
                *self = self.after(Action::Deliver { packet: 0, again: false, slow: false })?;
            }
        }
        self.now = self.now + STEP_MS;
        Ok(done(self))
    }

    /// Runs undisturbed until something holds and no message is in flight.
    pub fn quiet(&mut self, cut_off: &[usize], done: impl Fn(&World) -> bool) -> Result<(), Broken> {
        self.quiet_to(cut_off, |w| w.packets.is_empty() && done(w))
    }

    /// Runs undisturbed until something holds.
    pub fn quiet_to(&mut self, cut_off: &[usize], done: impl Fn(&World) -> bool) -> Result<(), Broken> {
        let until = self.now + MOST_QUIET_MS;
        while self.now < until {
            if self.quiet_step(cut_off, &done)? {
                return Ok(());
            }
        }
        Err(format!("comes-back: not after {MOST_QUIET_MS} ms: {:#?}", self.summary()))
    }

    fn quiet_until_join(&mut self, leader: usize) -> Result<(), Broken> {
        let asks = |w: &World| {
            w.packets
                .iter()
                .any(|p| p.value.to == leader && matches!(p.value.message, Message::JoinRequest { .. }))
        };
        self.quiet_to(&[], asks)
    }

    /// The spare's join request is in flight once its leader takes the silent voter as lost.
    fn quiet_until_join_of_spare(&mut self, silent: usize) -> Result<(), Broken> {
        let timing = Timing::default();
        let lost_after = timing.lease_ms + timing.lease_margin_ms();
        self.quiet_to(&[silent], |w| {
            let Some(at) = w.leader() else { return false };
            let asks =
                |p: &super::world::Packet| p.to == at && matches!(p.message, Message::JoinRequest { .. });
            let taken_as_lost =
                w.last_heard(at, silent).is_some_and(|last_contact| w.now.since(last_contact) > lost_after);
            taken_as_lost && w.packets.iter().any(|p| asks(&p.value))
        })
    }

    /// When a leader sent what it last had an answer to from another voter.
    fn last_heard(&self, leader: usize, other: usize) -> Option<Tick> {
        let VoterRole::Leader { peers, .. } = &self.voter(leader)?.role else { return None };
        peers.get(&(other as u8)).map(|peer| peer.sent_at)
    }

    /// Liveness sample: with all machines up and the network whole, the core reads its newest state.
    pub fn comes_back(&self) -> Result<Tick, Broken> {
        let mut world = self.clone();
        world.budget = Budget::default();
        // Cuts and freezes are over; late messages are lost.
        world.schedule = None;
        let begin = world.now;
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
        world.quiet_to(&[], |w| {
            let reads =
                w.leader().and_then(|n| w.voter(n)).is_some_and(|voter| voter.commit_index() >= newest);
            reads && w.is_whole()
        })?;
        Ok(Tick(world.now.since(begin)))
    }
}
