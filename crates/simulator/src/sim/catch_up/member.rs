//! One voter with its disk: what a start finds is what was synced, and nothing else.

use super::timing;
use common::{Incarnation, Index, Tick};
use control_plane::{
    ClusterState,
    consensus::{DurableState, Record, Voter, VoterRole},
    types::SHORT_LOG_BYTES,
    types::{LogEntry, SizeLimits, VoterInfo},
};
use std::{collections::VecDeque, net::SocketAddr};

pub const VOTERS: usize = 3;
pub const CLUSTER: &str = "c";
/// Time of one sync, and bytes written in a millisecond.
const SYNC_MS: u64 = 2;
const DISK_BYTES_A_MS: usize = 50_000;

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + n as u16))
}

pub fn holder(n: usize, incarnation: u64) -> VoterInfo {
    VoterInfo {
        number: n as u8,
        incarnation: Incarnation(incarnation),
        node: format!("s{n}").as_str().into(),
        zone: format!("a{n}").as_str().into(),
        rpc_addr: address(n),
        http: address(n),
    }
}

pub struct Member {
    pub voter: Option<Voter>,
    /// What a start would find.
    pub kept: DurableState,
    /// Written and not yet synced.
    pub pending: VecDeque<(u64, Record)>,
    /// Until when the disk writes.
    writes_until: u64,
    /// Bytes in the short log.
    log_bytes: usize,
    /// Rises with each start: syncs of an earlier life are dropped.
    pub starts: u64,
    /// Its lines are cut.
    pub cut: bool,
    pub room: SizeLimits,
}

impl Member {
    /// A member of a cluster that was founded and holds nothing yet.
    pub fn bootstrapped(n: usize, room: SizeLimits) -> Self {
        let voters = (0..VOTERS).map(|n| holder(n, 10 + n as u64)).collect();
        let cluster_state = ClusterState::bootstrapped(CLUSTER, voters);
        let kept = DurableState {
            initialized: true,
            cluster_state,
            ..DurableState::blank(&holder(n, 10 + n as u64))
        };
        let mut member = Self {
            voter: None,
            kept,
            pending: VecDeque::new(),
            writes_until: 0,
            log_bytes: 0,
            starts: 0,
            cut: false,
            room,
        };
        member.start(Tick(0));
        member
    }

    pub fn start(&mut self, now: Tick) {
        let image = self.kept.clone();
        let seeds = (0..VOTERS).map(address).collect();
        let mut voter = Voter::new(image.me.clone(), CLUSTER, seeds, timing(), Some(image), now);
        voter.size_limits = self.room;
        self.voter = Some(voter);
        self.starts += 1;
        self.log_bytes = 0;
    }

    pub fn stop(&mut self) {
        self.voter = None;
        self.pending.clear();
    }

    /// Its disk is blank from here on: it starts as another holder.
    pub fn wipe(&mut self, n: usize) {
        let blank = VoterInfo { number: u8::MAX, ..holder(n, 100 + self.starts) };
        self.kept = DurableState::blank(&blank);
    }

    /// Takes a record, and says when it will be synced; an error where it does not fit (design 2.8).
    pub fn write(&mut self, token: u64, record: Record, now: u64) -> Result<u64, String> {
        let bytes = match &record {
            Record::DurableState(image) => {
                self.log_bytes = 0;
                let entries: usize = image.entries.iter().map(LogEntry::max_encoded_len).sum();
                let bytes = image.cluster_state.max_encoded_len() + entries;
                fits("a slot", bytes, SizeLimits::default().slot())?;
                bytes + SHORT_LOG_BYTES as usize
            }
            record => {
                self.log_bytes += record.max_encoded_len();
                fits("the short log", self.log_bytes, SHORT_LOG_BYTES as usize)?;
                record.max_encoded_len()
            }
        };
        self.pending.push_back((token, record));
        self.writes_until = self.writes_until.max(now) + SYNC_MS + (bytes / DISK_BYTES_A_MS) as u64;
        Ok(self.writes_until)
    }

    /// The oldest write is synced; its token.
    pub fn sync(&mut self) -> Option<u64> {
        let (token, record) = self.pending.pop_front()?;
        self.kept.replay(record);
        Some(token)
    }

    /// Up to where its disk holds the log.
    pub fn durable(&self) -> Index {
        self.kept.entries.last().map_or(self.kept.cluster_state.index, |e| e.index)
    }

    /// Bytes of the log that it keeps in memory.
    pub fn log_weight(&self) -> usize {
        self.voter.as_ref().map_or(0, |s| s.log.iter().map(LogEntry::max_encoded_len).sum())
    }
}

fn fits(what: &str, bytes: usize, most: usize) -> Result<(), String> {
    if bytes <= most { Ok(()) } else { Err(format!("{what} of {bytes} bytes does not fit into {most}")) }
}

/// What a leader counts each other voter for: those that hold its term, and up to where.
pub fn counted(leader: &Voter) -> Vec<(u8, Index)> {
    let VoterRole::Leader { peers, .. } = &leader.role else { return Vec::new() };
    peers.iter().filter(|(_, p)| p.installed).map(|(voter, p)| (*voter, p.last)).collect()
}
