//! What operators do within the simulated world (design 7.1).

use super::{
    Broken,
    nodes::ROOM,
    world::{Proposal, QUIET_AT, What, World},
};
use common::{OpId, Zone};
use control_plane::{
    Change,
    consensus::{Effect, Event},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

impl World {
    /// Operators send documents and evacuations to whichever voters they like, at times two at
    /// once on the same base.
    pub fn operate(&mut self) -> Result<(), String> {
        let gap = self.rng.random_range(100..1_500);
        if self.t + gap < QUIET_AT {
            self.push(gap, What::Operator);
        }
        let twice = self.rng.random_bool(0.2);
        for _ in 0..=usize::from(twice) {
            let n = self.rng.random_range(0..self.voters.len());
            let Some(voter) = self.voters[n].voter.as_ref().filter(|s| s.initialized) else { continue };
            let (base, seen) = (voter.cluster_state.revision, voter.cluster_state.index);
            let op = OpId::new(format!("op{}", self.number()));
            let change = if self.rng.random_bool(0.7) {
                Change::Apply { op: op.clone(), base, text: self.document(&op).into() }
            } else {
                let zone = Zone::new(format!("a{}", self.rng.random_range(0..3)));
                Change::Evacuate { op: op.clone(), zone, on: self.rng.random_bool(0.5), seen }
            };
            self.propose(n, op, change)?;
        }
        Ok(())
    }

    /// A good part of the documents is about as long as they may be, and can't be packed.
    fn document(&mut self, op: &OpId) -> String {
        let len = if self.rng.random_bool(0.3) { self.rng.random_range(0..ROOM.document()) } else { 0 };
        let text = format!("document of {op}");
        let mut own = SmallRng::seed_from_u64(self.serial);
        let rest = len.saturating_sub(text.len());
        text + &(0..rest).map(|_| char::from(own.random_range(b' '..=b'~'))).collect::<String>()
    }

    fn propose(&mut self, n: usize, op: OpId, change: Change) -> Result<(), String> {
        let lead = self.voters[n]
            .voter
            .as_ref()
            .and_then(|s| s.leader())
            .map(|h| usize::from(h.rpc_addr.port() - 7000));
        let at = lead.unwrap_or(n);
        if self.voters[at].frozen_until > self.t || self.cut.contains(&(n, at)) {
            return Ok(());
        }
        let now = self.voters[at].clock.at(self.t);
        let Some(voter) = self.voters[at].voter.as_mut() else { return Ok(()) };
        let effects = voter.step(Event::Propose(change.clone()), now);
        for f in &effects {
            match f {
                Effect::Logged { index, .. } => {
                    let starts = self.voters[at].starts;
                    let p = Proposal { op: op.clone(), change: change.clone(), voter: at, starts };
                    if self.broken == Some(Broken::EarlyAccept) {
                        self.book.told_accepted.insert(op.clone(), *index);
                    }
                    self.waiting.insert((at, *index), p);
                }
                Effect::NotLogged { .. } => {
                    self.stats.told_refused += 1;
                    self.book.told_refused.insert(op.clone(), ());
                }
                _ => {}
            }
        }
        if self.broken == Some(Broken::TimeoutRefused)
            && let Change::Apply { .. } = &change
            && self.rng.random_bool(0.3)
        {
            self.book.told_refused.insert(op, ());
        }
        self.effects(at, effects)
    }

    fn effects(&mut self, n: usize, effects: Vec<Effect>) -> Result<(), String> {
        effects.into_iter().try_for_each(|f| self.effect(n, f))
    }
}
