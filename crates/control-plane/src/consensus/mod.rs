//! A voter of the core (design 2.2 to 2.5): no input or output, only `(state, event, now)`.

mod bootstrap;
mod durability;
mod election;
mod leadership;
mod message;
mod replay;
mod replication;
mod role;
mod size_limits;
mod startup;
mod validation;

pub use leadership::Contact;
pub(crate) use role::AppendRequest;
pub use role::{InFlight, Progress, VoterRole};
pub use size_limits::{SizeLimits, batch};
pub use validation::InvalidMessage;

pub use message::{Body, DurableState, Effect, Event, LogEntry, LogTail, Message, Record, VoterId};

use crate::{
    change::{Change, VoterInfo},
    cluster_state::ClusterState,
};
use common::{Incarnation, Index, Term, Tick, settings::Timing};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
};

/// Accepted entries kept past the snapshot, for state updates and for voters that lag a little.
const KEEP: usize = 256;
/// Most voters of a core: a term's number has room for one more (design 2.2).
pub const MOST_VOTERS: usize = 7;
/// Why a voter whose disk failed logs nothing.
const DISK_REFUSES: &str = "this seat's disk refuses writes";
/// Records after which a new slot is written.
const SLOT_RECS: usize = 512;

#[derive(Clone, Debug)]
pub struct Voter {
    pub me: VoterInfo,
    pub t: Timing,
    pub cluster: String,
    pub seeds: Vec<SocketAddr>,
    /// Whether it may found a cluster while blank.
    pub may_bootstrap: bool,
    /// Voters that a founder waits for; the seeds alone where it is told no more (design 2.5).
    pub expected_voters: usize,
    /// Drawn by the daemon; a founder makes it the cluster's own (design 5.6).
    pub secret: u128,
    pub initialized: bool,
    pub current_term: Term,
    pub log_term: Term,
    pub cluster_state: ClusterState,
    /// Entries after the snapshot; the accepted ones among them are folded into the cluster state.
    pub log: VecDeque<LogEntry>,
    pub base: Index,
    pub durable_index: Index,
    pub role: VoterRole,
    /// A write failed: until the disk works again the voter takes part in nothing (design 2.4).
    pub disk_failed: bool,
    /// Replaced by another holder (design 2.5).
    pub out: bool,
    started: Tick,
    /// Names this life of the process in what it asks.
    process_started: Tick,
    /// Addresses at which nobody leads, as was said to this life.
    not_leading: BTreeSet<SocketAddr>,
    token: u64,
    unsynced: VecDeque<(u64, Tick, Index, Vec<Effect>)>,
    /// Blank voters as they said themselves, and when.
    discovered_voters: BTreeMap<SocketAddr, (VoterInfo, Tick)>,
    /// A cluster without this voter was seen: it may neither found nor be founded.
    saw_other_cluster: bool,
    /// Since when all seeds are known to be blank.
    seeds_complete_since: Option<Tick>,
    /// Blank voters' wishes, and when each was first heard.
    join_requests: BTreeMap<Incarnation, (VoterInfo, Tick)>,
    log_bytes: usize,
    log_records: usize,
    last_heartbeat: Tick,
    /// What fits on disk and on the wire (design 2.8).
    pub room: SizeLimits,
}

impl Voter {
    /// Takes up a voter from what the disk held; `None` starts it blank.
    pub fn new(
        me: VoterInfo,
        cluster: &str,
        seeds: Vec<SocketAddr>,
        t: Timing,
        image: Option<DurableState>,
        now: Tick,
    ) -> Self {
        let mut s = Self {
            me,
            t,
            cluster: cluster.into(),
            seeds,
            may_bootstrap: true,
            expected_voters: 0,
            secret: 0,
            initialized: false,
            current_term: Term(0),
            log_term: Term(0),
            cluster_state: ClusterState::default(),
            log: VecDeque::new(),
            base: Index(0),
            durable_index: Index(0),
            role: VoterRole::Follower { leader: None, last_contact: now },
            disk_failed: false,
            out: false,
            started: now,
            process_started: now,
            not_leading: BTreeSet::new(),
            token: 0,
            unsynced: VecDeque::new(),
            discovered_voters: BTreeMap::new(),
            saw_other_cluster: false,
            seeds_complete_since: None,
            join_requests: BTreeMap::new(),
            log_bytes: 0,
            log_records: 0,
            last_heartbeat: Tick(0),
            room: SizeLimits::default(),
        };
        if let Some(i) = image {
            s.me.incarnation = i.me.incarnation;
            s.me.number = i.me.number;
            s.initialized = i.initialized;
            s.current_term = i.current_term;
            s.log_term = i.log_term;
            s.base = i.cluster_state.index;
            s.cluster_state = i.cluster_state;
            s.log = i.entries.into();
            s.durable_index = s.last();
        }
        s
    }

    pub fn last(&self) -> Index {
        self.log.back().map(|e| e.index).unwrap_or(self.base)
    }

    pub fn accepted(&self) -> Index {
        self.cluster_state.index
    }

    /// The voters with logged changes applied: a replaced holder counts no more from the
    /// moment that the change is in the log (design 2.5).
    pub fn voters(&self) -> Vec<VoterInfo> {
        let mut r = self.cluster_state.voters.clone();
        for e in self.log.iter().filter(|e| e.index > self.accepted()) {
            if let Change::ReplaceVoter(h) = &e.change {
                r.iter_mut().filter(|o| o.number == h.number).for_each(|o| *o = h.clone());
            }
        }
        r
    }

    pub fn is_voter(&self, v: &VoterId) -> bool {
        self.voters().iter().any(|h| h.number == v.number && h.incarnation == v.incarnation)
    }

    pub fn other_voters(&self) -> Vec<VoterInfo> {
        let mut r = self.voters();
        r.retain(|h| h.number != self.me.number);
        r
    }

    pub fn quorum(&self) -> usize {
        self.cluster_state.voters.len() / 2 + 1
    }

    pub fn id(&self) -> VoterId {
        VoterId { number: self.me.number, incarnation: self.me.incarnation }
    }

    pub fn is_leader(&self) -> bool {
        matches!(self.role, VoterRole::Leader { .. })
    }

    /// The one entrance: every event goes through here.
    pub fn step(&mut self, event: Event, now: Tick) -> Vec<Effect> {
        let mut effects = Vec::new();
        match event {
            Event::SyncFailed => self.handle_sync_failed(now, &mut effects),
            Event::Recovered(image) => self.handle_recovered(*image, now, &mut effects),
            Event::Synced(token) => self.handle_synced(token, now, &mut effects),
            Event::Propose(change) if self.disk_failed => {
                effects.push(Effect::NotLogged { change, why: DISK_REFUSES })
            }
            _ if self.disk_failed => {}
            Event::Timer => self.tick(now, &mut effects),
            Event::Propose(ch) => self.handle_propose(ch, now, &mut effects),
            Event::StepDown => self.step_down(now, &mut effects),
            Event::Msg(from, m) => self.handle_message(from, m, now, &mut effects),
        }
        effects
    }

    fn tick(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        if !self.initialized {
            return self.formation_timer(now, effects);
        }
        if self.out {
            return;
        }
        self.wake(now, effects);
        self.election_timer(now, effects);
        if self.is_leader() && now.since(self.last_heartbeat) >= self.t.heartbeat_ms() {
            self.last_heartbeat = now;
            self.broadcast_append(now, effects);
        }
    }

    fn handle_message(&mut self, from: SocketAddr, m: Message, now: Tick, effects: &mut Vec<Effect>) {
        if let Err(why) = self.check(&m, now) {
            return effects.push(Effect::Refused { from, why });
        }
        match m {
            Message::Discover { holder, initialized, voters, index } => {
                self.handle_discover(from, holder, initialized, (voters, index), now, effects)
            }
            Message::Bootstrap { cluster_state } => self.handle_bootstrap(cluster_state, now, effects),
            Message::LeaderQuery(process_started) => self.handle_leader_query(from, process_started, effects),
            Message::NotLeading(process_started) => self.handle_not_leading(from, process_started, now),
            Message::StepDown { by, term } => self.handle_step_down(by, term, now),
            Message::JoinRequest { holder } => self.handle_join_request(holder, now),
            Message::PreVote { by, term } => self.handle_pre_vote(from, by, term, now, effects),
            Message::PreVoteGranted { by, term } => self.handle_pre_vote_granted(by, term, now, effects),
            Message::VoteRequest { by, term, accepted } => {
                self.handle_vote_request(from, by, term, accepted, now, effects)
            }
            Message::Vote { by, term, tail } => self.handle_vote(by, term, tail, now, effects),
            Message::Append { by, to, term, accepted, sent_at, body } => {
                let f = AppendRequest { from, by, to, term, accepted, sent_at, body };
                self.handle_append(f, now, effects)
            }
            Message::AppendReply { by, term, installed, last, accepted, sent_at } => {
                let p = Progress { installed, last, accepted, sent_at, in_flight: None };
                self.handle_append_reply(by, term, p, now, effects)
            }
        }
    }
}
