//! Three voters that store their state in real files, with virtual time and a network that can be cut.

// Each test program uses only a part of this module.
#![allow(dead_code)]

#[path = "../random_text/mod.rs"]
pub mod random_text;

use common::{Incarnation, Revision, Tick, settings::Timing, wire};
use control_plane::{
    Change, ClusterState,
    consensus::{DurableState, Effect, Event, Message, Voter},
    storage::FileStore,
    storage::{LoadResult, RecordWriter},
    types::VoterInfo,
};
use random_text::random_text;
use std::{collections::VecDeque, net::SocketAddr, path::Path};

/// Length of a long document, in bytes.
pub const DOCUMENT_BYTES: usize = 1 << 20;

/// RPC address of voter `n`.
pub fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + n as u16))
}

/// Three voters, their files and the messages between them.
pub struct FileCluster {
    dir: std::path::PathBuf,
    pub voters: Vec<Voter>,
    disks: Vec<FileStore>,
    /// Messages in transit: sender, receiver, message.
    in_transit: VecDeque<(usize, usize, Message)>,
    /// Voter whose messages are dropped in both directions.
    pub isolated: Option<usize>,
    /// Voter with a slow disk, and the tokens of its writes that are not synced yet.
    pub slow_disk: Option<(usize, VecDeque<u64>)>,
    /// The slow disk syncs nothing.
    pub slow_disk_stalled: bool,
    pub now: Tick,
    /// Writes that failed unexpectedly, each with its voter and error.
    disk_errors: Vec<String>,
    /// Voters whose disks fail every write.
    failing_disks: [bool; 3],
    /// Length of the longest message, in bytes.
    longest_message: usize,
    pub logged_proposals: usize,
    pub rejected_proposals: usize,
    /// Appends sent: to which voter, when, and the maximum length of their payload in bytes.
    pub appends_sent: Vec<(usize, Tick, usize)>,
}

/// Starts a bootstrapped cluster of three voters whose files are below `dir`.
pub fn start(dir: &Path) -> FileCluster {
    let voter_info = |n: usize| VoterInfo {
        number: n as u8,
        incarnation: Incarnation(10 + n as u64),
        node: format!("s{n}").as_str().into(),
        zone: "a".into(),
        rpc_addr: addr(n),
        http: addr(n),
    };
    let (mut voters, mut disks) = (vec![], vec![]);
    for n in 0..3 {
        let cluster_state = ClusterState::bootstrapped("c", (0..3).map(voter_info).collect());
        let image = DurableState { initialized: true, cluster_state, ..DurableState::blank(&voter_info(n)) };
        let dir = dir.join(format!("s{n}"));
        disks.push(FileStore::open(&dir, &image).unwrap());
        let seeds = (0..3).map(addr).collect();
        voters.push(Voter::new(voter_info(n), "c", seeds, Timing::default(), Some(image), Tick(10_000)));
    }
    let (in_transit, disk_errors) = Default::default();
    let (longest_message, logged_proposals, rejected_proposals) = (0, 0, 0);
    let appends_sent = vec![];
    let dir = dir.to_path_buf();
    FileCluster {
        dir,
        voters,
        disks,
        in_transit,
        isolated: None,
        slow_disk: None,
        slow_disk_stalled: false,
        now: Tick(10_000),
        disk_errors,
        failing_disks: [false; 3],
        longest_message,
        logged_proposals,
        rejected_proposals,
        appends_sent,
    }
}

impl FileCluster {
    /// Passes an event to voter `n` and carries out its effects.
    pub fn step(&mut self, n: usize, event: Event) {
        let mut effects = VecDeque::from(self.voters[n].step(event, self.now));
        while let Some(effect) = effects.pop_front() {
            match effect {
                Effect::Send { to, msg } => {
                    let len = wire::encode(&msg).unwrap().len();
                    self.longest_message = self.longest_message.max(len);
                    if let Message::Append { to, body, .. } = &msg {
                        self.appends_sent.push((usize::from(*to), self.now, body.max_payload_len()));
                    }
                    if len < wire::MAX_FRAME_BYTES {
                        self.in_transit.push_back((n, usize::from(to.port()) - 7000, msg));
                    }
                }
                Effect::Persist { .. } if self.failing_disks[n] => {
                    effects.extend(self.voters[n].step(Event::SyncFailed, self.now));
                }
                Effect::Persist { token, record } => match self.disks[n].write(&record) {
                    Ok(()) => match &mut self.slow_disk {
                        Some((slow, tokens)) if *slow == n => tokens.push_back(token),
                        _ => effects.extend(self.voters[n].step(Event::Synced(token), self.now)),
                    },
                    Err(error) => {
                        self.disk_errors.push(format!("s{n}: {error}"));
                        self.voters[n].step(Event::SyncFailed, self.now);
                    }
                },
                Effect::Logged { .. } => self.logged_proposals += 1,
                Effect::NotLogged { .. } => self.rejected_proposals += 1,
                _ => {}
            }
        }
    }

    /// Lets virtual time pass in steps of 25 ms; a slow disk that is not stalled syncs one write a step.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / 25 {
            self.now = self.now + 25;
            for n in 0..3 {
                let slow = self.slow_disk.as_mut().filter(|slow| slow.0 == n && !self.slow_disk_stalled);
                let token = slow.and_then(|slow| slow.1.pop_front());
                token.into_iter().for_each(|token| self.step(n, Event::Synced(token)));
                self.step(n, Event::Timer);
            }
            for _ in 0..self.in_transit.len() {
                let Some((from, to, msg)) = self.in_transit.pop_front() else { break };
                if self.isolated != Some(from) && self.isolated != Some(to) {
                    self.step(to, Event::Msg(addr(from), msg));
                }
            }
        }
    }

    /// What the disk of a voter holds.
    pub fn durable_state(&self, n: usize) -> DurableState {
        match FileStore::load(&self.dir.join(format!("s{n}"))).unwrap() {
            LoadResult::State(image) => *image,
            other => panic!("s{n}: {other:?}"),
        }
    }

    /// Makes the disk of a voter fail every write, or work again while the same process runs.
    pub fn set_disk_failing(&mut self, n: usize, failing: bool) {
        self.failing_disks[n] = failing;
        if !failing && self.voters[n].disk_failed {
            let image = self.durable_state(n);
            self.disks[n] = FileStore::open(&self.dir.join(format!("s{n}")), &image).unwrap();
            self.step(n, Event::Recovered(Box::new(image)));
        }
    }

    /// Restarts the process of a voter from its disk. With `wiped_as` the disk is wiped first, and the voter starts
    /// blank with this incarnation.
    pub fn restart(&mut self, n: usize, wiped_as: Option<u64>) {
        let dir = self.dir.join(format!("s{n}"));
        let identity =
            VoterInfo { incarnation: Incarnation(wiped_as.unwrap_or(0)), ..self.voters[n].identity.clone() };
        if wiped_as.is_some() {
            std::fs::remove_dir_all(&dir).unwrap();
        }
        let image = match FileStore::load(&dir).unwrap() {
            LoadResult::State(image) => *image,
            LoadResult::Empty => DurableState::blank(&identity),
            other => panic!("s{n}: {other:?}"),
        };
        self.disks[n] = FileStore::open(&dir, &image).unwrap();
        let seeds = (0..3).map(addr).collect();
        self.voters[n] =
            Voter::new(image.identity.clone(), "c", seeds, Timing::default(), Some(image), self.now);
        self.in_transit.retain(|(from, to, _)| *from != n && *to != n);
    }

    /// The leader that can serve reads, if there is one.
    pub fn serving_leader(&self) -> Option<usize> {
        (0..3).find(|n| self.voters[*n].can_serve_reads(self.now))
    }

    /// The voter that leads for certain.
    pub fn leader(&self) -> usize {
        (0..3).find(|n| self.voters[*n].has_leadership(self.now)).expect("some voter is the leader")
    }

    /// Proposes to the leader, as operation `n`, a random document of `len` bytes.
    pub fn propose_document(&mut self, n: u64, len: usize) {
        let leader = self.leader();
        let base = Revision(self.voters[leader].cluster_state.revision.0);
        let text = random_text(n, len);
        self.step(
            leader,
            Event::Propose(Change::Apply { op: format!("o{n}").as_str().into(), base, text: text.into() }),
        );
    }

    /// Checks that no write failed unexpectedly, that each message fitted into a frame, and that all voters have
    /// committed as much as the leader.
    pub fn assert_consistent(&self) {
        assert!(self.disk_errors.is_empty(), "{:?}", self.disk_errors);
        assert!(self.longest_message < wire::MAX_FRAME_BYTES, "a message of {} bytes", self.longest_message);
        let leader = &self.voters[self.leader()].cluster_state;
        for voter in &self.voters {
            let state = &voter.cluster_state;
            assert_eq!((state.index, state.revision), (leader.index, leader.revision));
        }
    }
}
