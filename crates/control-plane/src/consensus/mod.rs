//! A voter of the core (design 2.2 to 2.5): no input or output, only `(state, event, now)`.

mod election;
mod feed;
mod form;
mod lead;
mod msg;
mod replay;
mod role;
mod room;
mod sync;
mod valid;
mod wake;

pub use lead::Contact;
pub(crate) use role::AppendRequest;
pub use role::{InFlight, Progress, VoterRole};
pub use room::{Room, batch};
pub use valid::Refusal;

pub use msg::{Body, DurableState, Effect, Event, LogEntry, LogTail, Message, Record, VoterId};

use crate::{
    change::{Change, VoterInfo},
    ledger::Ledger,
};
use common::{Incarnation, Index, Term, Tick, settings::Timing};
use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    net::SocketAddr,
};

/// Accepted entries kept past the snapshot, for news and for voters that lag a little.
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
    pub founds: bool,
    /// Voters that a founder waits for; the seeds alone where it is told no more (design 2.5).
    pub expects: usize,
    /// Drawn by the daemon; a founder makes it the cluster's own (design 5.6).
    pub secret: u128,
    pub formed: bool,
    pub promised: Term,
    pub log_term: Term,
    pub ledger: Ledger,
    /// Entries after the snapshot; the accepted ones among them are folded into the ledger.
    pub log: VecDeque<LogEntry>,
    pub base: Index,
    pub synced: Index,
    pub role: VoterRole,
    /// A write failed: until the disk works again the voter takes part in nothing (design 2.4).
    pub dead: bool,
    /// Replaced by another holder (design 2.5).
    pub out: bool,
    started: Tick,
    /// Names this life of the process in what it asks.
    life: Tick,
    /// Addresses at which nobody leads, as was said to this life.
    resting: BTreeSet<SocketAddr>,
    tok: u64,
    unsynced: VecDeque<(u64, Tick, Index, Vec<Effect>)>,
    /// Blank voters as they said themselves, and when.
    discovered: BTreeMap<SocketAddr, (VoterInfo, Tick)>,
    /// A cluster without this voter was seen: it may neither found nor be founded.
    foreign: bool,
    /// Since when all seeds are known to be blank.
    gathered: Option<Tick>,
    /// Blank voters' wishes, and when each was first heard.
    join_requests: BTreeMap<Incarnation, (VoterInfo, Tick)>,
    log_bytes: usize,
    log_recs: usize,
    last_beat: Tick,
    /// What fits on disk and on the wire (design 2.8).
    pub room: Room,
}

impl Voter {
    /// Takes up a voter from what the disk held; `None` starts it blank.
    pub fn new(
        me: VoterInfo,
        cluster: &str,
        seeds: Vec<SocketAddr>,
        t: Timing,
        img: Option<DurableState>,
        now: Tick,
    ) -> Self {
        let mut s = Self {
            me,
            t,
            cluster: cluster.into(),
            seeds,
            founds: true,
            expects: 0,
            secret: 0,
            formed: false,
            promised: Term(0),
            log_term: Term(0),
            ledger: Ledger::default(),
            log: VecDeque::new(),
            base: Index(0),
            synced: Index(0),
            role: VoterRole::Follower { leader: None, heard: now },
            dead: false,
            out: false,
            started: now,
            life: now,
            resting: BTreeSet::new(),
            tok: 0,
            unsynced: VecDeque::new(),
            discovered: BTreeMap::new(),
            foreign: false,
            gathered: None,
            join_requests: BTreeMap::new(),
            log_bytes: 0,
            log_recs: 0,
            last_beat: Tick(0),
            room: Room::default(),
        };
        if let Some(i) = img {
            s.me.incarnation = i.me.incarnation;
            s.me.number = i.me.number;
            s.formed = i.formed;
            s.promised = i.promised;
            s.log_term = i.log_term;
            s.base = i.ledger.index;
            s.ledger = i.ledger;
            s.log = i.entries.into();
            s.synced = s.last();
        }
        s
    }

    pub fn last(&self) -> Index {
        self.log.back().map(|e| e.index).unwrap_or(self.base)
    }

    pub fn accepted(&self) -> Index {
        self.ledger.index
    }

    /// The voters with logged changes applied: a replaced holder counts no more from the
    /// moment that the change is in the log (design 2.5).
    pub fn voters(&self) -> Vec<VoterInfo> {
        let mut r = self.ledger.voters.clone();
        for e in self.log.iter().filter(|e| e.index > self.accepted()) {
            if let Change::ReplaceVoter(h) = &e.change {
                r.iter_mut().filter(|o| o.number == h.number).for_each(|o| *o = h.clone());
            }
        }
        r
    }

    pub fn knows(&self, v: &VoterId) -> bool {
        self.voters().iter().any(|h| h.number == v.number && h.incarnation == v.incarnation)
    }

    pub fn others(&self) -> Vec<VoterInfo> {
        let mut r = self.voters();
        r.retain(|h| h.number != self.me.number);
        r
    }

    pub fn quorum(&self) -> usize {
        self.ledger.voters.len() / 2 + 1
    }

    pub fn id(&self) -> VoterId {
        VoterId { number: self.me.number, incarnation: self.me.incarnation }
    }

    pub fn is_leader(&self) -> bool {
        matches!(self.role, VoterRole::Leader { .. })
    }

    /// The one entrance: every event goes through here.
    pub fn step(&mut self, ev: Event, now: Tick) -> Vec<Effect> {
        let mut effects = Vec::new();
        match ev {
            Event::SyncFailed => self.on_sync_failed(now, &mut effects),
            Event::Recovered(image) => self.on_recovered(*image, now, &mut effects),
            Event::Synced(tok) => self.on_synced(tok, now, &mut effects),
            Event::Propose(change) if self.dead => {
                effects.push(Effect::NotLogged { change, why: DISK_REFUSES })
            }
            _ if self.dead => {}
            Event::Timer => self.on_timer(now, &mut effects),
            Event::Propose(ch) => self.on_propose(ch, now, &mut effects),
            Event::StepDown => self.on_stopping(now, &mut effects),
            Event::Msg(from, m) => self.on_msg(from, m, now, &mut effects),
        }
        effects
    }

    fn on_timer(&mut self, now: Tick, effects: &mut Vec<Effect>) {
        if !self.formed {
            return self.formation_timer(now, effects);
        }
        if self.out {
            return;
        }
        self.wake(now, effects);
        self.election_timer(now, effects);
        if self.is_leader() && now.since(self.last_beat) >= self.t.heartbeat_ms() {
            self.last_beat = now;
            self.feed_all(now, effects);
        }
    }

    fn on_msg(&mut self, from: SocketAddr, m: Message, now: Tick, effects: &mut Vec<Effect>) {
        if let Err(why) = self.check(&m, now) {
            return effects.push(Effect::Refused { from, why });
        }
        match m {
            Message::Discover { holder, formed, voters, index } => {
                self.on_discover(from, holder, formed, (voters, index), now, effects)
            }
            Message::Bootstrap { ledger } => self.on_found(ledger, now, effects),
            Message::LeaderQuery(life) => self.on_asks(from, life, effects),
            Message::NotLeading(life) => self.on_rests(from, life, now),
            Message::StepDown { by, term } => self.on_yield(by, term, now),
            Message::JoinRequest { holder } => self.on_join_request(holder, now),
            Message::PreVote { by, term } => self.on_pre_vote(from, by, term, now, effects),
            Message::PreVoteGranted { by, term } => self.on_pre_vote_granted(by, term, now, effects),
            Message::VoteRequest { by, term, accepted } => {
                self.on_stop(from, by, term, accepted, now, effects)
            }
            Message::Vote { by, term, tail } => self.on_stopped(by, term, tail, now, effects),
            Message::Append { by, to, term, accepted, stamp, body } => {
                let f = AppendRequest { from, by, to, term, accepted, stamp, body };
                self.on_feed(f, now, effects)
            }
            Message::AppendReply { by, term, installed, last, accepted, stamp } => {
                let p = Progress { installed, last, accepted, stamp, carried: None };
                self.on_held(by, term, p, now, effects)
            }
        }
    }
}
