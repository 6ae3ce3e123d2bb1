//! Consensus on the order of changes: a replicated log with at most one leader per term (design 2.2 to 2.5).
//!
//! [`Voter`] is a state machine that does no I/O: [`Voter::step`] takes an event and the current time and returns
//! effects, which the caller carries out in order. The daemon and the simulators run the same code.
//!
//! A voter is blank until it is initialized with the state of a cluster. Its number is its position in the voter set;
//! its incarnation identifies its disk contents, so a wiped machine returns as another incarnation.

mod admission;
mod bootstrap;
mod candidate;
mod configuration;
mod discovery;
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

pub use configuration::Configuration;
pub use durable::{DurableState, Record};
pub use event::{Effect, Event, NotLogged};
pub use leadership::Contact;
pub use message::{AppendBody, LogTail, Message, VoterId};
pub(crate) use role::AppendRequest;
pub use role::{InFlight, Progress, VoterRole};
pub use validation::InvalidMessage;

use crate::{
    state_machine::ClusterState,
    types::{Change, LogEntry, MAX_VOTERS, SizeLimits, VoterInfo},
};
use admission::{Admission, ReportedVoters};
use common::{Incarnation, Index, Term, Tick, Zone, settings::Timing};
use durability::PendingWrites;
use join::JoinRequest;
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
};

/// The consensus state of one voter.
#[derive(Clone, Debug)]
pub struct Voter {
    /// Identity of this voter.
    pub identity: VoterInfo,
    /// Timeouts and intervals.
    pub timing: Timing,
    /// Name of the cluster; state of any other cluster is rejected.
    pub cluster: String,
    /// RPC addresses of the seeds, from the settings.
    pub seeds: Vec<SocketAddr>,
    /// Whether this voter may bootstrap a cluster while it is blank.
    pub may_bootstrap: bool,
    /// Number of voters that a bootstrap waits for; at least the number of seeds (design 2.5).
    pub expected_voters: usize,
    /// The whole system starts for the first time: blank voters are taken as proof that no cluster exists.
    pub first_start: bool,
    /// The node has no disk: it follows the committed state and never votes (design 2.10).
    pub learner: bool,
    /// Random secret of this node; that of the voter that bootstraps a cluster becomes the cluster's (design 5.6).
    pub secret: u128,
    /// Whether it holds the state of a cluster; otherwise it is blank.
    pub initialized: bool,
    /// The newest term that it has joined; it takes part in no older one.
    pub current_term: Term,
    /// The term in which its log was installed.
    pub log_term: Term,
    /// The state after all committed changes.
    pub cluster_state: ClusterState,
    /// Entries after the snapshot; the committed ones among them are applied to the cluster state.
    pub log: VecDeque<LogEntry>,
    /// Index of the last entry that was removed from the log.
    pub snapshot_index: Index,
    /// Index up to which its own log is synced to disk.
    pub durable_index: Index,
    /// Its role in the current term.
    pub role: VoterRole,
    /// A write failed: the voter takes part in nothing until the disk works again (design 2.4).
    pub disk_failed: bool,
    /// It is no longer in the voter set, by a replacement that is complete (design 2.5).
    pub removed: bool,
    /// Limits on what is stored and sent (design 2.8).
    pub size_limits: SizeLimits,
    /// When its wait before voting began; set back once no wait is needed.
    started: Tick,
    /// Identifies this run of the process in its leader queries.
    process_started: Tick,
    /// RPC addresses of voters that answered this run of the process that they do not lead.
    not_leading: BTreeSet<SocketAddr>,
    /// Writes that are not yet synced.
    writes: PendingWrites,
    /// Voters that answered that they are blank, by RPC address, and when they were asked.
    discovered_voters: BTreeMap<SocketAddr, (VoterInfo, Tick)>,
    /// RPC addresses of learners that announced themselves, and when they last did.
    discovered_learners: BTreeMap<SocketAddr, Tick>,
    /// The initial state that this learner sent to the voters of a new cluster.
    proposed_bootstrap: Option<ClusterState>,
    /// It has seen a cluster that does not include it: it may neither bootstrap a cluster nor be bootstrapped.
    saw_other_cluster: bool,
    /// Since when all seeds have been known to be blank or learners.
    seeds_complete_since: Option<Tick>,
    /// The highest term that an answer to this leader carried.
    highest_term_seen: Term,
    /// While it is blank: the newest voter set that it knows to include it.
    admission: Option<Admission>,
    /// A committed voter set that is newer than this voter's own, as another voter reported it.
    reported_voters: Option<ReportedVoters>,
    /// Blank voters that ask to be admitted, by incarnation.
    join_requests: BTreeMap<Incarnation, JoinRequest>,
    /// When it last sent the messages that it repeats with each heartbeat interval.
    last_heartbeat: Tick,
}

impl Voter {
    /// Creates a voter that resumes from its durable state, or a blank one if there is none.
    pub fn new(
        identity: VoterInfo,
        cluster: &str,
        seeds: Vec<SocketAddr>,
        timing: Timing,
        durable: Option<DurableState>,
        now: Tick,
    ) -> Self {
        let mut voter = Self::blank(identity, cluster, seeds, timing, now);
        if let Some(durable) = durable {
            voter.restore(durable);
        }
        voter
    }

    fn blank(identity: VoterInfo, cluster: &str, seeds: Vec<SocketAddr>, timing: Timing, now: Tick) -> Self {
        Self {
            identity,
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
            highest_term_seen: Term(0),
            admission: None,
            reported_voters: None,
            join_requests: BTreeMap::new(),
            last_heartbeat: Tick(0),
        }
    }

    fn restore(&mut self, durable: DurableState) {
        self.identity.incarnation = durable.identity.incarnation;
        self.identity.number = durable.identity.number;
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

    /// Index up to which it knows entries to be committed.
    pub fn commit_index(&self) -> Index {
        self.cluster_state.index
    }

    /// The voter sets at the end of its log.
    pub fn configuration(&self) -> Configuration {
        Configuration::at_end_of_log(&self.cluster_state, self.uncommitted(), self.commit_index())
    }

    /// The voter set with logged replacements applied, committed or not.
    pub fn voters(&self) -> Vec<VoterInfo> {
        self.configuration().target().to_vec()
    }

    /// Whether the voter set with logged replacements applied contains this number with this incarnation.
    pub fn is_voter(&self, id: &VoterId) -> bool {
        let matches = |voter: &VoterInfo| voter.number == id.number && voter.incarnation == id.incarnation;
        self.configuration().target().iter().any(matches)
    }

    /// The voters of its configuration without this voter. During a replacement they include both the new voter and
    /// the one that it replaces, unless that one's address is the new voter's.
    pub fn other_voters(&self) -> Vec<VoterInfo> {
        let mut voters = self.configuration().members();
        voters.retain(|voter| voter.incarnation != self.identity.incarnation);
        voters
    }

    /// Its identifier in messages.
    pub fn id(&self) -> VoterId {
        VoterId { number: self.identity.number, incarnation: self.identity.incarnation }
    }

    /// Whether it was elected leader of its term. Another may lead by now: see [`Voter::has_leadership`].
    pub fn is_leader(&self) -> bool {
        matches!(self.role, VoterRole::Leader { .. })
    }
}
