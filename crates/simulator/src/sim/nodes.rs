//! Nodes of the simulated cluster: voters with their disks, and routers with their leases.

use super::disk::SimDisk;
use common::{Incarnation, Tick, settings::Timing};
use control_plane::{
    ClusterState, Role,
    consensus::{DurableState, Voter},
    membership::{HeldLease, Leases},
    types::{NodeInfo, SizeLimits, VoterInfo},
};
use std::net::SocketAddr;

/// Routers of the simulated cluster.
pub const ROUTERS: usize = 4;

/// A node's clock, with an offset and a rate of its own.
#[derive(Clone, Copy, Debug)]
pub struct SimClock {
    /// Reading in milliseconds at virtual time 0.
    pub offset: u64,
    /// Milliseconds by which the clock advances in one millisecond of virtual time.
    pub rate: f64,
}

impl SimClock {
    /// The reading at virtual time `t`.
    pub fn at(&self, t: u64) -> Tick {
        Tick(self.offset + (t as f64 * self.rate) as u64)
    }
}

/// A machine of the cluster, with a voter process while that runs.
pub struct SimVoter {
    /// The running process, if any.
    pub voter: Option<Voter>,
    /// Its disk.
    pub disk: SimDisk,
    /// Its name and addresses; number and incarnation come from the disk.
    pub identity: VoterInfo,
    /// Its clock.
    pub clock: SimClock,
    /// Member leases that it tracks as leader.
    pub leases: Leases,
    /// Number of starts so far; an event meant for an earlier process is dropped.
    pub starts: u64,
    /// Virtual time until which the process is frozen.
    pub frozen_until_ms: u64,
    /// Whether the machine exists; the spare one does only once it replaces another.
    pub deployed: bool,
    /// Number of voters of the cluster.
    voter_count: usize,
    /// Its disk was lost before, so this is no first start and it must not bootstrap the cluster.
    pub disk_lost: bool,
    /// Ignores the size limits, for a broken variant.
    pub unlimited_size: bool,
}

/// A router process.
pub struct SimRouter {
    /// Its identity as it joined the cluster.
    pub info: NodeInfo,
    /// Its lease.
    pub lease: HeldLease,
    /// The newest state that it has.
    pub cluster_state: ClusterState,
    /// Its clock.
    pub clock: SimClock,
    /// Virtual time until which the process is frozen.
    pub frozen_until_ms: u64,
    /// Virtual time of the next renewal.
    pub next_renewal_ms: u64,
    /// The voter from which the next round of renewals begins.
    pub first_voter: usize,
}

/// The address of a node; routers are numbered from 100.
pub fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + n as u16))
}

/// Size limits of the simulated voters: the same ratios as the daemons', but small, so that they are reached often.
pub const SIZE_LIMITS: SizeLimits = SizeLimits { log: 16 << 10 };
/// Longest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = SIZE_LIMITS.log * 4;

/// Fails if the encoded value is longer than `max_bytes` (design 2.8).
pub fn check_fits(what: &str, value: &impl serde::Serialize, max_bytes: usize) -> Result<(), String> {
    let len = common::wire::encode(value).map_err(|e| e.to_string())?.len() + 32;
    if len <= max_bytes {
        Ok(())
    } else {
        Err(format!("{what} of {len} bytes does not fit into {max_bytes}"))
    }
}

/// Timing settings of all nodes.
pub fn timing() -> Timing {
    Timing::default()
}

impl SimVoter {
    /// Creates a machine without a process, with a blank disk.
    pub fn new(n: usize, voter_count: usize, clock: SimClock) -> Self {
        let identity = VoterInfo {
            number: u8::MAX,
            incarnation: Incarnation(0),
            node: format!("s{n}").as_str().into(),
            zone: format!("a{}", n % 3).as_str().into(),
            rpc_addr: addr(n),
            http: addr(n),
        };
        Self {
            voter: None,
            disk: SimDisk::new(None, SIZE_LIMITS),
            identity,
            clock,
            leases: Leases::default(),
            starts: 0,
            frozen_until_ms: 0,
            deployed: n < voter_count,
            voter_count,
            disk_lost: false,
            unlimited_size: false,
        }
    }

    /// The identity that a blank disk starts with.
    pub fn blank_identity(&self, incarnation: u64) -> VoterInfo {
        VoterInfo { incarnation: Incarnation(incarnation), number: u8::MAX, ..self.identity.clone() }
    }

    /// Starts a process from the durable state; a blank disk first gets a new incarnation.
    pub fn start(&mut self, time_ms: u64, incarnation: u64) {
        let image: DurableState = match &self.disk.durable {
            Some(state) => state.clone(),
            None => DurableState::blank(&self.blank_identity(incarnation)),
        };
        self.disk.durable = Some(image.clone());
        let seeds = (0..3).map(addr).collect();
        let identity = VoterInfo {
            number: image.identity.number,
            incarnation: image.identity.incarnation,
            ..self.identity.clone()
        };
        let mut voter = Voter::new(identity, "sim", seeds, timing(), Some(image), self.clock.at(time_ms));
        voter.expected_voters = self.voter_count;
        // Where there are more voters than seed nodes, only a voter of the first start may bootstrap the cluster
        // (design 2.5).
        voter.may_bootstrap = self.voter_count == 3
            || (self.deployed && !self.disk_lost && self.identity.rpc_addr != addr(self.voter_count));
        voter.size_limits =
            if self.unlimited_size { SizeLimits { log: usize::MAX / 64 } } else { SIZE_LIMITS };
        self.voter = Some(voter);
        self.leases = Leases::default();
        self.starts += 1;
    }
}

impl SimVoter {
    /// Describes this voter's state, for traces.
    pub fn describe(&self) -> String {
        let Some(process) = &self.voter else { return format!("{} is down", self.identity.node) };
        let voters: Vec<String> =
            process.voters().iter().map(|h| format!("{}/{}", h.node, h.incarnation)).collect();
        format!(
            "{}/{} number {} initialized {} disk failed {} removed {} term {} log term {} committed {} last {} voters {voters:?} \
             pending {} {:?}",
            self.identity.node,
            process.identity.incarnation,
            process.identity.number,
            process.initialized,
            process.disk_failed,
            process.removed,
            process.current_term,
            process.log_term,
            process.commit_index(),
            process.last_index(),
            self.disk.pending.len(),
            process.role,
        )
    }
}

impl SimRouter {
    /// Creates a router that has not joined yet.
    pub fn new(n: usize, incarnation: u64, clock: SimClock) -> Self {
        let info = NodeInfo {
            node: format!("p{n}").as_str().into(),
            incarnation: Incarnation(incarnation),
            role: Role::Router,
            lang: 1,
            zone: format!("a{}", n % 3).as_str().into(),
            rpc_addr: addr(100 + n),
            http: addr(100 + n),
        };
        Self {
            info,
            lease: HeldLease::default(),
            cluster_state: ClusterState::default(),
            clock,
            frozen_until_ms: 0,
            next_renewal_ms: 0,
            first_voter: 0,
        }
    }
}
