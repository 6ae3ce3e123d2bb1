//! Reuse of replaced voters: a voter that was replaced starts over as a spare, that is a blank voter with a new
//! incarnation, which may later replace another voter (design 2.5).

use super::*;

impl Voter {
    /// Starts over with a new identity, if this voter's replacement is committed. Its old state can be discarded: the
    /// replacement was committed by a majority without it. It sends nothing before the new identity is synced; its
    /// earlier votes no longer matter, since no voter set names the identity that cast them.
    pub(super) fn become_spare(&mut self, identity: VoterInfo, now: Tick, effects: &mut Vec<Effect>) {
        if !self.removed {
            return;
        }
        let (seeds, timing) = (self.seeds.clone(), self.timing.clone());
        let blank_state = DurableState {
            cluster_state: ClusterState { cluster: self.cluster.clone(), ..ClusterState::default() },
            ..DurableState::blank(&identity)
        };
        let restarted = Voter::new(identity, &self.cluster, seeds, timing, Some(blank_state), now);
        *self = Voter {
            expected_voters: self.expected_voters,
            secret: self.secret,
            size_limits: self.size_limits,
            writes: self.writes.cleared(),
            ..restarted
        };
        effects.push(Effect::Interrupted);
        self.write_snapshot(now, Vec::new(), effects);
    }

    /// Whether it is a spare, also after a restart. It knows that a cluster exists, so it neither bootstraps one nor
    /// answers that it is blank.
    pub(super) fn is_spare(&self) -> bool {
        !self.initialized && !self.cluster_state.cluster.is_empty()
    }

    /// Whether a blank voter waits for its new identity, or its vote, to be synced.
    pub(super) fn awaits_identity_sync(&self) -> bool {
        !self.initialized && !self.writes.is_empty()
    }
}
