//! Operators that propose changes in the simulated world (design 7.1).

use super::{
    Broken,
    event::SimEvent,
    nodes::SIZE_LIMITS,
    world::{LAST_CALL_MS, World},
};
use common::{OpId, Zone};
use control_plane::{
    Change,
    consensus::{Effect, Event},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// A change that a leader logged, and whose operator waits for the outcome.
pub struct Proposal {
    /// Id of the operation.
    pub op: OpId,
    /// The change as it was proposed.
    pub change: Change,
    /// The leader that logged it.
    pub voter: usize,
    /// That leader's number of starts at the time.
    pub starts: u64,
}

impl World {
    /// Operators send documents and evacuations to random voters, sometimes two at once on the same base revision.
    pub fn operator_call(&mut self) -> Result<(), String> {
        let gap = self.rng.random_range(100..1_500);
        if self.time_ms + gap < LAST_CALL_MS {
            self.push(gap, SimEvent::OperatorCall);
        }
        let twice = self.rng.random_bool(0.2);
        for _ in 0..=usize::from(twice) {
            let voter_id = self.rng.random_range(0..self.voters.len());
            let Some(voter) = self.voters[voter_id].voter.as_ref().filter(|s| s.initialized) else {
                continue;
            };
            let (base, seen) = (voter.cluster_state.revision, voter.cluster_state.index);
            let op = OpId::new(format!("op{}", self.next_id()));
            let change = if self.rng.random_bool(0.7) {
                Change::Apply { op: op.clone(), base, text: self.document(&op).into() }
            } else {
                let zone = Zone::new(format!("a{}", self.rng.random_range(0..3)));
                Change::Evacuate { op: op.clone(), zone, on: self.rng.random_bool(0.5), seen }
            };
            self.propose(voter_id, op, change)?;
        }
        Ok(())
    }

    /// Generates a document. Three in ten have a random length up to the limit, of text that doesn't compress.
    fn document(&mut self, op: &OpId) -> String {
        let len =
            if self.rng.random_bool(0.3) { self.rng.random_range(0..SIZE_LIMITS.document()) } else { 0 };
        let text = format!("document of {op}");
        let mut text_rng = SmallRng::seed_from_u64(self.last_id);
        let padding = len.saturating_sub(text.len());
        text + &(0..padding).map(|_| char::from(text_rng.random_range(b' '..=b'~'))).collect::<String>()
    }

    fn propose(&mut self, voter_id: usize, op: OpId, change: Change) -> Result<(), String> {
        let leader_id = self.voters[voter_id]
            .voter
            .as_ref()
            .and_then(|s| s.leader())
            .map(|h| usize::from(h.rpc_addr.port() - 7000));
        let target = leader_id.unwrap_or(voter_id);
        if self.voters[target].frozen_until_ms > self.time_ms || self.cut_links.contains(&(voter_id, target))
        {
            return Ok(());
        }
        let now = self.voters[target].clock.at(self.time_ms);
        let Some(voter) = self.voters[target].voter.as_mut() else { return Ok(()) };
        let effects = voter.step(Event::Propose(change.clone()), now);
        for effect in &effects {
            match effect {
                Effect::Logged { index, .. } => {
                    let starts = self.voters[target].starts;
                    let proposal = Proposal { op: op.clone(), change: change.clone(), voter: target, starts };
                    if self.broken == Some(Broken::AcceptedBeforeCommit) {
                        self.history.reported_accepted.insert(op.clone(), *index);
                    }
                    self.proposals.insert((target, *index), proposal);
                }
                Effect::NotLogged { .. } => {
                    self.stats.reported_refused += 1;
                    self.history.reported_refused.insert(op.clone(), ());
                }
                _ => {}
            }
        }
        if self.broken == Some(Broken::TimeoutReportedAsRefused)
            && let Change::Apply { .. } = &change
            && self.rng.random_bool(0.3)
        {
            self.history.reported_refused.insert(op, ());
        }
        self.effects(target, effects)
    }

    fn effects(&mut self, voter_id: usize, effects: Vec<Effect>) -> Result<(), String> {
        effects.into_iter().try_for_each(|effect| self.effect(voter_id, effect))
    }
}
