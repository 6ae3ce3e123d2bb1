//! Checks a document against the running fleet (design 4.9). Pure functions over the status that a control node
//! reports.

mod status;

pub use status::{MemberRow, Status, VoterRow};

use common::{Region, Service, Zone};
use configuration::{RoutingTable, check_fleet, compile};
use control_plane::Replica;
use serde::Serialize;

/// How severe a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Worth knowing; needs no action.
    Note,
    /// Works now, but not after one more failure, or not as intended.
    Warning,
    /// The document or the cluster does not work.
    #[serde(rename = "fault")]
    Error,
}

/// What a check found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// How severe it is.
    #[serde(rename = "weight")]
    pub severity: Severity,
    /// Name of the check.
    pub check: &'static str,
    /// What was found.
    pub message: String,
    /// Line in the document.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub line: Option<usize>,
    /// Column in the document.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub column: Option<usize>,
}

fn finding(severity: Severity, check: &'static str, message: String) -> Finding {
    Finding { severity, check, message, line: None, column: None }
}

/// All findings, the most severe first.
pub fn check_document(source: &str, status: &Status) -> Vec<Finding> {
    let mut findings = Vec::new();
    let errors_at = |check, diagnostics: Vec<configuration::Diagnostic>| -> Vec<Finding> {
        diagnostics
            .into_iter()
            .map(|diagnostic| Finding {
                line: Some(diagnostic.line),
                column: Some(diagnostic.column),
                ..finding(Severity::Error, check, diagnostic.message)
            })
            .collect()
    };
    match compile(source) {
        Err(diagnostics) => findings.extend(errors_at("document", diagnostics)),
        Ok(table) => {
            if table.cluster != status.cluster {
                let message =
                    format!("the document is for cluster {:?}, this is {:?}", table.cluster, status.cluster);
                findings.push(finding(Severity::Error, "cluster", message));
            }
            let usable_replicas: Vec<(Service, Zone)> = usable_replicas(status)
                .map(|replica| (replica.service.clone(), replica.zone.clone()))
                .collect();
            findings.extend(errors_at("homes", check_fleet(source, &table, &usable_replicas)));
            findings.extend(pairs_without_home(&table));
            findings.extend(unknown_replicas(&table, status));
            findings.extend(zone_losses(&table, status));
            findings.extend(zones_without_router(&table, status));
        }
    }
    findings.extend(node_problems(status));
    findings.sort_by(|a, b| b.severity.cmp(&a.severity).then(a.line.cmp(&b.line)));
    findings
}

/// Replicas that may get requests: not draining, and not in an evacuated zone.
fn usable_replicas(status: &Status) -> impl Iterator<Item = &Replica> {
    status.replicas.values().filter(|replica| !replica.draining && !status.evacuated.contains(&replica.zone))
}

/// Pairs of tenant and entry that no region may serve, which callers would otherwise first notice by a 403.
fn pairs_without_home(table: &RoutingTable) -> Vec<Finding> {
    let pairs =
        table.entries.iter().flat_map(|entry| table.tenants.keys().map(move |tenant| (entry, tenant)));
    pairs
        .filter(|(entry, tenant)| table.homes(entry, Some(tenant)).is_empty())
        .map(|(entry, tenant)| {
            let message = format!(
                "tenant '{tenant}' and entry '{}' have no home region in common: such requests get 403",
                entry.name
            );
            finding(Severity::Note, "no common home", message)
        })
        .collect()
}

/// Replicas whose zone or service is not in the document.
fn unknown_replicas(table: &RoutingTable, status: &Status) -> Vec<Finding> {
    let unknown = status.replicas.iter().filter_map(|(id, replica)| {
        match (table.zones.get(&replica.zone), table.services.get(&replica.service)) {
            (None, _) => {
                Some(format!("replica {id} is in zone {:?}, which the document does not have", replica.zone))
            }
            (_, None) => Some(format!(
                "replica {id} is of service {:?}, which the document does not have",
                replica.service
            )),
            _ => None,
        }
    });
    unknown.map(|message| finding(Severity::Warning, "stray replica", message)).collect()
}

/// Entries that would lose all or most of their replicas with any one zone.
fn zone_losses(table: &RoutingTable, status: &Status) -> Vec<Finding> {
    let mut findings = Vec::new();
    for entry in &table.entries {
        let homes = table.homes(entry, None);
        let count = |without: Option<&Zone>| {
            usable_replicas(status)
                .filter(|replica| replica.service == entry.service && Some(&replica.zone) != without)
                .filter(|replica| {
                    table.region_of(&replica.zone).is_some_and(|region: &Region| homes.contains(region))
                })
                .count()
        };
        let total = count(None);
        for zone in table
            .zones
            .keys()
            .filter(|zone| table.region_of(zone).is_some_and(|region| homes.contains(region)))
        {
            let left = count(Some(zone));
            if total > 0 && left == 0 {
                let message =
                    format!("entry '{}' has no replica left when zone '{zone}' is lost", entry.name);
                findings.push(finding(Severity::Warning, "loss of an area", message));
            } else if left * 2 < total {
                let message = format!(
                    "entry '{}' keeps {left} of {total} replicas when zone '{zone}' is lost",
                    entry.name
                );
                findings.push(finding(Severity::Note, "loss of an area", message));
            }
        }
    }
    findings
}

/// Zones without a router, and evacuated zones.
fn zones_without_router(table: &RoutingTable, status: &Status) -> Vec<Finding> {
    let routers_in = |zone: &Zone| {
        status.members.iter().filter(|member| member.role == "Router" && member.zone == *zone).count()
    };
    table
        .zones
        .keys()
        .filter(|zone| routers_in(zone) == 0)
        .map(|zone| {
            finding(Severity::Warning, "routers", format!("no router holds a lease in zone '{zone}'"))
        })
        .chain(
            status
                .evacuated
                .iter()
                .map(|zone| finding(Severity::Warning, "evacuation", format!("zone '{zone}' is evacuated"))),
        )
        .collect()
}

/// A missing leader or voter, and nodes that lag behind or are too old.
fn node_problems(status: &Status) -> Vec<Finding> {
    let mut findings = Vec::new();
    if status.leader.is_none() {
        findings.push(finding(Severity::Error, "core", "no leader: no change can be accepted now".into()));
    }
    for voter in
        status.voters.iter().filter(|voter| !status.members.iter().any(|member| member.node == voter.node))
    {
        let message = format!("voter {} holds no lease: one more loss stops all changes", voter.node);
        findings.push(finding(Severity::Warning, "core", message));
    }
    for member in status.members.iter().filter(|member| member.lags == Some(true)) {
        findings.push(finding(
            Severity::Warning,
            "lag",
            format!("{} lags behind revision {}", member.node, status.revision),
        ));
    }
    for member in status.members.iter().filter(|member| member.lang < configuration::LANGUAGE_VERSION) {
        let message = format!(
            "{} reads language version {}, but this document is checked for version {}",
            member.node,
            member.lang,
            configuration::LANGUAGE_VERSION
        );
        findings.push(finding(Severity::Error, "too old", message));
    }
    findings
}

/// Exit code for scripts: 0 for notes only, 2 for errors, 3 for warnings.
pub fn exit_code(findings: &[Finding]) -> u8 {
    match findings.iter().map(|finding| finding.severity).max() {
        Some(Severity::Error) => 2,
        Some(Severity::Warning) => 3,
        _ => 0,
    }
}
