//! Lending grants (design 5.5): no input or output. A grant issuer hands out a share of measured
//! headroom; a held grants holds what was handed out; each pick elsewhere uses one.

use common::{FencingToken, NodeId, Region, Service, Tick};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityGrant {
    pub region: Region,
    pub service: Service,
    #[serde(rename = "fence")]
    pub fencing_token: FencingToken,
    pub serial: u64,
    pub count: u32,
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// One use of a pass, shown to the lending region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantUse {
    pub region: Region,
    pub service: Service,
    #[serde(rename = "fence")]
    pub fencing_token: FencingToken,
    pub serial: u64,
    pub node: NodeId,
}

#[derive(Clone, Debug)]
struct Grant {
    serial: u64,
    left: u32,
    until: Tick,
}

/// Held by the one router that lends for a region, under its fencing token.
#[derive(Clone, Debug, Default)]
pub struct GrantIssuer {
    pub fencing_token: FencingToken,
    serial: u64,
    well_since: Option<Tick>,
    grants: BTreeMap<(Service, NodeId), Grant>,
    /// Passes used lately: room that is spoken for but not yet in the load reports.
    used: BTreeMap<Service, Vec<Tick>>,
}

impl GrantIssuer {
    /// A new fencing token voids all that was granted under the old one, and wellness starts anew.
    pub fn set_fencing_token(&mut self, fencing_token: FencingToken) {
        if fencing_token != self.fencing_token {
            *self = Self { fencing_token, serial: self.serial, ..Self::default() };
        }
    }

    /// Called with each look at the region; being unwell once starts the count again.
    pub fn observe(&mut self, well: bool, now: Tick) {
        self.well_since = if well { self.well_since.or(Some(now)) } else { None };
        if !well {
            self.grants.clear();
        }
    }

    pub fn is_healthy(&self, now: Tick, full_set_ms: u64) -> bool {
        self.well_since.is_some_and(|s| now.since(s) >= full_set_ms)
    }

    /// Grants `node` its part; what it still held of an older grant is given back first.
    #[allow(clippy::too_many_arguments)]
    pub fn grant(
        &mut self,
        region: &Region,
        service: &Service,
        node: &NodeId,
        room: f64,
        askers: usize,
        ttl_ms: u64,
        now: Tick,
    ) -> Option<CapacityGrant> {
        let at = (service.clone(), node.clone());
        self.grants.remove(&at);
        self.grants.retain(|_, g| g.until > now);
        let out: u32 = self.grants.iter().filter(|((s, _), _)| s == service).map(|(_, g)| g.left).sum();
        let used = self.used.entry(service.clone()).or_default();
        used.retain(|t| now.since(*t) < ttl_ms);
        let free = room.max(0.0) as i64 - i64::from(out) - used.len() as i64;
        let part = (room.max(0.0) / askers.max(1) as f64).ceil() as i64;
        let count = part.min(free).max(0) as u32;
        if count == 0 {
            return None;
        }
        self.serial += 1;
        let serial = self.serial;
        self.grants.insert(at, Grant { serial, left: count, until: now + ttl_ms });
        let (region, service, fencing_token) = (region.clone(), service.clone(), self.fencing_token);
        Some(CapacityGrant { region, service, fencing_token, serial, count, ttl_ms })
    }

    /// The grant issuer's last word on one use.
    pub fn redeem(&mut self, s: &GrantUse, now: Tick) -> Result<(), &'static str> {
        if s.fencing_token != self.fencing_token {
            return Err("stale fence");
        }
        let at = (s.service.clone(), s.node.clone());
        match self.grants.get_mut(&at) {
            Some(g) if g.serial != s.serial => Err("pass replaced"),
            Some(g) if g.until <= now => Err("pass expired"),
            Some(g) if g.left == 0 => Err("pass used up"),
            Some(g) => {
                g.left -= 1;
                self.used.entry(s.service.clone()).or_default().push(now);
                Ok(())
            }
            None => Err("unknown pass"),
        }
    }
}

/// What a router has in hand.
#[derive(Clone, Debug, Default)]
pub struct HeldGrants(BTreeMap<(Region, Service), (CapacityGrant, Tick)>);

impl HeldGrants {
    /// `asked` is when the pass was asked for: life is counted from before it was granted.
    pub fn put(&mut self, region: &Region, service: &Service, pass: Option<CapacityGrant>, asked: Tick) {
        let at = (region.clone(), service.clone());
        match pass {
            Some(p) => {
                let until = asked + p.ttl_ms;
                self.0.insert(at, (p, until));
            }
            None => {
                self.0.remove(&at);
            }
        }
    }

    pub fn has(&self, region: &Region, service: &Service, now: Tick) -> bool {
        self.0.get(&(region.clone(), service.clone())).is_some_and(|(p, until)| p.count > 0 && *until > now)
    }

    pub fn spend(
        &mut self,
        region: &Region,
        service: &Service,
        node: &NodeId,
        now: Tick,
    ) -> Option<GrantUse> {
        let (p, until) = self.0.get_mut(&(region.clone(), service.clone()))?;
        (p.count > 0 && *until > now).then(|| p.count -= 1)?;
        Some(GrantUse {
            region: region.clone(),
            service: service.clone(),
            fencing_token: p.fencing_token,
            serial: p.serial,
            node: node.clone(),
        })
    }
}
