//! The document as written: TOML, read and checked by figment (design 4.1).

use crate::diagnostic::{Diagnostic, diagnostic_at, locate};
use figment::{
    Figment,
    providers::{Format, Toml},
};
use serde::Deserialize;

/// The operator's document.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// Must equal the cluster's name, so that one firm's file is not applied at the other.
    pub cluster: String,
    /// Failure domains; `zones` and, in earlier releases, `areas`.
    #[serde(rename = "areas", alias = "zones")]
    pub zones: Vec<ZoneDoc>,
    /// What requests are routed to.
    pub services: Vec<ServiceDoc>,
    /// How tenants are distinguished.
    #[serde(default)]
    pub tenancy: Tenancy,
    /// The tenants.
    #[serde(default)]
    pub tenants: Vec<TenantDoc>,
    /// Bounds for the whole fleet.
    #[serde(default)]
    pub tuning: Tuning,
    /// Entries and policies in the routing language; `routing` and, in earlier releases, `timetable`.
    #[serde(rename = "timetable", alias = "routing")]
    pub routing: String,
}

/// A failure domain and the region that it belongs to.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneDoc {
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: String,
}

/// A service and its kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDoc {
    /// Its name.
    pub name: String,
    /// What it serves.
    pub kind: crate::routing_table::ServiceKind,
}

/// How a request names its tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tenancy {
    /// Header that names the tenant.
    pub header: String,
    /// Tenant of requests that name none; empty rejects them where tenants are declared.
    pub default: Option<String>,
}

impl Default for Tenancy {
    fn default() -> Self {
        Self { header: "x-tenant".into(), default: None }
    }
}

/// A tenant and where its requests may run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantDoc {
    /// Its name.
    pub name: String,
    /// Regions that this tenant's work may run in; all when left out.
    pub homes: Option<Vec<String>>,
}

/// Bounds for the whole fleet (design 4.4).
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Largest share of a region's headroom that it lends out.
    pub lend_share: f64,
    /// Life of a lending pass.
    #[serde(rename = "pass_ms")]
    pub grant_ms: u64,
    /// Attempts beyond the first, as a share of requests.
    #[serde(rename = "extra_goes")]
    pub retry_ratio: f64,
    /// Jobs that may wait in one router.
    #[serde(rename = "waitlist")]
    pub queue: usize,
    /// Time over which a cold replica's concurrency ramps up.
    #[serde(rename = "warm_ms")]
    pub slow_start_ms: u64,
    /// Concurrency of a replica that names no capacity.
    pub slots: u32,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            lend_share: 0.5,
            grant_ms: 3_000,
            retry_ratio: 0.2,
            queue: 64,
            slow_start_ms: 10_000,
            slots: 4,
        }
    }
}

/// Reads the document; a syntax or shape error is one diagnostic with its place.
pub fn read(src: &str) -> Result<ConfigDocument, Vec<Diagnostic>> {
    if let Err(e) = toml::de::DeTable::parse(src) {
        let off = e.span().map(|s| s.start).unwrap_or(0);
        return Err(vec![diagnostic_at(src, off, format!("syntax: {}", e.message()))]);
    }
    Figment::new().merge(Toml::string(src)).extract::<ConfigDocument>().map_err(|e| {
        e.into_iter()
            .map(|one| {
                let path = one.path.clone();
                let at = if path.is_empty() { "document".into() } else { path.join(".") };
                let unknown = match &one.kind {
                    figment::error::Kind::UnknownField(f, _) => Some(f.clone()),
                    _ => None,
                };
                let full: Vec<String> = path.iter().cloned().chain(unknown).collect();
                diagnostic_at(src, locate(src, &full), format!("{at}: {}", one.kind))
            })
            .collect()
    })
}

impl Tuning {
    /// Values out of range: the field, and what is allowed.
    pub fn faults(&self) -> Vec<(&'static str, String)> {
        let ranged = [
            ("lend_share", self.lend_share, 0.0, 1.0),
            ("extra_goes", self.retry_ratio, 0.0, 0.2),
            ("pass_ms", self.grant_ms as f64, 500.0, 60_000.0),
            ("warm_ms", self.slow_start_ms as f64, 0.0, 600_000.0),
            ("waitlist", self.queue as f64, 0.0, 100_000.0),
            ("slots", f64::from(self.slots), 1.0, 10_000.0),
        ];
        ranged
            .into_iter()
            .filter(|(_, v, lo, hi)| !(lo..=hi).contains(&v))
            .map(|(f, v, lo, hi)| (f, format!("{v}; allowed: {lo} to {hi}")))
            .collect()
    }
}
