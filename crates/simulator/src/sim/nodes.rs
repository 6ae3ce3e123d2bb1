//! The nodes of the simulated cluster: voters with their disks, and routers with their leases.

use super::disk::SimDisk;
use common::{Incarnation, Tick, settings::Timing};
use control_plane::{
    ClusterState, Role,
    consensus::{DurableState, Voter},
    membership::{HeldLease, Leases},
    types::{NodeInfo, SizeLimits, VoterInfo},
};
use std::net::SocketAddr;

pub const ROUTERS: usize = 4;

/// A node's clock: starts somewhere, and drifts a little.
#[derive(Clone, Copy, Debug)]
pub struct SimClock {
    pub offset: u64,
    pub rate: f64,
}

impl SimClock {
    pub fn at(&self, t: u64) -> Tick {
        Tick(self.offset + (t as f64 * self.rate) as u64)
    }
}

pub struct SimVoter {
    pub voter: Option<Voter>,
    pub disk: SimDisk,
    pub me: VoterInfo,
    pub clock: SimClock,
    pub leases: Leases,
    /// Rises with each start: events meant for an earlier life are dropped.
    pub starts: u64,
    pub frozen_until: u64,
    /// Exists at all: the replacement machine only from when it is put up.
    pub there: bool,
    /// Voters of the core.
    core: usize,
    /// Its disk was lost once: the whole system is not new any more.
    pub lost: bool,
    /// Reckons with no bounds of its disk: for a broken variant.
    pub boundless: bool,
}

pub struct SimRouter {
    pub info: NodeInfo,
    pub held: HeldLease,
    pub cluster_state: ClusterState,
    pub clock: SimClock,
    pub frozen_until: u64,
    pub next_renew: u64,
    /// A blow struck while valid may land late: when it was decided, and under which fencing token.
    pub hint: usize,
}

pub fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + n as u16))
}

/// A small disk and wire: the same ratios as the daemons', so that bounds are met often.
pub const ROOM: SizeLimits = SizeLimits { log: 16 << 10 };
pub const WIRE: usize = ROOM.log * 4;

/// Whether what is written or sent really fits (design 2.8).
pub fn fits(what: &str, v: &impl serde::Serialize, most: usize) -> Result<(), String> {
    let len = common::wire::encode(v).map_err(|e| e.to_string())?.len() + 32;
    if len <= most { Ok(()) } else { Err(format!("{what} of {len} bytes does not fit into {most}")) }
}

pub fn timing() -> Timing {
    Timing::default()
}

impl SimVoter {
    pub fn new(n: usize, core: usize, clock: SimClock) -> Self {
        let me = VoterInfo {
            number: u8::MAX,
            incarnation: Incarnation(0),
            node: format!("s{n}").as_str().into(),
            zone: format!("a{}", n % 3).as_str().into(),
            rpc_addr: addr(n),
            http: addr(n),
        };
        Self {
            voter: None,
            disk: SimDisk::new(None, ROOM),
            me,
            clock,
            leases: Leases::default(),
            starts: 0,
            frozen_until: 0,
            there: n < core,
            core,
            lost: false,
            boundless: false,
        }
    }

    /// The holder that a blank disk begins.
    pub fn blank(&self, fresh_inc: u64) -> VoterInfo {
        VoterInfo { incarnation: Incarnation(fresh_inc), number: u8::MAX, ..self.me.clone() }
    }

    /// Starts from what the disk kept; a blank disk gets a new incarnation first.
    pub fn start(&mut self, t: u64, fresh_inc: u64) {
        let image: DurableState = match &self.disk.durable {
            Some(i) => i.clone(),
            None => DurableState::blank(&self.blank(fresh_inc)),
        };
        self.disk.durable = Some(image.clone());
        let seeds = (0..3).map(addr).collect();
        let me = VoterInfo { number: image.me.number, incarnation: image.me.incarnation, ..self.me.clone() };
        let mut voter = Voter::new(me, "sim", seeds, timing(), Some(image), self.clock.at(t));
        voter.expected_voters = self.core;
        // With more voters than seeds, only who starts with all others founds (design 2.5).
        voter.may_bootstrap =
            self.core == 3 || (self.there && !self.lost && self.me.rpc_addr != addr(self.core));
        voter.size_limits = if self.boundless { SizeLimits { log: usize::MAX / 64 } } else { ROOM };
        self.voter = Some(voter);
        self.leases = Leases::default();
        self.starts += 1;
    }
}

impl SimVoter {
    /// For traces: what this voter holds and believes.
    pub fn shown(&self) -> String {
        let Some(s) = &self.voter else { return format!("{} is down", self.me.node) };
        let voters: Vec<String> =
            s.voters().iter().map(|h| format!("{}/{}", h.node, h.incarnation)).collect();
        format!(
            "{}/{} seat {} formed {} dead {} out {} promised {} log view {} accepted {} last {} roster {voters:?} pending {} {:?}",
            self.me.node,
            s.me.incarnation,
            s.me.number,
            s.initialized,
            s.disk_failed,
            s.removed,
            s.current_term,
            s.log_term,
            s.commit_index(),
            s.last_index(),
            self.disk.pending.len(),
            s.role,
        )
    }
}

impl SimRouter {
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
            held: HeldLease::default(),
            cluster_state: ClusterState::default(),
            clock,
            frozen_until: 0,
            next_renew: 0,
            hint: 0,
        }
    }
}
