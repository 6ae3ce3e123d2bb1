//! The way of messages, writes and effects in the simulated world (design 7.1).

use super::{
    Broken,
    check::{backed, blank_votes_by_right},
    disk::DiskCondition,
    nodes::{WIRE, addr, fits},
    world::{What, World},
};
use control_plane::{
    consensus::{Effect, Event, Message},
    membership::Leases,
};
use rand::Rng;

impl World {
    /// How long a message takes; none where it is lost.
    pub fn transit(&mut self, from: usize, to: usize) -> Option<u64> {
        if self.cut.contains(&(from, to)) || self.rng.random_bool(0.01) {
            return None;
        }
        let spike = self.rng.random_bool(0.02);
        Some(if spike { self.rng.random_range(50..600) } else { self.rng.random_range(1..15) })
    }

    pub fn deliver(&mut self, to: usize, from: usize, msg: Message) -> Result<(), String> {
        if self.voters[to].frozen_until > self.t {
            let wait = self.voters[to].frozen_until - self.t;
            self.push(wait, What::Consensus { to, from, msg: Box::new(msg) });
            return Ok(());
        }
        self.voter_step(to, Event::Msg(addr(from), msg))
    }

    pub fn synced(&mut self, n: usize, starts: u64) -> Result<(), String> {
        if self.voters[n].starts != starts {
            return Ok(());
        }
        match self.voters[n].disk.condition {
            DiskCondition::Stalled => {
                self.push(40, What::Synced { voter: n, starts });
                Ok(())
            }
            DiskCondition::Failing => self.voter_step(n, Event::SyncFailed),
            DiskCondition::Refusing => self.refused(n),
            _ => match self.voters[n].disk.sync_one() {
                Some(token) => self.voter_step(n, Event::Synced(token)),
                None => Ok(()),
            },
        }
    }

    pub fn voter_step(&mut self, n: usize, event: Event) -> Result<(), String> {
        let t = self.t;
        let s = &mut self.voters[n];
        if s.frozen_until > t && !matches!(event, Event::Synced(_) | Event::SyncFailed) {
            return Ok(());
        }
        let Some(voter) = s.voter.as_mut() else { return Ok(()) };
        let effects = voter.step(event, s.clock.at(t));
        effects.into_iter().try_for_each(|f| self.effect(n, f))
    }

    pub fn effect(&mut self, n: usize, f: Effect) -> Result<(), String> {
        match f {
            Effect::Send { to, msg } => {
                let to = usize::from(to.port() - 7000);
                if self.voters[n].voter.as_ref().is_some_and(|s| !s.initialized) {
                    let running = self.voters.iter().filter_map(|s| s.voter.as_ref());
                    let first = running.flat_map(|s| &s.cluster_state.voters);
                    let committed: Vec<_> = first.chain(self.book.admitted()).collect();
                    blank_votes_by_right(&msg, self.voters[n].disk.durable.as_ref(), &committed)
                        .map_err(|what| format!("s{n} {what}"))?;
                }
                // A disk that lies is to be caught by what comes of it.
                if self.broken != Some(Broken::LyingDisk) {
                    backed(&msg, self.voters[n].disk.durable.as_ref())?;
                }
                fits("a message", &msg, WIRE)?;
                if let Some(ms) = self.transit(n, to).filter(|_| to < self.voters.len()) {
                    self.push(ms, What::Consensus { to, from: n, msg: Box::new(msg) });
                }
            }
            Effect::Persist { token, record } => {
                self.voters[n].disk.write(token, record)?;
                if self.broken == Some(Broken::LyingDisk) {
                    return self.voter_step(n, Event::Synced(token));
                }
                let ms = match self.voters[n].disk.condition {
                    DiskCondition::Slow => self.rng.random_range(100..900),
                    _ => self.rng.random_range(1..8),
                };
                let starts = self.voters[n].starts;
                self.push(ms, What::Synced { voter: n, starts });
            }
            Effect::Committed { entry, outcome } => self.on_accepted(n, &entry, &outcome)?,
            Effect::BecameLeader { term } => {
                self.stats.terms += 1;
                self.note(format!("s{n} leads view {term}"));
                let now = self.voters[n].clock.at(self.t);
                self.voters[n].leases = Leases::new_leader(now);
            }
            Effect::Interrupted => {
                let before = self.waiting.len();
                self.waiting.retain(|at, _| at.0 != n);
                self.stats.undetermined += (before - self.waiting.len()) as u64;
            }
            Effect::Removed => {
                self.note(format!("s{n} learns that it is out"));
                let incarnation = self.number();
                let identity = Box::new(self.voters[n].blank(incarnation));
                return self.voter_step(n, Event::BecomeSpare(identity));
            }
            // What a broken variant sends may be malformed: it is to be caught by what comes of it.
            Effect::Refused { from, why } if self.broken.is_some() => {
                self.note(format!("s{n} refuses a message of {from}: {why}"));
            }
            Effect::Refused { from, why } => return Err(format!("s{n} refuses a message of {from}: {why}")),
            Effect::SnapshotInstalled
            | Effect::VotersDiscovered(_)
            | Effect::Logged { .. }
            | Effect::NotLogged { .. } => {}
        }
        Ok(())
    }
}
