//! The document in its source form: TOML, read and checked by figment (design 4.1).

use crate::diagnostic::{Diagnostic, diagnostic_at, locate};
use figment::{
    Figment,
    providers::{Format, Toml},
};
use serde::Deserialize;

/// The operator's configuration document.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// Must equal the cluster's name, so that a document is not applied to the wrong cluster.
    pub cluster: String,
    /// Zones (failure domains). The field is `zones`; earlier releases call it `areas`.
    #[serde(rename = "areas", alias = "zones")]
    pub zones: Vec<ZoneDoc>,
    /// The services that requests are routed to.
    pub services: Vec<ServiceDoc>,
    /// How requests name their tenant.
    #[serde(default)]
    pub tenancy: Tenancy,
    /// The tenants.
    #[serde(default)]
    pub tenants: Vec<TenantDoc>,
    /// Limits that apply to the whole fleet.
    #[serde(default)]
    pub tuning: Tuning,
    /// Entries and policies in the routing language. The field is `routing`; earlier releases call it `timetable`.
    #[serde(rename = "timetable", alias = "routing")]
    pub routing: String,
}

/// A zone and its region.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneDoc {
    /// The name.
    pub name: String,
    /// The region that the zone belongs to.
    pub region: String,
}

/// A service and its kind.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDoc {
    /// The name.
    pub name: String,
    /// Kind of the service.
    pub kind: crate::routing_table::ServiceKind,
}

/// How a request names its tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tenancy {
    /// Request header that names the tenant.
    pub header: String,
    /// Tenant of requests that name none. Without it such requests are rejected if tenants are declared.
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
    /// The name.
    pub name: String,
    /// Home regions, the only ones that the tenant's requests may run in. All regions if absent.
    pub homes: Option<Vec<String>>,
}

/// Limits that apply to the whole fleet (design 4.4).
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tuning {
    /// Largest share of a region's free capacity that it grants to other regions.
    pub lend_share: f64,
    /// Validity of a grant of capacity, in milliseconds.
    #[serde(rename = "pass_ms")]
    pub grant_ttl_ms: u64,
    /// Largest number of retries, as a share of requests.
    #[serde(rename = "extra_goes")]
    pub retry_ratio: f64,
    /// Largest number of requests in one router's queue.
    #[serde(rename = "waitlist")]
    pub queue_capacity: usize,
    /// Time in which a cold replica's allowed concurrency rises to its full value, in milliseconds.
    #[serde(rename = "warm_ms")]
    pub slow_start_ms: u64,
    /// Concurrency of a replica that reports no capacity.
    pub slots: u32,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            lend_share: 0.5,
            grant_ttl_ms: 3_000,
            retry_ratio: 0.2,
            queue_capacity: 64,
            slow_start_ms: 10_000,
            slots: 4,
        }
    }
}

/// Parses a document. Errors in the TOML syntax and in the fields are returned with their positions.
pub fn read(source: &str) -> Result<ConfigDocument, Vec<Diagnostic>> {
    if let Err(e) = toml::de::DeTable::parse(source) {
        let offset = e.span().map(|span| span.start).unwrap_or(0);
        return Err(vec![diagnostic_at(source, offset, format!("syntax: {}", e.message()))]);
    }
    Figment::new().merge(Toml::string(source)).extract::<ConfigDocument>().map_err(|e| {
        e.into_iter()
            .map(|error| {
                let path = error.path.clone();
                let field = if path.is_empty() { "document".into() } else { path.join(".") };
                let unknown = match &error.kind {
                    figment::error::Kind::UnknownField(name, _) => Some(name.clone()),
                    _ => None,
                };
                let full_path: Vec<String> = path.iter().cloned().chain(unknown).collect();
                diagnostic_at(source, locate(source, &full_path), format!("{field}: {}", error.kind))
            })
            .collect()
    })
}

impl Tuning {
    /// The fields whose values are out of range, each with the value and the allowed range.
    pub fn out_of_range(&self) -> Vec<(&'static str, String)> {
        let ranged = [
            ("lend_share", self.lend_share, 0.0, 1.0),
            ("extra_goes", self.retry_ratio, 0.0, 0.2),
            ("pass_ms", self.grant_ttl_ms as f64, 500.0, 60_000.0),
            ("warm_ms", self.slow_start_ms as f64, 0.0, 600_000.0),
            ("waitlist", self.queue_capacity as f64, 0.0, 100_000.0),
            ("slots", f64::from(self.slots), 1.0, 10_000.0),
        ];
        ranged
            .into_iter()
            .filter(|(_, value, min, max)| !(min..=max).contains(&value))
            .map(|(field, value, min, max)| (field, format!("{value}; allowed: {min} to {max}")))
            .collect()
    }
}
