//! Replacement of a voter in the cluster state (design 2.5): a first entry replaces it, a second one completes that.

use super::ClusterState;
use crate::types::{Change, VoterInfo};

impl ClusterState {
    /// Replaces a voter; an entry that names a voter of the set completes its replacement.
    pub(super) fn replace_voter(&mut self, replacement: &VoterInfo) {
        let is_replacement = |voter: &VoterInfo| voter.incarnation == replacement.incarnation;
        if self.voters.iter().any(is_replacement) {
            self.leaving_voter = None;
            return;
        }
        self.leaving_voter = self.voters.iter().find(|voter| voter.number == replacement.number).cloned();
        replace_in(&mut self.voters, replacement);
    }

    /// The entry that completes the last replacement of a voter, if that is not complete.
    pub fn completion_of_replacement(&self) -> Option<Change> {
        let leaving = self.leaving_voter.as_ref()?;
        let replacement = self.voters.iter().find(|voter| voter.number == leaving.number)?;
        Some(Change::ReplaceVoter(replacement.clone()))
    }
}

/// Replaces the voter that has the same number as `replacement`.
pub fn replace_in(voters: &mut [VoterInfo], replacement: &VoterInfo) {
    for voter in voters.iter_mut().filter(|voter| voter.number == replacement.number) {
        *voter = replacement.clone();
    }
}
