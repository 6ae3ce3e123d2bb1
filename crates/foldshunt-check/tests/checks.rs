//! Each check of `foldshunt-check` finds the problem that it is meant for.

use control_plane::Replica;
use foldshunt_check::*;
use rstest::rstest;
use std::collections::BTreeSet;

const DOC: &str = include_str!("../../../examples/bitacora.toml");

fn status() -> Status {
    let replica = |service: &str, zone: &str, n: u16| {
        let replica_row = Replica {
            service: service.into(),
            zone: zone.into(),
            addr: ([127, 0, 0, 1], n).into(),
            draining: false,
        };
        (format!("{service}-{zone}"), replica_row)
    };
    let zones = ["centro-1", "centro-2", "norte-1"];
    let member = |n: usize, role: &str| MemberRow {
        node: format!("{role}{n}"),
        zone: zones[n].into(),
        role: role.into(),
        lags: Some(false),
        lang: configuration::LANGUAGE_VERSION,
    };
    Status {
        cluster: "bitacora".into(),
        leader: Some("Core0".into()),
        revision: 4,
        evacuated: BTreeSet::new(),
        members: (0..3).flat_map(|n| [member(n, "Core"), member(n, "Router")]).collect(),
        replicas: zones
            .iter()
            .flat_map(|zone| [replica("verdict", zone, 1), replica("contacts", zone, 2)])
            .collect(),
        voters: (0..3).map(|n| VoterRow { node: format!("Core{n}"), http: None }).collect(),
    }
}

type Modify = fn(&mut Status);

#[rstest]
#[case::nothing_wrong(|_: &mut Status| {}, 0, "")]
#[case::evacuated(|status: &mut Status| status.evacuated.extend(["centro-2".into()]), 3, "is evacuated")]
#[case::home_drained(|status: &mut Status| status.replicas.get_mut("verdict-norte-1").unwrap().draining = true, 2, "no replica of 'verdict' in its homes")]
#[case::unknown_service(|status: &mut Status| status.replicas.get_mut("contacts-centro-1").unwrap().service = "fax".into(), 3, "service fax")]
#[case::no_router(|status: &mut Status| status.members.retain(|m| m.node != "Router1"), 3, "no router holds a lease in zone 'centro-2'")]
#[case::voter_without_lease(|status: &mut Status| status.members.retain(|m| m.node != "Core2"), 3, "one more loss")]
#[case::lag(|status: &mut Status| status.members[3].lags = Some(true), 3, "lags behind revision 4")]
#[case::too_old(|status: &mut Status| status.members[3].lang = 0, 2, "language version 0")]
#[case::no_leader(|status: &mut Status| status.leader = None, 2, "no leader")]
#[case::other_cluster(|status: &mut Status| status.cluster = "rinaldi".into(), 2, "this is \"rinaldi\"")]
fn each_check_finds_its_problem(#[case] modify: Modify, #[case] code: u8, #[case] message: &str) {
    let mut status = status();
    modify(&mut status);
    let findings = check_document(DOC, &status);
    assert_eq!(exit_code(&findings), code, "{findings:?}");
    assert!(
        message.is_empty() || findings.iter().any(|finding| finding.message.contains(message)),
        "{findings:?}"
    );
}

#[test]
fn errors_in_the_document_name_their_line() {
    let findings = check_document(&DOC.replace("to contacts;", "to nowhere;"), &status());
    let finding = findings.iter().find(|finding| finding.message.contains("nowhere")).unwrap();
    let at = DOC.lines().position(|line| line.contains("to contacts;")).unwrap() + 1;
    assert_eq!((finding.severity, finding.line), (Severity::Error, Some(at)));
}

/// A tenant whose home is one region and an entry whose home is another cannot be served together.
#[test]
fn a_pair_without_a_common_home_is_found() {
    let source = include_str!("../../../examples/rinaldi.toml");
    let findings = foldshunt_check::check_document(source, &Default::default());
    let pairs: Vec<_> = findings.iter().filter(|finding| finding.check == "no common home").collect();
    assert_eq!(pairs.len(), 1, "{pairs:?}");
    assert!(pairs[0].message.contains("cordoba-register") && pairs[0].message.contains("claimant-replies"));
    let other = include_str!("../../../examples/bitacora.toml");
    assert!(
        foldshunt_check::check_document(other, &Default::default())
            .iter()
            .all(|finding| finding.check != "no common home")
    );
}
