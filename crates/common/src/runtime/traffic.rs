//! What travels in a world while it is counted (design 7.7): calls by kind at both ends, and all
//! bytes by host. Daemons on the machine's own network count nothing here.

use super::world::lock;
use std::{collections::BTreeMap, net::IpAddr, sync::Mutex};

/// Service and step of a call.
pub type Kind = (&'static str, &'static str);

/// Calls of one kind at one end, with the encoded bytes of questions and answers, frames apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    pub calls: u64,
    pub failed: u64,
    pub asked: u64,
    pub told: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// By the host that asked.
    pub from: BTreeMap<(IpAddr, Kind), Calls>,
    /// By the host that was asked.
    pub to: BTreeMap<(IpAddr, Kind), Calls>,
    /// All bytes that a host sent and was sent, frames, hellos and HTTP with them.
    pub bytes: BTreeMap<IpAddr, (u64, u64)>,
}

#[derive(Debug, Default)]
pub struct TrafficCounter(Mutex<Option<Traffic>>);

impl TrafficCounter {
    pub fn begin(&self) {
        *lock(&self.0) = Some(Traffic::default());
    }

    pub fn end(&self) -> Traffic {
        lock(&self.0).take().unwrap_or_default()
    }

    pub fn on(&self) -> bool {
        lock(&self.0).is_some()
    }

    /// One call: `told` is the length of its answer, where there was one.
    pub(crate) fn call(&self, (from, to): (IpAddr, IpAddr), kind: Kind, asked: usize, told: Option<usize>) {
        let mut g = lock(&self.0);
        let Some(t) = g.as_mut() else { return };
        let add = |c: &mut Calls| {
            c.calls += 1;
            c.failed += u64::from(told.is_none());
            c.asked += asked as u64;
            c.told += told.unwrap_or(0) as u64;
        };
        add(t.from.entry((from, kind)).or_default());
        add(t.to.entry((to, kind)).or_default());
    }

    pub(super) fn bytes(&self, from: IpAddr, to: IpAddr, n: usize) {
        if let Some(t) = lock(&self.0).as_mut() {
            t.bytes.entry(from).or_default().0 += n as u64;
            t.bytes.entry(to).or_default().1 += n as u64;
        }
    }
}
