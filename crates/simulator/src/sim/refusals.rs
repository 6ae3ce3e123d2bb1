//! Disks that refuse every write for a while and then work again, while their processes go on: two
//! of them one after the other, at different voters, beside the faults of the usual run.

use super::{
    Broken,
    disk::DiskCondition,
    faults::Undo,
    world::{CALM_AT, What, World},
};
use control_plane::consensus::{DurableState, Event};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Longest refusal; both fit before the calm.
const LONGEST_MS: u64 = 6_000;
/// Time between two attempts of a voter to recover.
const RETRY_MS: u64 = 120;
/// How often a folder turns out to be damaged, where the core can bear the loss.
const DAMAGED: f64 = 0.2;

impl World {
    /// The pairs are drawn apart from the usual faults, which stay as they are.
    pub fn schedule_refusals(&mut self) {
        let mut drawn = SmallRng::seed_from_u64(self.seed ^ 0x6469_736b);
        let voters = self.voters.len() - 1;
        let mut at = drawn.random_range(4_000..12_000);
        while at + 2 * LONGEST_MS < CALM_AT {
            let first = drawn.random_range(0..voters);
            let second = (first + drawn.random_range(1..voters)) % voters;
            for voter in [first, second] {
                let for_ms = drawn.random_range(200..LONGEST_MS);
                self.push(at, What::Refuse { voter, for_ms });
                at += for_ms + drawn.random_range(0..2_000);
            }
            at += drawn.random_range(2_000..20_000);
        }
    }

    pub fn refuse(&mut self, voter: usize, for_ms: u64) {
        self.note(format!("s{voter}'s disk refuses writes for {for_ms}"));
        self.voters[voter].disk.condition = DiskCondition::Refusing;
        self.push(for_ms, What::Heal(Box::new(Undo::HealDisk(voter))));
    }

    /// A write is refused: of what was under way some may have reached the disk, and none counts.
    pub fn refused(&mut self, n: usize) -> Result<(), String> {
        let under_way = self.voters[n].disk.pending.len();
        if under_way == 0 {
            return Ok(());
        }
        if self.broken == Some(Broken::UnsyncedBelief) {
            let last = self.voters[n].disk.pending.drain(..).next_back();
            return last.map_or(Ok(()), |(token, _)| self.voter_step(n, Event::Synced(token)));
        }
        let damaged = self.whole() && self.rng.random_bool(DAMAGED);
        let reached = self.rng.random_range(0..=under_way);
        self.voters[n].disk.refuse(reached);
        if damaged {
            self.note(format!("s{n}'s folder is damaged"));
            self.voters[n].lost = true;
            self.voters[n].disk.durable = None;
        }
        self.voter_step(n, Event::SyncFailed)?;
        let starts = self.voters[n].starts;
        self.push(RETRY_MS, What::Recover { voter: n, starts });
        Ok(())
    }

    /// The same process reads its folder again, once its disk takes writes.
    pub fn recover(&mut self, n: usize, starts: u64) -> Result<(), String> {
        let frozen = self.voters[n].frozen_until > self.t;
        let s = &self.voters[n];
        if s.starts != starts || s.voter.is_none() {
            return Ok(());
        }
        if frozen || !matches!(s.disk.condition, DiskCondition::Healthy | DiskCondition::Slow) {
            self.push(RETRY_MS, What::Recover { voter: n, starts });
            return Ok(());
        }
        let fresh = self.number();
        let s = &mut self.voters[n];
        let blank = DurableState::blank(&s.blank(fresh));
        let image = s.disk.durable.get_or_insert(blank).clone();
        self.note(format!("s{n}'s disk works again"));
        self.voter_step(n, Event::Recovered(Box::new(image)))
    }
}
