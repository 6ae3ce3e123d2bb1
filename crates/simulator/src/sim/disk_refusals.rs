//! Disks that refuse every write for a while and then work again, while their processes go on. They come in pairs,
//! one after the other at two voters, besides the faults of the usual run.

use super::{
    Broken,
    disk::DiskCondition,
    event::SimEvent,
    faults::FaultEnd,
    world::{FAULTS_END_MS, World},
};
use control_plane::consensus::{DurableState, Event};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Longest time for which a disk refuses writes. Both refusals of a pair end before the faults do.
const LONGEST_REFUSAL_MS: u64 = 6_000;
/// Time between two attempts of a voter to recover.
const RECOVERY_RETRY_MS: u64 = 120;
/// Probability that a refusal damages the data directory, where the cluster can survive its loss.
const DAMAGE_PROBABILITY: f64 = 0.2;

impl World {
    /// Schedules the refusals. They have random numbers of their own, so that a seed's other faults stay the same.
    pub fn schedule_refusals(&mut self) {
        let mut rng = SmallRng::seed_from_u64(self.seed ^ 0x6469_736b);
        let voters = self.voters.len() - 1;
        let mut at = rng.random_range(4_000..12_000);
        while at + 2 * LONGEST_REFUSAL_MS < FAULTS_END_MS {
            let first = rng.random_range(0..voters);
            let second = (first + rng.random_range(1..voters)) % voters;
            for voter in [first, second] {
                let for_ms = rng.random_range(200..LONGEST_REFUSAL_MS);
                self.push(at, SimEvent::RefuseWrites { voter, for_ms });
                at += for_ms + rng.random_range(0..2_000);
            }
            at += rng.random_range(2_000..20_000);
        }
    }

    /// Makes a voter's disk refuse writes for a while.
    pub fn refuse_writes(&mut self, voter: usize, for_ms: u64) {
        self.trace_line(format!("s{voter}'s disk refuses writes for {for_ms} ms"));
        self.voters[voter].disk.condition = DiskCondition::Refusing;
        self.push(for_ms, SimEvent::EndFault(Box::new(FaultEnd::RestoreDisk(voter))));
    }

    /// A write is refused. Some of the pending writes may have reached the disk, but none counts as synced.
    pub fn write_refused(&mut self, voter_id: usize) -> Result<(), String> {
        let pending = self.voters[voter_id].disk.pending.len();
        if pending == 0 {
            return Ok(());
        }
        if self.broken == Some(Broken::RefusedWriteCountsAsSynced) {
            let last = self.voters[voter_id].disk.pending.drain(..).next_back();
            return last.map_or(Ok(()), |(token, _)| self.voter_step(voter_id, Event::Synced(token)));
        }
        let damaged = self.can_lose_a_voter() && self.rng.random_bool(DAMAGE_PROBABILITY);
        let reached = self.rng.random_range(0..=pending);
        self.voters[voter_id].disk.refuse(reached);
        if damaged {
            self.trace_line(format!("s{voter_id}'s data directory is damaged"));
            self.voters[voter_id].disk_lost = true;
            self.voters[voter_id].disk.durable = None;
        }
        self.voter_step(voter_id, Event::SyncFailed)?;
        let starts = self.voters[voter_id].starts;
        self.push(RECOVERY_RETRY_MS, SimEvent::RecoverDisk { voter: voter_id, starts });
        Ok(())
    }

    /// The same process reads its data directory again, once its disk accepts writes.
    pub fn recover_disk(&mut self, voter_id: usize, starts: u64) -> Result<(), String> {
        let frozen = self.voters[voter_id].frozen_until_ms > self.time_ms;
        let node = &self.voters[voter_id];
        if node.starts != starts || node.voter.is_none() {
            return Ok(());
        }
        if frozen || !matches!(node.disk.condition, DiskCondition::Healthy | DiskCondition::Slow) {
            self.push(RECOVERY_RETRY_MS, SimEvent::RecoverDisk { voter: voter_id, starts });
            return Ok(());
        }
        let incarnation = self.next_id();
        let node = &mut self.voters[voter_id];
        let blank = DurableState::blank(&node.blank_identity(incarnation));
        let image = node.disk.durable.get_or_insert(blank).clone();
        self.trace_line(format!("s{voter_id}'s disk works again"));
        self.voter_step(voter_id, Event::Recovered(Box::new(image)))
    }
}
