//! A replaced voter becomes a spare (design 2.5): it starts over as a blank voter with an incarnation of its own, and
//! may then take the place of another one.

use super::*;

impl Voter {
    /// Takes up a new identity, if another holder was committed in this voter's place. Nothing that it held is needed:
    /// its replacement was committed by a majority without it. It says nothing before the identity is synced, and
    /// whatever it promised was promised under an identity that no voter set names any more.
    pub(super) fn become_spare(&mut self, identity: VoterInfo, now: Tick, effects: &mut Vec<Effect>) {
        if !self.replaced {
            return;
        }
        let (seeds, timing) = (self.seeds.clone(), self.timing.clone());
        let image = DurableState {
            cluster_state: ClusterState { cluster: self.cluster.clone(), ..ClusterState::default() },
            ..DurableState::blank(&identity)
        };
        let restarted = Voter::new(identity, &self.cluster, seeds, timing, Some(image), now);
        *self = Voter {
            expected_voters: self.expected_voters,
            secret: self.secret,
            size_limits: self.size_limits,
            writes: self.writes.restarted(),
            ..restarted
        };
        effects.push(Effect::Interrupted);
        self.write_snapshot(now, Vec::new(), effects);
    }

    /// Whether it is a spare of a cluster that it knows to exist, also after a restart: it founds none, and does not
    /// pass as a machine that was never part of one.
    pub(super) fn is_spare(&self) -> bool {
        !self.initialized && !self.cluster_state.cluster.is_empty()
    }

    /// Whether its identity, or its promise, is on its way to the disk.
    pub(super) fn is_silent(&self) -> bool {
        !self.initialized && !self.writes.is_empty()
    }
}
