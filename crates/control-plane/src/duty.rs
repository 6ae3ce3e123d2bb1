//! Duties cut by key over the live nodes, each under a fence (design 3.2).

use crate::ledger::{Ledger, Member};
use common::{Fence, Zone, rendezvous::ranked};
use std::collections::HashMap;

/// The node that does a duty now, and the fence under which it does so.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Duty {
    pub holder: Member,
    pub fence: Fence,
}

/// Cuts `key` over the routers, within one zone where that is asked for. The fence is the
/// number of the whole membership: any join or expire raises it.
pub fn duty(l: &Ledger, key: &str, zone: Option<&Zone>) -> Option<Duty> {
    line(l, key, zone).into_iter().next().map(|holder| Duty { holder, fence: Fence(l.epoch.0) })
}

/// All claimants in order; the second and third serve as followers.
pub fn line(l: &Ledger, key: &str, zone: Option<&Zone>) -> Vec<Member> {
    let live: Vec<Member> =
        l.routers().into_iter().filter(|m| zone.is_none_or(|a| m.info.zone == *a)).cloned().collect();
    ranked(key, &live, |m| m.info.node.as_str()).into_iter().cloned().collect()
}

/// A receiver's memory of fences: the highest seen wins for good.
#[derive(Clone, Debug, Default)]
pub struct Fences(HashMap<String, Fence>);

impl Fences {
    pub fn check(&mut self, key: &str, f: Fence) -> Result<(), Fence> {
        let known = self.0.entry(key.to_string()).or_default();
        if f < *known {
            return Err(*known);
        }
        *known = f;
        Ok(())
    }
}
