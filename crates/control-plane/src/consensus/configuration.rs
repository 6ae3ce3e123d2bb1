//! The voter sets whose majorities decide (design 2.5): joint consensus while a replacement is not known to be
//! committed.

use crate::{
    state_machine::{ClusterState, voter_replacement::replace_in},
    types::{Change, LogEntry, VoterInfo},
};
use common::{Incarnation, Index};
use std::collections::BTreeSet;

/// The voter sets at the end of a log. A logged replacement that is not known to be committed makes them joint: a
/// decision then needs a majority of the set without it and a majority of the set with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Configuration {
    /// The set that is committed.
    committed: Vec<VoterInfo>,
    /// The set with the replacement that is not known to be committed.
    next: Option<Vec<VoterInfo>>,
}

impl Configuration {
    /// The configuration at the end of a log: `state` followed by `entries`, of which those up to `commit_index` are
    /// known to be committed.
    ///
    /// A leader logs nothing after a replacement until that is committed, so a later entry shows that it is.
    pub(super) fn at_end_of_log<'a>(
        state: &ClusterState,
        entries: impl Iterator<Item = &'a LogEntry>,
        commit_index: Index,
    ) -> Self {
        let mut committed = state.voters.clone();
        let mut next = None;
        for entry in entries {
            committed = next.take().unwrap_or(committed);
            let Some(replaced) = set_after(&committed, &entry.change) else { continue };
            if entry.index <= commit_index {
                committed = replaced;
            } else {
                next = Some(replaced);
            }
        }
        Self { committed, next }
    }

    /// Whether a replacement is logged that is not known to be committed.
    pub fn is_joint(&self) -> bool {
        self.next.is_some()
    }

    /// The committed set.
    pub fn committed(&self) -> &[VoterInfo] {
        &self.committed
    }

    /// The set once all logged replacements are committed.
    pub fn target(&self) -> &[VoterInfo] {
        self.next.as_deref().unwrap_or(&self.committed)
    }

    /// The voters of either set: those of the target set, then the voter that is being replaced, unless the new voter
    /// has its address.
    pub fn members(&self) -> Vec<VoterInfo> {
        let succeeded_at_its_address = |voter: &VoterInfo| {
            self.target().iter().any(|new| new.number == voter.number && new.rpc_addr == voter.rpc_addr)
        };
        let replaced = self.committed.iter().filter(|voter| !self.is_target(voter.incarnation));
        let mut members = self.target().to_vec();
        members.extend(replaced.filter(|voter| !succeeded_at_its_address(voter)).cloned());
        members
    }

    /// Whether the target set contains this incarnation.
    pub fn is_target(&self, incarnation: Incarnation) -> bool {
        contains(self.target(), incarnation)
    }

    /// Whether either set contains this incarnation.
    pub fn is_member(&self, incarnation: Incarnation) -> bool {
        self.is_target(incarnation) || contains(&self.committed, incarnation)
    }

    /// Whether the voters that fulfil a condition are a majority of each set.
    pub fn has_quorum(&self, fulfils: impl Fn(&VoterInfo) -> bool) -> bool {
        self.quorum_value(|voter| fulfils(voter).then_some(())).is_some()
    }

    /// Whether these votes and its own elect a candidate. A voter that is being replaced can't be elected.
    pub fn elects(&self, candidate: Incarnation, votes: &BTreeSet<Incarnation>) -> bool {
        let voted = |voter: &VoterInfo| voter.incarnation == candidate || votes.contains(&voter.incarnation);
        self.is_target(candidate) && self.has_quorum(voted)
    }

    /// The highest value that a majority of each set has reached, if there is one.
    pub fn quorum_value<T: Ord>(&self, value: impl Fn(&VoterInfo) -> Option<T>) -> Option<T> {
        let by_committed = majority_value(&self.committed, &value)?;
        match &self.next {
            Some(next) => majority_value(next, &value).map(|by_next| by_next.min(by_committed)),
            None => Some(by_committed),
        }
    }

    /// The highest value that a majority of the committed set has reached, if there is one.
    pub fn committed_quorum_value<T: Ord>(&self, value: impl Fn(&VoterInfo) -> Option<T>) -> Option<T> {
        majority_value(&self.committed, &value)
    }
}

fn contains(voters: &[VoterInfo], incarnation: Incarnation) -> bool {
    voters.iter().any(|voter| voter.incarnation == incarnation)
}

/// The voter set after a change, if the change replaces one of its voters.
fn set_after(voters: &[VoterInfo], change: &Change) -> Option<Vec<VoterInfo>> {
    let Change::ReplaceVoter(replacement) = change else { return None };
    if contains(voters, replacement.incarnation) {
        return None;
    }
    let mut replaced = voters.to_vec();
    replace_in(&mut replaced, replacement);
    Some(replaced)
}

fn majority_value<T: Ord>(voters: &[VoterInfo], value: &impl Fn(&VoterInfo) -> Option<T>) -> Option<T> {
    let mut reached: Vec<T> = voters.iter().filter_map(value).collect();
    reached.sort();
    reached.into_iter().rev().nth(voters.len() / 2)
}
