//! The state from which a control node starts.

use crate::{
    consensus::{DurableState, Voter},
    types::{MAX_VOTERS, VoterInfo},
};
use common::{Tick, runtime::random, settings::Settings};

/// The state from which a control node starts.
pub enum Start {
    /// The state that its disk holds.
    Ready(Box<DurableState>),
    /// Its disk can't be read or written yet: it does not take part in consensus until its log writer recovers.
    AwaitingDisk(Box<VoterInfo>),
    /// It has no disk: it is a learner (design 2.10).
    Learner(Box<VoterInfo>),
}

/// Settings of a bootstrap, besides the seeds (design 2.5).
#[derive(Clone, Copy, Debug, Default)]
pub struct Bootstrap {
    /// Number of voters that a bootstrap waits for, if it is larger than that of the seeds.
    pub expected_voters: usize,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
}

/// Number of voters that still have a majority after this many losses. It is odd, since one more voter would tolerate
/// no more losses and need a larger majority.
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

/// Makes the voter of a node that starts at `now`.
pub(super) fn new_voter(settings: &Settings, bootstrap: Bootstrap, start: Start, now: Tick) -> Voter {
    let awaiting_disk = matches!(start, Start::AwaitingDisk(_));
    let learner = matches!(start, Start::Learner(_));
    let state = start.into_state();
    let (identity, seeds, timing) = (state.identity.clone(), settings.seeds.clone(), settings.timing.clone());
    let mut voter = Voter::new(identity, &settings.cluster, seeds, timing, Some(state), now);
    voter.secret = random();
    voter.may_bootstrap = settings.may_bootstrap;
    voter.expected_voters = bootstrap.expected_voters;
    voter.first_start = bootstrap.first_start;
    voter.disk_failed = awaiting_disk;
    voter.learner = learner;
    voter
}
