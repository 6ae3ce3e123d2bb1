//! Messages, disk writes and the effects of voters in the simulated world (design 7.1).

use super::{
    Broken,
    disk::DiskCondition,
    event::SimEvent,
    invariants::{check_blank_voter_message, check_durable},
    nodes::{MAX_MESSAGE_BYTES, addr, check_fits},
    world::World,
};
use control_plane::{
    Change,
    consensus::{Effect, Event, Message},
    membership::Leases,
    types::VoterInfo,
};
use rand::Rng;

impl World {
    /// Delay of a message in milliseconds, or `None` if it is lost.
    pub fn transit(&mut self, from: usize, to: usize) -> Option<u64> {
        if self.cut_links.contains(&(from, to)) || self.rng.random_bool(0.01) {
            return None;
        }
        let spike = self.rng.random_bool(0.02);
        Some(if spike { self.rng.random_range(50..600) } else { self.rng.random_range(1..15) })
    }

    /// Delivers a consensus message, or delays it while the receiver is frozen.
    pub fn deliver(&mut self, to: usize, from: usize, msg: Message) -> Result<(), String> {
        if self.voters[to].frozen_until_ms > self.time_ms {
            let wait = self.voters[to].frozen_until_ms - self.time_ms;
            self.push(wait, SimEvent::Consensus { to, from, msg: Box::new(msg) });
            return Ok(());
        }
        self.voter_step(to, Event::Msg(addr(from), msg))
    }

    /// Completes the oldest pending write of a voter's disk, as the condition of the disk allows.
    pub fn write_synced(&mut self, voter_id: usize, starts: u64) -> Result<(), String> {
        if self.voters[voter_id].starts != starts {
            return Ok(());
        }
        match self.voters[voter_id].disk.condition {
            DiskCondition::Stalled => {
                self.push(40, SimEvent::Synced { voter: voter_id, starts });
                Ok(())
            }
            DiskCondition::Failing => self.voter_step(voter_id, Event::SyncFailed),
            DiskCondition::Refusing => self.write_refused(voter_id),
            _ => match self.voters[voter_id].disk.sync_one() {
                Some(token) => self.voter_step(voter_id, Event::Synced(token)),
                None => Ok(()),
            },
        }
    }

    /// Passes an event to a voter and carries out the effects; a frozen or stopped voter misses it.
    pub fn voter_step(&mut self, voter_id: usize, event: Event) -> Result<(), String> {
        let time_ms = self.time_ms;
        let node = &mut self.voters[voter_id];
        if node.frozen_until_ms > time_ms && !matches!(event, Event::Synced(_) | Event::SyncFailed) {
            return Ok(());
        }
        let Some(voter) = node.voter.as_mut() else { return Ok(()) };
        let effects = voter.step(event, node.clock.at(time_ms));
        effects.into_iter().try_for_each(|effect| self.effect(voter_id, effect))
    }

    /// Carries out an effect of a voter's step.
    pub fn effect(&mut self, voter_id: usize, effect: Effect) -> Result<(), String> {
        match effect {
            Effect::Send { to, msg } => {
                let to = usize::from(to.port() - 7000);
                if self.voters[voter_id].voter.as_ref().is_some_and(|s| !s.initialized) {
                    let running = self.voters.iter().filter_map(|s| s.voter.as_ref());
                    let first = running.flat_map(|s| &s.cluster_state.voters);
                    let logged: Vec<_> = first.chain(&self.history.admitted).collect();
                    check_blank_voter_message(&msg, self.voters[voter_id].disk.durable.as_ref(), &logged)
                        .map_err(|what| format!("s{voter_id} {what}"))?;
                }
                // A lying disk must be caught by its consequences, not by this check.
                if self.broken != Some(Broken::LyingDisk) {
                    check_durable(&msg, self.voters[voter_id].disk.durable.as_ref())?;
                }
                check_fits("a message", &msg, MAX_MESSAGE_BYTES)?;
                if let Some(delay_ms) = self.transit(voter_id, to).filter(|_| to < self.voters.len()) {
                    self.push(delay_ms, SimEvent::Consensus { to, from: voter_id, msg: Box::new(msg) });
                }
            }
            Effect::Persist { token, record } => {
                self.voters[voter_id].disk.write(token, record)?;
                if self.broken == Some(Broken::LyingDisk) {
                    return self.voter_step(voter_id, Event::Synced(token));
                }
                let delay_ms = match self.voters[voter_id].disk.condition {
                    DiskCondition::Slow => self.rng.random_range(100..900),
                    _ => self.rng.random_range(1..8),
                };
                let starts = self.voters[voter_id].starts;
                self.push(delay_ms, SimEvent::Synced { voter: voter_id, starts });
            }
            Effect::Committed { entry, outcome } => self.on_committed(voter_id, &entry, &outcome)?,
            Effect::BecameLeader { term } => {
                self.stats.terms += 1;
                self.trace_line(format!("s{voter_id} leads in term {term}"));
                let now = self.voters[voter_id].clock.at(self.time_ms);
                self.voters[voter_id].leases = Leases::new_leader(now);
            }
            Effect::Interrupted => {
                let before = self.proposals.len();
                self.proposals.retain(|at, _| at.0 != voter_id);
                self.stats.undetermined += (before - self.proposals.len()) as u64;
            }
            Effect::Removed => {
                self.trace_line(format!("s{voter_id} learns that it was removed"));
                let incarnation = self.next_id();
                let identity = Box::new(self.voters[voter_id].blank_identity(incarnation));
                return self.voter_step(voter_id, Event::BecomeSpare(identity));
            }
            // A broken variant may send malformed messages; it must be caught by their consequences.
            Effect::MessageRejected { from, why } if self.broken.is_some() => {
                self.trace_line(format!("s{voter_id} refuses a message from {from}: {why}"));
            }
            Effect::MessageRejected { from, why } => {
                return Err(format!("s{voter_id} refuses a message from {from}: {why}"));
            }
            Effect::Logged { change: Change::ReplaceVoter(voter), .. } => self.history.admitted.push(voter),
            Effect::SnapshotInstalled
            | Effect::VotersDiscovered(_)
            | Effect::Logged { .. }
            | Effect::NotLogged { .. } => {}
        }
        Ok(())
    }
    /// Records the voter set after a replacement; a second entry only completes it.
    pub(super) fn record_replacement(&mut self, voter_id: usize, new: &VoterInfo) {
        let Some(voter) = self.voters[voter_id].voter.as_ref() else { return };
        self.history.newest_voters = Some(voter.cluster_state.voters.clone());
        if voter.cluster_state.leaving_voter.is_some() {
            self.stats.readmitted += 1;
            self.trace_line(format!("{} readmitted as voter {}", new.node, new.number));
        }
    }
}
