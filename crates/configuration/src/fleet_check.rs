//! Checks of a document against the replicas that are listed (design 4.2).

use crate::{
    diagnostic::{Diagnostic, diagnostic_at, locate},
    routing_table::RoutingTable,
};
use common::{Region, Service, Zone};
use std::collections::BTreeSet;

/// Homes in which no replica of the needed service is listed.
pub fn check_fleet(src: &str, table: &RoutingTable, listed: &[(Service, Zone)]) -> Vec<Diagnostic> {
    let served: BTreeSet<(&Service, &Region)> =
        listed.iter().filter_map(|(s, a)| table.region_of(a).map(|r| (s, r))).collect();
    let base = crate::compile::routing_offset(src);
    let homeless = |svc: &Service, homes: &BTreeSet<Region>| -> Vec<Region> {
        homes.iter().filter(|r| !served.contains(&(svc, *r))).cloned().collect()
    };
    let mut out = Vec::new();
    for e in &table.entries {
        let at = base + e.offset;
        match &e.homes {
            Some(h) => out.extend(homeless(&e.service, h).into_iter().map(|r| {
                diagnostic_at(
                    src,
                    at,
                    format!("entry '{}': home '{r}' has no replica of '{}'", e.name, e.service),
                )
            })),
            None if homeless(&e.service, &table.regions()).len() == table.regions().len() => {
                out.push(diagnostic_at(
                    src,
                    at,
                    format!("entry '{}': no region has a replica of '{}'", e.name, e.service),
                ));
            }
            None => {}
        }
    }
    let order: Vec<String> = crate::document::read(src)
        .map(|d| d.tenants.into_iter().map(|t| t.name).collect())
        .unwrap_or_default();
    for (t, homes) in &table.tenants {
        let n = order.iter().position(|o| o == t.as_str()).unwrap_or_default();
        let path = ["tenants".to_string(), n.to_string()];
        let Some(h) = homes else { continue };
        for e in &table.entries {
            let both: BTreeSet<Region> = table.homes(e, Some(t));
            if !both.is_empty() && homeless(&e.service, &both).len() == both.len() {
                let msg = format!("tenant '{t}': no replica of '{}' in its homes {h:?}", e.service);
                out.push(diagnostic_at(src, locate(src, &path), msg));
            }
        }
    }
    out
}
