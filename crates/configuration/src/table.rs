//! The compiled plan table, and how a job finds its entry in it (design 4.5).

use crate::doc::Tuning;
use common::{Region, Service, Tenant, Zone};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Long prefixes, kept warm: goes by placement.
    Model,
    /// Lookups: the least-pressured replica near the caller.
    Application,
}

/// One way to learn the user key; the first that yields something is used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyPart {
    Header(String),
    Json(String),
    /// Hash of the first bytes of the prompt.
    Opening(usize),
}

#[derive(Clone, Debug)]
pub struct Policy {
    pub name: String,
    pub ttl_ms: u64,
    pub overload: f64,
    pub smooth: f64,
    pub key: Vec<KeyPart>,
}

impl Policy {
    /// The source's values, and a key from what callers do send.
    pub fn standard(name: &str) -> Self {
        Self {
            name: name.into(),
            ttl_ms: 15 * 60_000,
            overload: 0.95,
            smooth: 0.05,
            key: vec![KeyPart::Header("x-user".into()), KeyPart::Json("user".into()), KeyPart::Opening(256)],
        }
    }
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub name: String,
    pub off: usize,
    pub method: String,
    /// Exact path, or a prefix where it ended in `*`.
    pub path: String,
    pub prefix: bool,
    pub headers: Vec<(String, String)>,
    pub to: Service,
    pub kind: Kind,
    pub homes: Option<BTreeSet<Region>>,
    pub repeatable: bool,
    pub limit: usize,
    pub deadline_ms: u64,
    pub policy: usize,
}

impl Entry {
    pub fn fits(&self, method: &str, path: &str, header: &dyn Fn(&str) -> Option<String>) -> bool {
        (self.method == "ANY" || self.method == method)
            && if self.prefix { path.starts_with(&self.path) } else { path == self.path }
            && self.headers.iter().all(|(k, v)| header(k).as_deref() == Some(v))
    }

    /// Whether each job that `other` would take is taken by this entry first.
    pub fn covers(&self, other: &Entry) -> bool {
        (self.method == "ANY" || self.method == other.method)
            && if self.prefix {
                other.path.starts_with(&self.path)
            } else {
                !other.prefix && other.path == self.path
            }
            && self.headers.iter().all(|h| other.headers.contains(h))
    }
}

#[derive(Clone, Debug)]
pub struct Table {
    pub cluster: String,
    /// Version of the language that a node must read to compile this document.
    pub lang: u32,
    pub zones: BTreeMap<Zone, Region>,
    pub services: BTreeMap<Service, Kind>,
    pub tenant_header: String,
    pub tenant_default: Option<Tenant>,
    pub tenants: BTreeMap<Tenant, Option<BTreeSet<Region>>>,
    pub tuning: Tuning,
    pub entries: Vec<Entry>,
    pub policies: Vec<Policy>,
}

impl Table {
    pub fn find(&self, method: &str, path: &str, header: &dyn Fn(&str) -> Option<String>) -> Option<&Entry> {
        self.entries.iter().find(|e| e.fits(method, path, header))
    }

    pub fn regions(&self) -> BTreeSet<Region> {
        self.zones.values().cloned().collect()
    }

    pub fn region_of(&self, zone: &Zone) -> Option<&Region> {
        self.zones.get(zone)
    }

    /// The tenant that a job names; `Err` is the name that no tenant has.
    pub fn tenant(&self, header: &dyn Fn(&str) -> Option<String>) -> Result<Option<Tenant>, String> {
        let named = header(&self.tenant_header).map(Tenant::new).or(self.tenant_default.clone());
        match named {
            _ if self.tenants.is_empty() => Ok(named),
            Some(t) if self.tenants.contains_key(&t) => Ok(Some(t)),
            Some(t) => Err(t.to_string()),
            None => Err(String::new()),
        }
    }

    /// Regions in which a job may run: the entry's homes met with the tenant's (design 5.2).
    pub fn homes(&self, e: &Entry, t: Option<&Tenant>) -> BTreeSet<Region> {
        if common::mutation::enabled("no-homes") {
            return self.regions();
        }
        let tenant = t.and_then(|t| self.tenants.get(t)).and_then(|h| h.as_ref());
        self.regions()
            .into_iter()
            .filter(|r| e.homes.as_ref().is_none_or(|h| h.contains(r)))
            .filter(|r| tenant.is_none_or(|h| h.contains(r)))
            .collect()
    }

    pub fn policy(&self, e: &Entry) -> &Policy {
        &self.policies[e.policy]
    }
}
