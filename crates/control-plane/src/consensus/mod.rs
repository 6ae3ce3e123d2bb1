//! Consensus on the order of changes (design 2.2 to 2.5): a replicated log with one leader a term.
//!
//! [`Voter`] is a state machine without input or output: [`Voter::step`] takes an event and the time and
//! returns effects, which the caller carries out in their order. The daemon and the simulators drive the
//! same code.

mod admission;
mod bootstrap;
mod durability;
mod durable;
mod election;
mod event;
mod follower;
mod join;
mod leadership;
mod learner;
mod log;
mod message;
mod replication;
mod role;
mod spare;
mod startup;
mod step;
mod validation;

pub use durable::{DurableState, Record};
pub use event::{Effect, Event, NotLogged};
pub use leadership::Contact;
pub use message::{AppendBody, LogTail, Message, VoterId};
pub(crate) use role::AppendRequest;
pub use role::{InFlight, Progress, VoterRole};
pub use validation::InvalidMessage;

use crate::{
    state_machine::{ClusterState, cluster_state::replace_voter},
    types::{Change, LogEntry, MAX_VOTERS, SizeLimits, VoterInfo},
};
use admission::{Admission, LedTerm};
use common::{Incarnation, Index, Term, Tick, Zone, settings::Timing};
use durability::PendingWrites;
use join::JoinRequest;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
};

/// One voter of a cluster, with everything that it knows.
#[derive(Clone, Debug)]
pub struct Voter {
    /// Its identity.
    pub me: VoterInfo,
    /// Lengths of time-outs.
    pub timing: Timing,
    /// Name of the cluster; nothing of another one is taken in.
    pub cluster: String,
    /// Addresses that its settings name.
    pub seeds: Vec<SocketAddr>,
    /// Whether it may bootstrap a cluster while it is blank.
    pub may_bootstrap: bool,
    /// Voters that a bootstrap waits for; the seeds alone where this is no more (design 2.5).
    pub expected_voters: usize,
    /// The whole system starts for the first time: blank voters prove that there is no cluster.
    pub first_start: bool,
    /// It has no disk: it follows the cluster and votes on nothing (design 2.10).
    pub learner: bool,
    /// Drawn by the daemon; the voter that bootstraps a cluster makes it the cluster's own (design 5.6).
    pub secret: u128,
    /// It holds the state of a cluster; without, it is blank.
    pub initialized: bool,
    /// The newest term that it promised to take part in.
    pub current_term: Term,
    /// The term in which its log was installed.
    pub log_term: Term,
    /// Committed changes, applied.
    pub cluster_state: ClusterState,
    /// Entries after the snapshot; the committed ones among them are applied to the cluster state.
    pub log: VecDeque<LogEntry>,
    /// Index of the last entry that the log no longer holds.
    pub snapshot_index: Index,
    /// Index up to which its own log is synced.
    pub durable_index: Index,
    /// Its part in the current term.
    pub role: VoterRole,
    /// A write failed: until the disk works again the voter takes part in nothing (design 2.4).
    pub disk_failed: bool,
    /// Another holder replaced it (design 2.5).
    pub removed: bool,
    /// The replacement is known to be committed.
    replaced: bool,
    /// What fits on disk and on the wire (design 2.8).
    pub size_limits: SizeLimits,
    /// From when it waits before it votes; moved back once no wait is needed.
    started: Tick,
    /// Identifies this run of the process in its leader queries.
    process_started: Tick,
    /// Addresses of voters that answered this run of the process that they do not lead.
    not_leading: BTreeSet<SocketAddr>,
    writes: PendingWrites,
    /// Voters that were blank, and when they were asked.
    discovered_voters: BTreeMap<SocketAddr, (VoterInfo, Tick)>,
    /// Learners that introduced themselves, and when.
    discovered_learners: BTreeMap<SocketAddr, Tick>,
    /// The initial state that this learner proposed to the voters of a new cluster.
    proposed_bootstrap: Option<ClusterState>,
    /// A cluster without this voter was seen: it may neither bootstrap one nor be bootstrapped.
    saw_other_cluster: bool,
    /// Since when all seeds are known to be blank.
    seeds_complete_since: Option<Tick>,
    /// The newest term that it led, for as long as this process runs.
    led: Option<LedTerm>,
    /// While it is blank: the committed voter set that names it.
    admission: Option<Admission>,
    /// Blank voters that ask to be admitted.
    join_requests: BTreeMap<Incarnation, JoinRequest>,
    /// When it last sent what is sent with each heartbeat.
    last_heartbeat: Tick,
}

impl Voter {
    /// A voter that resumes from what its disk held; without that it is blank.
    pub fn new(
        me: VoterInfo,
        cluster: &str,
        seeds: Vec<SocketAddr>,
        timing: Timing,
        durable: Option<DurableState>,
        now: Tick,
    ) -> Self {
        let mut voter = Self::blank(me, cluster, seeds, timing, now);
        if let Some(durable) = durable {
            voter.restore(durable);
        }
        voter
    }

    fn blank(me: VoterInfo, cluster: &str, seeds: Vec<SocketAddr>, timing: Timing, now: Tick) -> Self {
        Self {
            me,
            timing,
            cluster: cluster.into(),
            seeds,
            may_bootstrap: true,
            expected_voters: 0,
            first_start: false,
            learner: false,
            secret: 0,
            initialized: false,
            current_term: Term(0),
            log_term: Term(0),
            cluster_state: ClusterState::default(),
            log: VecDeque::new(),
            snapshot_index: Index(0),
            durable_index: Index(0),
            role: VoterRole::Follower { leader: None, last_contact: now },
            disk_failed: false,
            removed: false,
            replaced: false,
            size_limits: SizeLimits::default(),
            started: now,
            process_started: now,
            not_leading: BTreeSet::new(),
            writes: PendingWrites::default(),
            discovered_voters: BTreeMap::new(),
            discovered_learners: BTreeMap::new(),
            proposed_bootstrap: None,
            saw_other_cluster: false,
            seeds_complete_since: None,
            led: None,
            admission: None,
            join_requests: BTreeMap::new(),
            last_heartbeat: Tick(0),
        }
    }

    fn restore(&mut self, durable: DurableState) {
        self.me.incarnation = durable.me.incarnation;
        self.me.number = durable.me.number;
        self.initialized = durable.initialized;
        self.current_term = durable.current_term;
        self.log_term = durable.log_term;
        self.snapshot_index = durable.cluster_state.index;
        self.cluster_state = durable.cluster_state;
        self.log = durable.entries.into();
        self.durable_index = self.last_index();
    }

    /// Index of the last entry of its log.
    pub fn last_index(&self) -> Index {
        self.log.back().map_or(self.snapshot_index, |entry| entry.index)
    }

    /// Index up to which it knows all to be committed.
    pub fn commit_index(&self) -> Index {
        self.cluster_state.index
    }

    /// The voter set with logged replacements applied: a replaced holder counts no more from the moment that
    /// its replacement is in the log (design 2.5).
    pub fn voters(&self) -> Vec<VoterInfo> {
        let mut voters = self.cluster_state.voters.clone();
        for entry in self.log.iter().filter(|entry| entry.index > self.commit_index()) {
            if let Change::ReplaceVoter(replacement) = &entry.change {
                replace_voter(&mut voters, replacement);
            }
        }
        voters
    }

    /// Whether it holds a place in the voter set.
    pub fn is_voter(&self, id: &VoterId) -> bool {
        let holds = |voter: &VoterInfo| voter.number == id.number && voter.incarnation == id.incarnation;
        self.voters().iter().any(holds)
    }

    /// The voter set without this voter.
    pub fn other_voters(&self) -> Vec<VoterInfo> {
        let mut voters = self.voters();
        voters.retain(|voter| voter.number != self.me.number);
        voters
    }

    /// How many voters are a majority.
    pub fn quorum(&self) -> usize {
        self.cluster_state.voters.len() / 2 + 1
    }

    /// Its name in messages.
    pub fn id(&self) -> VoterId {
        VoterId { number: self.me.number, incarnation: self.me.incarnation }
    }

    /// Whether it is the leader of its term. It may have been deposed: see [`Voter::has_leadership`].
    pub fn is_leader(&self) -> bool {
        matches!(self.role, VoterRole::Leader { .. })
    }
}
