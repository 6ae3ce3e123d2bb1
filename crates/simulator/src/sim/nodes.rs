//! The nodes of the simulated cluster: seats with their disks, and routers with their tenures.

use super::disk::SimDisk;
use common::{Incarnation, Tick, settings::Timing};
use control_plane::{
    Ledger, Role,
    change::{Card, Holder},
    seat::{Image, Room, Seat},
    tenure::{Held, Tenures},
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

pub struct SimSeat {
    pub seat: Option<Seat>,
    pub disk: SimDisk,
    pub me: Holder,
    pub clock: SimClock,
    pub tenures: Tenures,
    /// Rises with each start: events meant for an earlier life are dropped.
    pub life: u64,
    pub frozen_until: u64,
    /// Exists at all: the replacement machine only from when it is put up.
    pub there: bool,
    /// Seats of the core.
    core: usize,
    /// Its disk was lost once: the whole system is not new any more.
    pub lost: bool,
    /// Reckons with no bounds of its disk: for a broken variant.
    pub boundless: bool,
    /// Machines that its settings name as seeds.
    pub seeds: Vec<SocketAddr>,
    pub timing: Timing,
}

pub struct SimRouter {
    pub card: Card,
    pub held: Held,
    pub ledger: Ledger,
    pub clock: SimClock,
    pub frozen_until: u64,
    pub next_renew: u64,
    /// A blow struck while valid may land late: when it was decided, and under which fence.
    pub hint: usize,
}

pub fn addr(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7000 + n as u16))
}

/// A small disk and wire: the same ratios as the daemons', so that bounds are met often.
pub const ROOM: Room = Room { log: 16 << 10 };
pub const WIRE: usize = ROOM.log * 4;

/// Whether what is written or sent really fits (design 2.8).
pub fn fits(what: &str, v: &impl serde::Serialize, most: usize) -> Result<(), String> {
    let len = common::wire::enc(v).map_err(|e| e.to_string())?.len() + 32;
    if len <= most { Ok(()) } else { Err(format!("{what} of {len} bytes does not fit into {most}")) }
}

pub fn timing() -> Timing {
    Timing::default()
}

/// The bounds of a platform whose changes apply within three seconds.
pub fn platform_timing() -> Timing {
    Timing { tenure_ms: 1_200, rail_ms: 500, ..Timing::default() }
}

impl SimSeat {
    pub fn new(n: usize, core: usize, clock: SimClock) -> Self {
        let me = Holder {
            seat: u8::MAX,
            inc: Incarnation(0),
            node: format!("s{n}").as_str().into(),
            area: format!("a{}", n % 3).as_str().into(),
            rail: addr(n),
            http: addr(n),
        };
        Self {
            seat: None,
            disk: SimDisk::new(None, ROOM),
            me,
            clock,
            tenures: Tenures::default(),
            life: 0,
            frozen_until: 0,
            there: n < core,
            core,
            lost: false,
            boundless: false,
            seeds: (0..3).map(addr).collect(),
            timing: timing(),
        }
    }

    /// Starts from what the disk kept; a blank disk gets a new incarnation first.
    pub fn start(&mut self, t: u64, fresh_inc: u64) {
        let img: Image = match &self.disk.kept {
            Some(i) => i.clone(),
            None => {
                Seat::blank_image(&Holder { inc: Incarnation(fresh_inc), seat: u8::MAX, ..self.me.clone() })
            }
        };
        self.disk.kept = Some(img.clone());
        let me = Holder { seat: img.me.seat, inc: img.me.inc, ..self.me.clone() };
        let mut seat =
            Seat::new(me, "sim", self.seeds.clone(), self.timing.clone(), Some(img), self.clock.at(t));
        seat.expects = self.core;
        // With more seats than seeds, only who starts with all others founds (design 2.5).
        seat.founds = self.core == 3 || (self.there && !self.lost && self.me.rail != addr(self.core));
        seat.room = if self.boundless { Room { log: usize::MAX / 64 } } else { ROOM };
        self.seat = Some(seat);
        self.tenures = Tenures::default();
        self.life += 1;
    }
}

impl SimSeat {
    /// For traces: what this seat holds and believes.
    pub fn shown(&self) -> String {
        let Some(s) = &self.seat else { return format!("{} is down", self.me.node) };
        let roster: Vec<String> = s.roster().iter().map(|h| format!("{}/{}", h.node, h.inc)).collect();
        format!(
            "{}/{} seat {} formed {} dead {} out {} promised {} log view {} accepted {} last {} roster {roster:?} pending {} {:?}",
            self.me.node,
            s.me.inc,
            s.me.seat,
            s.formed,
            s.dead,
            s.out,
            s.promised,
            s.log_view,
            s.accepted(),
            s.last(),
            self.disk.pending.len(),
            s.post,
        )
    }
}

impl SimRouter {
    pub fn new(n: usize, inc: u64, clock: SimClock) -> Self {
        let card = Card {
            node: format!("p{n}").as_str().into(),
            inc: Incarnation(inc),
            role: Role::Router,
            lang: 1,
            area: format!("a{}", n % 3).as_str().into(),
            rail: addr(100 + n),
            http: addr(100 + n),
        };
        Self {
            card,
            held: Held::default(),
            ledger: Ledger::default(),
            clock,
            frozen_until: 0,
            next_renew: 0,
            hint: 0,
        }
    }
}
