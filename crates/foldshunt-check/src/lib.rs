//! Checks of a document against the fleet as it is (design 4.9): pure, over what a control node
//! told of its state.

use common::{Region, Service, Zone};
use configuration::{RoutingTable, check_fleet, compile};
use control_plane::Replica;
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// The parts of `/v1/status` that the checks go by.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Status {
    #[serde(default)]
    pub cluster: String,
    #[serde(default)]
    pub leader: Option<String>,
    #[serde(default)]
    pub revision: u64,
    #[serde(default)]
    pub evacuated: BTreeSet<Zone>,
    #[serde(default)]
    pub members: Vec<MemberRow>,
    #[serde(default)]
    pub replicas: BTreeMap<String, Replica>,
    #[serde(default)]
    pub voters: Vec<RosterRow>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct MemberRow {
    pub node: String,
    #[serde(rename = "area")]
    pub zone: Zone,
    pub role: String,
    #[serde(default)]
    pub lags: Option<bool>,
    #[serde(default)]
    pub lang: u32,
}

#[derive(Clone, Debug, Deserialize)]
pub struct RosterRow {
    pub node: String,
    #[serde(default)]
    pub http: Option<SocketAddr>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Weight {
    Note,
    Warning,
    #[serde(rename = "fault")]
    PeerError,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    pub weight: Weight,
    pub check: &'static str,
    pub message: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub line: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub column: Option<usize>,
}

fn found(weight: Weight, check: &'static str, message: String) -> Finding {
    Finding { weight, check, message, line: None, column: None }
}

/// All findings, the heaviest first.
pub fn tap(src: &str, st: &Status) -> Vec<Finding> {
    let mut out = Vec::new();
    let flawed = |check, diagnostics: Vec<configuration::Diagnostic>| -> Vec<Finding> {
        diagnostics
            .into_iter()
            .map(|f| Finding {
                line: Some(f.line),
                column: Some(f.column),
                ..found(Weight::PeerError, check, f.message)
            })
            .collect()
    };
    match compile(src) {
        Err(f) => out.extend(flawed("document", f)),
        Ok(t) => {
            if t.cluster != st.cluster {
                let msg = format!("the document is for cluster {:?}, this is {:?}", t.cluster, st.cluster);
                out.push(found(Weight::PeerError, "cluster", msg));
            }
            let live: Vec<(Service, Zone)> = live(st).map(|r| (r.service.clone(), r.zone.clone())).collect();
            out.extend(flawed("homes", check_fleet(src, &t, &live)));
            out.extend(homeless(&t));
            out.extend(strays(&t, st));
            out.extend(losses(&t, st));
            out.extend(routers(&t, st));
        }
    }
    out.extend(nodes(st));
    out.sort_by(|a, b| b.weight.cmp(&a.weight).then(a.line.cmp(&b.line)));
    out
}

/// Replicas that can be given something: not draining, and not in an evacuated zone.
fn live(st: &Status) -> impl Iterator<Item = &Replica> {
    st.replicas.values().filter(|r| !r.draining && !st.evacuated.contains(&r.zone))
}

/// Pairs of tenant and entry that can be served nowhere: told here, not first by a caller's 403.
fn homeless(t: &RoutingTable) -> Vec<Finding> {
    let pairs = t.entries.iter().flat_map(|e| t.tenants.keys().map(move |n| (e, n)));
    pairs
        .filter(|(e, n)| t.homes(e, Some(n)).is_empty())
        .map(|(e, n)| {
            let msg =
                format!("tenant '{n}' and entry '{}' have no home in common: such jobs get 403", e.name);
            found(Weight::Note, "no common home", msg)
        })
        .collect()
}

/// Replicas that the document has no place for.
fn strays(t: &RoutingTable, st: &Status) -> Vec<Finding> {
    let odd =
        st.replicas.iter().filter_map(|(id, r)| match (t.zones.get(&r.zone), t.services.get(&r.service)) {
            (None, _) => {
                Some(format!("replica {id} is in area {:?}, which the document does not have", r.zone))
            }
            (_, None) => {
                Some(format!("replica {id} is of service {:?}, which the document does not have", r.service))
            }
            _ => None,
        });
    odd.map(|m| found(Weight::Warning, "stray replica", m)).collect()
}

/// What would be left of each entry's replicas after the loss of any one zone.
fn losses(t: &RoutingTable, st: &Status) -> Vec<Finding> {
    let mut out = Vec::new();
    for e in &t.entries {
        let homes = t.homes(e, None);
        let count = |without: Option<&Zone>| {
            live(st)
                .filter(|r| r.service == e.service && Some(&r.zone) != without)
                .filter(|r| t.region_of(&r.zone).is_some_and(|x: &Region| homes.contains(x)))
                .count()
        };
        let all = count(None);
        for a in t.zones.keys().filter(|a| t.region_of(a).is_some_and(|r| homes.contains(r))) {
            let left = count(Some(a));
            if all > 0 && left == 0 {
                let msg = format!("entry '{}' has no replica left when area '{a}' is lost", e.name);
                out.push(found(Weight::Warning, "loss of an area", msg));
            } else if left * 2 < all {
                let msg =
                    format!("entry '{}' keeps {left} of {all} replicas when area '{a}' is lost", e.name);
                out.push(found(Weight::Note, "loss of an area", msg));
            }
        }
    }
    out
}

fn routers(t: &RoutingTable, st: &Status) -> Vec<Finding> {
    let in_area = |a: &Zone| st.members.iter().filter(|m| m.role == "Router" && m.zone == *a).count();
    t.zones
        .keys()
        .filter(|a| in_area(a) == 0)
        .map(|a| found(Weight::Warning, "routers", format!("no router holds a tenure in area '{a}'")))
        .chain(
            st.evacuated
                .iter()
                .map(|a| found(Weight::Warning, "evacuation", format!("area '{a}' is evacuated"))),
        )
        .collect()
}

fn nodes(st: &Status) -> Vec<Finding> {
    let mut out = Vec::new();
    if st.leader.is_none() {
        out.push(found(Weight::PeerError, "core", "no leader: no change can be accepted now".into()));
    }
    for h in st.voters.iter().filter(|h| !st.members.iter().any(|m| m.node == h.node)) {
        let msg = format!("seat holder {} holds no tenure: one more loss stops all changes", h.node);
        out.push(found(Weight::Warning, "core", msg));
    }
    for m in st.members.iter().filter(|m| m.lags == Some(true)) {
        out.push(found(Weight::Warning, "lag", format!("{} lags behind revision {}", m.node, st.revision)));
    }
    for m in st.members.iter().filter(|m| m.lang < configuration::LANGUAGE_VERSION) {
        let msg = format!(
            "{} reads language version {}, this document is checked for {}",
            m.node,
            m.lang,
            configuration::LANGUAGE_VERSION
        );
        out.push(found(Weight::PeerError, "too old", msg));
    }
    out
}

/// For scripts: 0 nothing but notes, 2 faults, 3 warnings.
pub fn exit_code(f: &[Finding]) -> u8 {
    match f.iter().map(|x| x.weight).max() {
        Some(Weight::PeerError) => 2,
        Some(Weight::Warning) => 3,
        _ => 0,
    }
}
