//! The compiled document, and the lookup of a request's entry in it (design 4.5).

use crate::document::Tuning;
use common::{Region, Service, Tenant, Zone};
use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// Kind of a service, which decides how its requests are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServiceKind {
    /// A model with long, cached prompt prefixes: a user's requests are placed on the replica whose cache is warm.
    Model,
    /// An application such as lookups: requests go to the least loaded nearby replica.
    Application,
}

/// One source of the user key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyPart {
    /// The value of this header.
    Header(String),
    /// The value at this path in the JSON body.
    Json(String),
    /// A hash of this many bytes from the start of the prompt.
    PromptStart(usize),
}

/// How requests of an entry are placed on replicas (design 5.1).
#[derive(Clone, Debug)]
pub struct Policy {
    /// The name.
    pub name: String,
    /// Time after which an unused placement expires, in milliseconds.
    pub ttl_ms: u64,
    /// Largest share of its capacity that a region may use and still get new placements.
    pub max_load_ratio: f64,
    /// Constant that smooths the weights of the regions.
    pub smoothing: f64,
    /// Sources of the user key; the first that gives a value is used.
    pub key: Vec<KeyPart>,
}

impl Policy {
    /// The default policy under this name. Its user key comes from what clients usually send: the `x-user` header, the
    /// `user` field of the body, or else the start of the prompt.
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

/// Routes matching requests to a service.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The name.
    pub name: String,
    /// Byte offset in the routing language's source.
    pub offset: usize,
    /// HTTP method, or `ANY`.
    pub method: String,
    /// Exact path, or a prefix if `prefix` is set. A trailing `*` of the source is removed.
    pub path: String,
    /// Whether `path` is a prefix.
    pub prefix: bool,
    /// Headers that a request must have, with their values.
    pub headers: Vec<(String, String)>,
    /// The service that requests are routed to.
    pub service: Service,
    /// Kind of the service.
    pub kind: ServiceKind,
    /// Regions that may serve the requests; all if `None`.
    pub homes: Option<BTreeSet<Region>>,
    /// Whether a request that may already have run may run again.
    pub idempotent: bool,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time in which a request must be answered, in milliseconds.
    pub deadline_ms: u64,
    /// Index of the policy in [`RoutingTable::policies`].
    pub policy: usize,
}

impl Entry {
    /// Whether this entry matches a request.
    pub fn matches(&self, method: &str, path: &str, header: &dyn Fn(&str) -> Option<String>) -> bool {
        (self.method == "ANY" || self.method == method)
            && if self.prefix { path.starts_with(&self.path) } else { path == self.path }
            && self.headers.iter().all(|(name, value)| header(name).as_deref() == Some(value))
    }

    /// Whether this entry matches every request that `other` matches, so that a later `other` is never used.
    pub fn shadows(&self, other: &Entry) -> bool {
        (self.method == "ANY" || self.method == other.method)
            && if self.prefix {
                other.path.starts_with(&self.path)
            } else {
                !other.prefix && other.path == self.path
            }
            && self.headers.iter().all(|required| other.headers.contains(required))
    }
}

/// A compiled document.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    /// Name of the cluster that the document is for.
    pub cluster: String,
    /// Version of the routing language that a node must support to compile this document.
    pub language_version: u32,
    /// Zones and their regions.
    pub zones: BTreeMap<Zone, Region>,
    /// Services and their kinds.
    pub services: BTreeMap<Service, ServiceKind>,
    /// Request header that names the tenant.
    pub tenant_header: String,
    /// Tenant of requests that name none.
    pub tenant_default: Option<Tenant>,
    /// Tenants and the regions that may serve their requests; all if `None`.
    pub tenants: BTreeMap<Tenant, Option<BTreeSet<Region>>>,
    /// Limits that apply to the whole fleet.
    pub tuning: Tuning,
    /// Entries in the order of the document; the first that matches a request is used.
    pub entries: Vec<Entry>,
    /// Policies; the first is the default one.
    pub policies: Vec<Policy>,
}

impl RoutingTable {
    /// The first entry that matches a request.
    pub fn find(&self, method: &str, path: &str, header: &dyn Fn(&str) -> Option<String>) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.matches(method, path, header))
    }

    /// All regions.
    pub fn regions(&self) -> BTreeSet<Region> {
        self.zones.values().cloned().collect()
    }

    /// The region of a zone.
    pub fn region_of(&self, zone: &Zone) -> Option<&Region> {
        self.zones.get(zone)
    }

    /// The tenant of a request, or the default one if it names none. If tenants are declared, it must be one of them.
    ///
    /// # Errors
    /// The name of a tenant that does not exist; empty if the request has no tenant but needs one.
    pub fn tenant(&self, header: &dyn Fn(&str) -> Option<String>) -> Result<Option<Tenant>, String> {
        let name = header(&self.tenant_header).map(Tenant::new).or(self.tenant_default.clone());
        match name {
            _ if self.tenants.is_empty() => Ok(name),
            Some(tenant) if self.tenants.contains_key(&tenant) => Ok(Some(tenant)),
            Some(tenant) => Err(tenant.to_string()),
            None => Err(String::new()),
        }
    }

    /// Regions in which a request may run: the intersection of the entry's and the tenant's homes (design 5.2).
    pub fn homes(&self, entry: &Entry, tenant: Option<&Tenant>) -> BTreeSet<Region> {
        if common::mutation::enabled("no-homes") {
            return self.regions();
        }
        let tenant_homes =
            tenant.and_then(|tenant| self.tenants.get(tenant)).and_then(|homes| homes.as_ref());
        self.regions()
            .into_iter()
            .filter(|region| entry.homes.as_ref().is_none_or(|homes| homes.contains(region)))
            .filter(|region| tenant_homes.is_none_or(|homes| homes.contains(region)))
            .collect()
    }

    /// The policy of an entry.
    pub fn policy(&self, entry: &Entry) -> &Policy {
        &self.policies[entry.policy]
    }
}
