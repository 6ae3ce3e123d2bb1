//! A voter with its disk. A start finds exactly what was synced.

use super::timing;
use common::{Incarnation, Index, Tick};
use control_plane::{
    ClusterState,
    consensus::{DurableState, Record, Voter, VoterRole},
    types::SHORT_LOG_BYTES,
    types::{LogEntry, SizeLimits, VoterInfo},
};
use std::{collections::VecDeque, net::SocketAddr};

/// Number of voters.
pub const VOTERS: usize = 3;
/// Name of the cluster.
pub const CLUSTER: &str = "c";
/// Time of a sync, besides that of the write.
const SYNC_MS: u64 = 2;
/// Bytes that a disk writes in a millisecond.
const DISK_BYTES_PER_MS: usize = 50_000;

/// Address of a member.
pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + n as u16))
}

/// Identity of a member.
pub fn voter_info(n: usize, incarnation: u64) -> VoterInfo {
    VoterInfo {
        number: n as u8,
        incarnation: Incarnation(incarnation),
        node: format!("s{n}").as_str().into(),
        zone: format!("a{n}").as_str().into(),
        rpc_addr: address(n),
        http: address(n),
    }
}

/// A member of the cluster.
pub struct Member {
    /// The running process, if any.
    pub voter: Option<Voter>,
    /// What a start finds on the disk.
    pub durable: DurableState,
    /// Writes not yet synced, oldest first, with their tokens.
    pub pending: VecDeque<(u64, Record)>,
    /// Virtual time at which the disk has completed all writes.
    busy_until_ms: u64,
    /// Bytes written to the log file since the last snapshot.
    log_bytes: usize,
    /// Number of starts so far; a sync of an earlier process is dropped.
    pub starts: u64,
    /// Whether its links are cut.
    pub cut: bool,
    /// Size limits of its voter.
    pub size_limits: SizeLimits,
}

impl Member {
    /// A member of a bootstrapped cluster whose log is empty.
    pub fn bootstrapped(n: usize, size_limits: SizeLimits) -> Self {
        let voters = (0..VOTERS).map(|n| voter_info(n, 10 + n as u64)).collect();
        let cluster_state = ClusterState::bootstrapped(CLUSTER, voters);
        let durable = DurableState {
            initialized: true,
            cluster_state,
            ..DurableState::blank(&voter_info(n, 10 + n as u64))
        };
        let mut member = Self {
            voter: None,
            durable,
            pending: VecDeque::new(),
            busy_until_ms: 0,
            log_bytes: 0,
            starts: 0,
            cut: false,
            size_limits,
        };
        member.start(Tick(0));
        member
    }

    /// Starts a process from the durable state.
    pub fn start(&mut self, now: Tick) {
        let state = self.durable.clone();
        let seeds = (0..VOTERS).map(address).collect();
        let mut voter = Voter::new(state.identity.clone(), CLUSTER, seeds, timing(), Some(state), now);
        voter.size_limits = self.size_limits;
        self.voter = Some(voter);
        self.starts += 1;
        self.log_bytes = 0;
    }

    /// Ends the process; writes not yet synced are lost.
    pub fn stop(&mut self) {
        self.voter = None;
        self.pending.clear();
    }

    /// Replaces the disk by a blank one, so that the member starts with a new identity.
    pub fn wipe(&mut self, n: usize) {
        let blank = VoterInfo { number: u8::MAX, ..voter_info(n, 100 + self.starts) };
        self.durable = DurableState::blank(&blank);
    }

    /// Accepts a record, and returns when it will be synced. Fails if it does not fit into its file (design 2.8).
    pub fn write(&mut self, token: u64, record: Record, now: u64) -> Result<u64, String> {
        let length = match &record {
            Record::DurableState(image) => {
                self.log_bytes = 0;
                let entries: usize = image.entries.iter().map(LogEntry::max_encoded_len).sum();
                let length = image.cluster_state.max_encoded_len() + entries;
                check_fits("a snapshot", length, SizeLimits::default().slot())?;
                length + SHORT_LOG_BYTES as usize
            }
            record => {
                self.log_bytes += record.max_encoded_len();
                check_fits("the log", self.log_bytes, SHORT_LOG_BYTES as usize)?;
                record.max_encoded_len()
            }
        };
        self.pending.push_back((token, record));
        self.busy_until_ms = self.busy_until_ms.max(now) + SYNC_MS + (length / DISK_BYTES_PER_MS) as u64;
        Ok(self.busy_until_ms)
    }

    /// Syncs the oldest pending write, and returns its token.
    pub fn sync(&mut self) -> Option<u64> {
        let (token, record) = self.pending.pop_front()?;
        self.durable.replay(record);
        Some(token)
    }

    /// The last log entry that its disk holds.
    pub fn durable_index(&self) -> Index {
        self.durable.entries.last().map_or(self.durable.cluster_state.index, |e| e.index)
    }

    /// Bytes of log entries that it keeps in memory.
    pub fn log_weight(&self) -> usize {
        self.voter.as_ref().map_or(0, |s| s.log.iter().map(LogEntry::max_encoded_len).sum())
    }
}

fn check_fits(what: &str, bytes: usize, max_bytes: usize) -> Result<(), String> {
    if bytes <= max_bytes {
        Ok(())
    } else {
        Err(format!("{what} of {bytes} bytes does not fit into {max_bytes}"))
    }
}

/// The last entry that each other voter has acknowledged, for voters that have installed the leader's log.
pub fn acknowledged(leader: &Voter) -> Vec<(u8, Index)> {
    let VoterRole::Leader { peers, .. } = &leader.role else { return Vec::new() };
    let acknowledged = |voter: &VoterInfo| {
        let progress = peers.get(&voter.incarnation).filter(|progress| progress.installed)?;
        Some((voter.number, progress.last))
    };
    leader.voters().iter().filter_map(acknowledged).collect()
}
