//! Checks of a document against the replicas that are listed (design 4.2).

use crate::{
    place::{Flaw, flaw, locate},
    table::Table,
};
use common::{Region, Service, Zone};
use std::collections::BTreeSet;

/// Homes in which no replica of the needed service is listed.
pub fn check_fleet(src: &str, tab: &Table, listed: &[(Service, Zone)]) -> Vec<Flaw> {
    let served: BTreeSet<(&Service, &Region)> =
        listed.iter().filter_map(|(s, a)| tab.region_of(a).map(|r| (s, r))).collect();
    let base = crate::compile::timetable_offset(src);
    let homeless = |svc: &Service, homes: &BTreeSet<Region>| -> Vec<Region> {
        homes.iter().filter(|r| !served.contains(&(svc, *r))).cloned().collect()
    };
    let mut out = Vec::new();
    for e in &tab.entries {
        let at = base + e.off;
        match &e.homes {
            Some(h) => out.extend(homeless(&e.to, h).into_iter().map(|r| {
                flaw(src, at, format!("entry '{}': home '{r}' has no replica of '{}'", e.name, e.to))
            })),
            None if homeless(&e.to, &tab.regions()).len() == tab.regions().len() => {
                out.push(flaw(src, at, format!("entry '{}': no region has a replica of '{}'", e.name, e.to)))
            }
            None => {}
        }
    }
    let order: Vec<String> =
        crate::doc::read(src).map(|d| d.tenants.into_iter().map(|t| t.name).collect()).unwrap_or_default();
    for (t, homes) in &tab.tenants {
        let n = order.iter().position(|o| o == t.as_str()).unwrap_or_default();
        let path = ["tenants".to_string(), n.to_string()];
        let Some(h) = homes else { continue };
        for e in &tab.entries {
            let both: BTreeSet<Region> = tab.homes(e, Some(t));
            if !both.is_empty() && homeless(&e.to, &both).len() == both.len() {
                let msg = format!("tenant '{t}': no replica of '{}' in its homes {h:?}", e.to);
                out.push(flaw(src, locate(src, &path), msg));
            }
        }
    }
    out
}
