//! The compiled document, and how a request finds its entry in it (design 4.5).

use crate::document::Tuning;
use common::{Region, Service, Tenant, Zone};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// What a service serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// Long prefixes, kept warm: requests are placed.
    Model,
    /// Lookups: the least-pressured replica near the caller.
    Application,
}

/// One way to learn the user key; the first that yields something is used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyPart {
    /// The value of a header.
    Header(String),
    /// The value at a path in the JSON body.
    Json(String),
    /// Hash of the first bytes of the prompt.
    PromptStart(usize),
}

/// How requests of an entry are placed (design 5.1).
#[derive(Clone, Debug)]
pub struct Policy {
    /// Its name.
    pub name: String,
    /// How long a placement lives without use.
    pub ttl_ms: u64,
    /// Share of a region's capacity in use above which it gets no placement.
    pub max_load_ratio: f64,
    /// Smoothing of the weights.
    pub smoothing: f64,
    /// Where the user key is found; the first that yields something is used.
    pub key: Vec<KeyPart>,
}

impl Policy {
    /// The source's values, and a key from what callers do send.
    pub fn standard(name: &str) -> Self {
        Self {
            name: name.into(),
            ttl_ms: 15 * 60_000,
            max_load_ratio: 0.95,
            smoothing: 0.05,
            key: vec![
                KeyPart::Header("x-user".into()),
                KeyPart::Json("user".into()),
                KeyPart::PromptStart(256),
            ],
        }
    }
}

/// Which requests go to which service, and under what terms.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Byte offset in the source.
    pub offset: usize,
    /// HTTP method, or `ANY`.
    pub method: String,
    /// Exact path, or a prefix where it ended in `*`.
    pub path: String,
    /// Whether the path is a prefix.
    pub prefix: bool,
    /// Headers that must have these values.
    pub headers: Vec<(String, String)>,
    /// The service.
    pub service: Service,
    /// Its kind.
    pub kind: ServiceKind,
    /// Regions that may serve it; all where `None`.
    pub homes: Option<BTreeSet<Region>>,
    /// Whether a request that may have run may run again.
    pub idempotent: bool,
    /// Largest body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a request must be answered.
    pub deadline_ms: u64,
    /// Index of its policy.
    pub policy: usize,
}

impl Entry {
    /// Whether a request belongs to this entry.
    pub fn matches(&self, method: &str, path: &str, header: &dyn Fn(&str) -> Option<String>) -> bool {
        (self.method == "ANY" || self.method == method)
            && if self.prefix { path.starts_with(&self.path) } else { path == self.path }
            && self.headers.iter().all(|(k, v)| header(k).as_deref() == Some(v))
    }

    /// Whether each request that `other` would take is taken by this entry first.
    pub fn shadows(&self, other: &Entry) -> bool {
        (self.method == "ANY" || self.method == other.method)
            && if self.prefix {
                other.path.starts_with(&self.path)
            } else {
                !other.prefix && other.path == self.path
            }
            && self.headers.iter().all(|h| other.headers.contains(h))
    }
}

/// A compiled document.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    /// Name of the cluster that it is for.
    pub cluster: String,
    /// Version of the language that a node must read to compile this document.
    pub language_version: u32,
    /// Zones and their regions.
    pub zones: BTreeMap<Zone, Region>,
    /// Services and their kinds.
    pub services: BTreeMap<Service, ServiceKind>,
    /// Header that names the tenant.
    pub tenant_header: String,
    /// Tenant of requests that name none.
    pub tenant_default: Option<Tenant>,
    /// Tenants and the regions that may serve them; all where `None`.
    pub tenants: BTreeMap<Tenant, Option<BTreeSet<Region>>>,
    /// Bounds for the whole fleet.
    pub tuning: Tuning,
    /// Entries in their order; the first that fits is taken.
    pub entries: Vec<Entry>,
    /// Policies; the first is the standard one.
    pub policies: Vec<Policy>,
}

impl RoutingTable {
    /// The entry of a request.
    pub fn find(&self, method: &str, path: &str, header: &dyn Fn(&str) -> Option<String>) -> Option<&Entry> {
        self.entries.iter().find(|e| e.matches(method, path, header))
    }

    /// All regions.
    pub fn regions(&self) -> BTreeSet<Region> {
        self.zones.values().cloned().collect()
    }

    /// The region of a zone.
    pub fn region_of(&self, zone: &Zone) -> Option<&Region> {
        self.zones.get(zone)
    }

    /// The tenant that a request names; `Err` is the name that no tenant has.
    pub fn tenant(&self, header: &dyn Fn(&str) -> Option<String>) -> Result<Option<Tenant>, String> {
        let named = header(&self.tenant_header).map(Tenant::new).or(self.tenant_default.clone());
        match named {
            _ if self.tenants.is_empty() => Ok(named),
            Some(t) if self.tenants.contains_key(&t) => Ok(Some(t)),
            Some(t) => Err(t.to_string()),
            None => Err(String::new()),
        }
    }

    /// Regions in which a request may run: the entry's homes met with the tenant's (design 5.2).
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

    /// The policy of an entry.
    pub fn policy(&self, e: &Entry) -> &Policy {
        &self.policies[e.policy]
    }
}
