//! Capacity grants (design 5.5), without input or output. A region's grant issuer grants other regions' routers a share
//! of its measured free capacity. A router that sends a request there without a stored placement uses up one grant.

use common::{FencingToken, NodeId, Region, Service, Tick};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Permits a router to send a number of requests to a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityGrant {
    /// The region that grants it.
    pub region: Region,
    /// The service.
    pub service: Service,
    /// Under which the issuer acts.
    #[serde(rename = "fence")]
    pub fencing_token: FencingToken,
    /// Number of the grant, counted by the issuer.
    pub serial: u64,
    /// How many requests it permits.
    pub count: u32,
    /// How long it is valid, in milliseconds.
    #[serde(rename = "life_ms")]
    pub ttl_ms: u64,
}

/// Use of a grant for one request, which the issuer checks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantUse {
    /// The region that granted it.
    pub region: Region,
    /// The service.
    pub service: Service,
    /// Fencing token of the grant.
    #[serde(rename = "fence")]
    pub fencing_token: FencingToken,
    /// Number of the grant.
    pub serial: u64,
    /// The router that it was granted to.
    pub node: NodeId,
}

#[derive(Clone, Debug)]
struct IssuedGrant {
    serial: u64,
    left: u32,
    until: Tick,
}

/// The grants of a region, issued by the one router that holds this role.
#[derive(Clone, Debug, Default)]
pub struct GrantIssuer {
    /// Under which grants are issued now.
    pub fencing_token: FencingToken,
    serial: u64,
    healthy_since: Option<Tick>,
    grants: BTreeMap<(Service, NodeId), IssuedGrant>,
    /// When grants were used lately: their requests may not be in the load reports yet.
    used: BTreeMap<Service, Vec<Tick>>,
}

impl GrantIssuer {
    /// Sets the fencing token. A new one voids all grants under the old one, and the region must prove healthy again.
    pub fn set_fencing_token(&mut self, fencing_token: FencingToken) {
        if fencing_token != self.fencing_token {
            *self = Self { fencing_token, serial: self.serial, ..Self::default() };
        }
    }

    /// Records whether the region is healthy now. If it isn't, all grants are void, and it must prove healthy again.
    pub fn observe(&mut self, healthy: bool, now: Tick) {
        self.healthy_since = if healthy { self.healthy_since.or(Some(now)) } else { None };
        if !healthy {
            self.grants.clear();
        }
    }

    /// Whether the region was healthy at each observation for at least `min_healthy_ms`.
    pub fn is_healthy(&self, now: Tick, min_healthy_ms: u64) -> bool {
        self.healthy_since.is_some_and(|since| now.since(since) >= min_healthy_ms)
    }

    /// Grants `node` its share of the free capacity. What is left of its earlier grant is returned first.
    #[allow(clippy::too_many_arguments)]
    pub fn grant(
        &mut self,
        region: &Region,
        service: &Service,
        node: &NodeId,
        free_capacity: f64,
        requesters: usize,
        ttl_ms: u64,
        now: Tick,
    ) -> Option<CapacityGrant> {
        let key = (service.clone(), node.clone());
        self.grants.remove(&key);
        self.grants.retain(|_, grant| grant.until > now);
        let outstanding: u32 =
            self.grants.iter().filter(|((s, _), _)| s == service).map(|(_, grant)| grant.left).sum();
        let used = self.used.entry(service.clone()).or_default();
        used.retain(|t| now.since(*t) < ttl_ms);
        let free = free_capacity.max(0.0) as i64 - i64::from(outstanding) - used.len() as i64;
        let share = (free_capacity.max(0.0) / requesters.max(1) as f64).ceil() as i64;
        let count = share.min(free).max(0) as u32;
        if count == 0 {
            return None;
        }
        self.serial += 1;
        let serial = self.serial;
        self.grants.insert(key, IssuedGrant { serial, left: count, until: now + ttl_ms });
        let (region, service, fencing_token) = (region.clone(), service.clone(), self.fencing_token);
        Some(CapacityGrant { region, service, fencing_token, serial, count, ttl_ms })
    }

    /// Accepts one use of a grant, or says why it is not valid.
    pub fn redeem(&mut self, used: &GrantUse, now: Tick) -> Result<(), &'static str> {
        if used.fencing_token != self.fencing_token {
            return Err("stale fence");
        }
        let key = (used.service.clone(), used.node.clone());
        match self.grants.get_mut(&key) {
            Some(grant) if grant.serial != used.serial => Err("pass replaced"),
            Some(grant) if grant.until <= now => Err("pass expired"),
            Some(grant) if grant.left == 0 => Err("pass used up"),
            Some(grant) => {
                grant.left -= 1;
                self.used.entry(used.service.clone()).or_default().push(now);
                Ok(())
            }
            None => Err("unknown pass"),
        }
    }
}

/// Grants that a router holds, with when they expire.
#[derive(Clone, Debug, Default)]
pub struct HeldGrants(BTreeMap<(Region, Service), (CapacityGrant, Tick)>);

impl HeldGrants {
    /// Replaces the grant that is held. Its lifetime counts from `requested_at`: the issuer granted it no earlier than
    /// that.
    pub fn put(
        &mut self,
        region: &Region,
        service: &Service,
        grant: Option<CapacityGrant>,
        requested_at: Tick,
    ) {
        let key = (region.clone(), service.clone());
        match grant {
            Some(grant) => {
                let until = requested_at + grant.ttl_ms;
                self.0.insert(key, (grant, until));
            }
            None => {
                self.0.remove(&key);
            }
        }
    }

    /// Whether there is a valid grant with a use left.
    pub fn has(&self, region: &Region, service: &Service, now: Tick) -> bool {
        let held = self.0.get(&(region.clone(), service.clone()));
        held.is_some_and(|(grant, until)| grant.count > 0 && *until > now)
    }

    /// Uses a grant for one request, if there is a valid one.
    pub fn spend(
        &mut self,
        region: &Region,
        service: &Service,
        node: &NodeId,
        now: Tick,
    ) -> Option<GrantUse> {
        let (grant, until) = self.0.get_mut(&(region.clone(), service.clone()))?;
        (grant.count > 0 && *until > now).then(|| grant.count -= 1)?;
        Some(GrantUse {
            region: region.clone(),
            service: service.clone(),
            fencing_token: grant.fencing_token,
            serial: grant.serial,
            node: node.clone(),
        })
    }
}
