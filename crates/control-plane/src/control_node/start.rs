//! What a control node starts from.

use crate::{
    consensus::{DurableState, Voter},
    types::VoterInfo,
};
use common::{Tick, runtime::random, settings::Settings};

/// What a control node starts from.
pub enum Start {
    /// What its disk holds.
    Ready(Box<DurableState>),
    /// Its disk can't be read or written yet: it takes part in nothing until its log writer recovers.
    AwaitingDisk(Box<VoterInfo>),
}

impl From<DurableState> for Start {
    fn from(state: DurableState) -> Self {
        Start::Ready(Box::new(state))
    }
}

impl Start {
    fn into_state(self) -> DurableState {
        match self {
            Start::Ready(state) => *state,
            Start::AwaitingDisk(voter) => DurableState::blank(&voter),
        }
    }
}

/// The voter of a node that starts now.
pub(super) fn new_voter(settings: &Settings, expected_voters: usize, start: Start, now: Tick) -> Voter {
    let awaiting_disk = matches!(start, Start::AwaitingDisk(_));
    let state = start.into_state();
    let (me, seeds, timing) = (state.me.clone(), settings.seeds.clone(), settings.timing.clone());
    let mut voter = Voter::new(me, &settings.cluster, seeds, timing, Some(state), now);
    voter.secret = random();
    voter.may_bootstrap = settings.may_bootstrap;
    voter.expected_voters = expected_voters;
    voter.disk_failed = awaiting_disk;
    voter
}
