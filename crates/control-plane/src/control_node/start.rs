//! What a control node starts from.

use crate::{
    consensus::{DurableState, Voter},
    types::{MAX_VOTERS, VoterInfo},
};
use common::{Tick, runtime::random, settings::Settings};

/// What a control node starts from.
pub enum Start {
    /// What its disk holds.
    Ready(Box<DurableState>),
    /// Its disk can't be read or written yet: it takes part in nothing until its log writer recovers.
    AwaitingDisk(Box<VoterInfo>),
    /// It has no disk: it takes part as a learner (design 2.10).
    Learner(Box<VoterInfo>),
}

/// What a bootstrap goes by besides the seeds (design 2.5).
#[derive(Clone, Copy, Debug, Default)]
pub struct Bootstrap {
    /// Voters that it waits for, where they are more than the seeds.
    pub expected_voters: usize,
    /// The whole system starts for the first time.
    pub first_start: bool,
}

/// How many voters keep a majority when so many of them are lost at once: an odd number, since one voter more would
/// bear no more losses and need a larger majority.
pub fn voters_to_tolerate(losses: usize) -> usize {
    (2 * losses + 1).min(MAX_VOTERS)
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
            Start::AwaitingDisk(voter) | Start::Learner(voter) => DurableState::blank(&voter),
        }
    }
}

/// The voter of a node that starts now.
pub(super) fn new_voter(settings: &Settings, bootstrap: Bootstrap, start: Start, now: Tick) -> Voter {
    let awaiting_disk = matches!(start, Start::AwaitingDisk(_));
    let learner = matches!(start, Start::Learner(_));
    let state = start.into_state();
    let (me, seeds, timing) = (state.me.clone(), settings.seeds.clone(), settings.timing.clone());
    let mut voter = Voter::new(me, &settings.cluster, seeds, timing, Some(state), now);
    voter.secret = random();
    voter.may_bootstrap = settings.may_bootstrap;
    voter.expected_voters = bootstrap.expected_voters;
    voter.first_start = bootstrap.first_start;
    voter.disk_failed = awaiting_disk;
    voter.learner = learner;
    voter
}
