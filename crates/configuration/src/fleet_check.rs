//! Checks a document against the listed replicas (design 4.2).

use crate::{
    diagnostic::{Diagnostic, diagnostic_at, locate},
    routing_table::RoutingTable,
};
use common::{Region, Service, Zone};
use std::collections::BTreeSet;

/// Reports entries and tenants whose home regions have no listed replica of the required service.
pub fn check_fleet(source: &str, table: &RoutingTable, listed: &[(Service, Zone)]) -> Vec<Diagnostic> {
    let served: BTreeSet<(&Service, &Region)> = listed
        .iter()
        .filter_map(|(service, zone)| table.region_of(zone).map(|region| (service, region)))
        .collect();
    let routing_offset = crate::compile::routing_offset(source);
    let without_replica = |service: &Service, homes: &BTreeSet<Region>| -> Vec<Region> {
        homes.iter().filter(|region| !served.contains(&(service, *region))).cloned().collect()
    };
    let mut diagnostics = Vec::new();
    for entry in &table.entries {
        let offset = routing_offset + entry.offset;
        match &entry.homes {
            Some(homes) => {
                diagnostics.extend(without_replica(&entry.service, homes).into_iter().map(|region| {
                    diagnostic_at(
                        source,
                        offset,
                        format!(
                            "entry '{}': home '{region}' has no replica of '{}'",
                            entry.name, entry.service
                        ),
                    )
                }));
            }
            None if without_replica(&entry.service, &table.regions()).len() == table.regions().len() => {
                diagnostics.push(diagnostic_at(
                    source,
                    offset,
                    format!("entry '{}': no region has a replica of '{}'", entry.name, entry.service),
                ));
            }
            None => {}
        }
    }
    let tenants_in_order: Vec<String> = crate::document::read(source)
        .map(|document| document.tenants.into_iter().map(|tenant| tenant.name).collect())
        .unwrap_or_default();
    for (tenant, homes) in &table.tenants {
        let index = tenants_in_order.iter().position(|name| name == tenant.as_str()).unwrap_or_default();
        let path = ["tenants".to_string(), index.to_string()];
        let Some(homes) = homes else { continue };
        for entry in &table.entries {
            let common_homes: BTreeSet<Region> = table.homes(entry, Some(tenant));
            if !common_homes.is_empty()
                && without_replica(&entry.service, &common_homes).len() == common_homes.len()
            {
                let message =
                    format!("tenant '{tenant}': no replica of '{}' in its homes {homes:?}", entry.service);
                diagnostics.push(diagnostic_at(source, locate(source, &path), message));
            }
        }
    }
    diagnostics
}
