//! Three voters on real files, with a network that can be cut.

#![allow(dead_code)]

#[path = "../noise/mod.rs"]
pub mod noise;

use common::{Incarnation, Revision, Tick, settings::Timing, wire};
use control_plane::{
    Change, ClusterState,
    consensus::{DurableState, Effect, Event, Message, Voter},
    storage::FileStore,
    storage::{LoadResult, RecordWriter},
    types::VoterInfo,
};
use noise::noise;
use std::{collections::VecDeque, net::SocketAddr, path::Path};

pub const DOC: usize = 1 << 20;

pub fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + n as u16))
}

pub struct Rig {
    dir: std::path::PathBuf,
    pub voters: Vec<Voter>,
    disks: Vec<FileStore>,
    mail: VecDeque<(usize, usize, Message)>,
    pub cut: Option<usize>,
    pub slow: Option<(usize, VecDeque<u64>)>,
    /// The slow disk syncs nothing.
    pub stalled: bool,
    pub now: Tick,
    disk_failed: Vec<String>,
    /// Disks that refuse every write.
    refusing: [bool; 3],
    widest: usize,
    pub logged: usize,
    pub rejected: usize,
    /// Feeds: to whom, when, and what they weigh.
    pub replication_targets: Vec<(usize, Tick, usize)>,
}

pub fn start(dir: &Path) -> Rig {
    let holder = |n: usize| VoterInfo {
        number: n as u8,
        incarnation: Incarnation(10 + n as u64),
        node: format!("s{n}").as_str().into(),
        zone: "a".into(),
        rpc_addr: addr(n),
        http: addr(n),
    };
    let (mut voters, mut disks) = (vec![], vec![]);
    for n in 0..3 {
        let cluster_state = ClusterState::bootstrapped("c", (0..3).map(holder).collect());
        let image = DurableState { initialized: true, cluster_state, ..DurableState::blank(&holder(n)) };
        let dir = dir.join(format!("s{n}"));
        disks.push(FileStore::open(&dir, &image).unwrap());
        let seeds = (0..3).map(addr).collect();
        voters.push(Voter::new(holder(n), "c", seeds, Timing::default(), Some(image), Tick(10_000)));
    }
    let (mail, disk_failed) = Default::default();
    let (widest, logged, rejected) = (0, 0, 0);
    let replication_targets = vec![];
    let dir = dir.to_path_buf();
    Rig {
        dir,
        voters,
        disks,
        mail,
        cut: None,
        slow: None,
        stalled: false,
        now: Tick(10_000),
        disk_failed,
        refusing: [false; 3],
        widest,
        logged,
        rejected,
        replication_targets,
    }
}

impl Rig {
    pub fn step(&mut self, n: usize, event: Event) {
        let mut due = VecDeque::from(self.voters[n].step(event, self.now));
        while let Some(f) = due.pop_front() {
            match f {
                Effect::Send { to, msg } => {
                    let len = wire::encode(&msg).unwrap().len();
                    self.widest = self.widest.max(len);
                    if let Message::Append { to, body, .. } = &msg {
                        self.replication_targets.push((usize::from(*to), self.now, body.weight()));
                    }
                    if len < wire::MAX_FRAME {
                        self.mail.push_back((n, usize::from(to.port()) - 7000, msg));
                    }
                }
                Effect::Persist { .. } if self.refusing[n] => {
                    due.extend(self.voters[n].step(Event::SyncFailed, self.now));
                }
                Effect::Persist { token, record } => match self.disks[n].write(&record) {
                    Ok(()) => match &mut self.slow {
                        Some((s, toks)) if *s == n => toks.push_back(token),
                        _ => due.extend(self.voters[n].step(Event::Synced(token), self.now)),
                    },
                    Err(e) => {
                        self.disk_failed.push(format!("s{n}: {e}"));
                        self.voters[n].step(Event::SyncFailed, self.now);
                    }
                },
                Effect::Logged { .. } => self.logged += 1,
                Effect::NotLogged { .. } => self.rejected += 1,
                _ => {}
            }
        }
    }

    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / 25 {
            self.now = self.now + 25;
            for n in 0..3 {
                let token =
                    self.slow.as_mut().filter(|s| s.0 == n && !self.stalled).and_then(|s| s.1.pop_front());
                token.into_iter().for_each(|token| self.step(n, Event::Synced(token)));
                self.step(n, Event::Timer);
            }
            for _ in 0..self.mail.len() {
                let Some((from, to, msg)) = self.mail.pop_front() else { break };
                if self.cut != Some(from) && self.cut != Some(to) {
                    self.step(to, Event::Msg(addr(from), msg));
                }
            }
        }
    }

    /// What the disk of a voter holds.
    pub fn held(&self, n: usize) -> DurableState {
        match FileStore::load(&self.dir.join(format!("s{n}"))).unwrap() {
            LoadResult::State(image) => *image,
            other => panic!("s{n}: {other:?}"),
        }
    }

    /// A disk refuses every write, or works again under the same process.
    pub fn refuse(&mut self, n: usize, refuses: bool) {
        self.refusing[n] = refuses;
        if !refuses && self.voters[n].disk_failed {
            let image = self.held(n);
            self.disks[n] = FileStore::open(&self.dir.join(format!("s{n}")), &image).unwrap();
            self.step(n, Event::Recovered(Box::new(image)));
        }
    }

    /// The process ends and starts again by what its disk holds; a blank disk makes another holder.
    pub fn restart(&mut self, n: usize, blank: Option<u64>) {
        let dir = self.dir.join(format!("s{n}"));
        let me = VoterInfo { incarnation: Incarnation(blank.unwrap_or(0)), ..self.voters[n].me.clone() };
        if blank.is_some() {
            std::fs::remove_dir_all(&dir).unwrap();
        }
        let image = match FileStore::load(&dir).unwrap() {
            LoadResult::State(i) => *i,
            LoadResult::Empty => DurableState::blank(&me),
            other => panic!("s{n}: {other:?}"),
        };
        self.disks[n] = FileStore::open(&dir, &image).unwrap();
        let seeds = (0..3).map(addr).collect();
        self.voters[n] = Voter::new(image.me.clone(), "c", seeds, Timing::default(), Some(image), self.now);
        self.mail.retain(|m| m.0 != n && m.1 != n);
    }

    pub fn has_leadership(&self) -> Option<usize> {
        (0..3).find(|n| self.voters[*n].can_serve_reads(self.now))
    }

    pub fn leader(&self) -> usize {
        (0..3).find(|n| self.voters[*n].has_leadership(self.now)).expect("a seat leads")
    }

    pub fn apply(&mut self, n: u64, len: usize) {
        let at = self.leader();
        let base = Revision(self.voters[at].cluster_state.revision.0);
        let text = noise(n, len);
        self.step(
            at,
            Event::Propose(Change::Apply { op: format!("o{n}").as_str().into(), base, text: text.into() }),
        );
    }

    pub fn well(&self) {
        assert!(self.disk_failed.is_empty(), "{:?}", self.disk_failed);
        assert!(self.widest < wire::MAX_FRAME, "a message of {} bytes", self.widest);
        let l = &self.voters[self.leader()].cluster_state;
        for s in &self.voters {
            assert_eq!((s.cluster_state.index, s.cluster_state.revision), (l.index, l.revision));
        }
    }
}
