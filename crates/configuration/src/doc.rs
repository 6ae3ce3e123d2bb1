//! The document as written: TOML, read and checked by figment (design 4.1).

use crate::place::{Flaw, flaw, locate};
use figment::{
    Figment,
    providers::{Format, Toml},
};
use serde::Deserialize;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Doc {
    /// Must equal the cluster's name, so that one firm's file is not applied at the other.
    pub cluster: String,
    #[serde(rename = "areas")]
    pub zones: Vec<ZoneDoc>,
    pub services: Vec<ServiceDoc>,
    #[serde(default)]
    pub tenancy: Tenancy,
    #[serde(default)]
    pub tenants: Vec<TenantDoc>,
    #[serde(default)]
    pub tuning: Tuning,
    /// Entries and policies in the small language.
    pub timetable: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneDoc {
    pub name: String,
    pub region: String,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDoc {
    pub name: String,
    pub kind: crate::table::Kind,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tenancy {
    /// Header that names the tenant.
    pub header: String,
    /// Tenant of jobs that name none; empty rejects them where tenants are declared.
    pub default: Option<String>,
}

impl Default for Tenancy {
    fn default() -> Self {
        Self { header: "x-tenant".into(), default: None }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantDoc {
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
    /// Goes beyond the first, as a share of jobs.
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

/// Reads the document; a syntax or shape error is one flaw with its place.
pub fn read(src: &str) -> Result<Doc, Vec<Flaw>> {
    if let Err(e) = toml::de::DeTable::parse(src) {
        let off = e.span().map(|s| s.start).unwrap_or(0);
        return Err(vec![flaw(src, off, format!("syntax: {}", e.message()))]);
    }
    Figment::new().merge(Toml::string(src)).extract::<Doc>().map_err(|e| {
        e.into_iter()
            .map(|one| {
                let path = one.path.clone();
                let at = if path.is_empty() { "document".into() } else { path.join(".") };
                let unknown = match &one.kind {
                    figment::error::Kind::UnknownField(f, _) => Some(f.clone()),
                    _ => None,
                };
                let full: Vec<String> = path.iter().cloned().chain(unknown).collect();
                flaw(src, locate(src, &full), format!("{at}: {}", one.kind))
            })
            .collect()
    })
}

impl Tuning {
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
