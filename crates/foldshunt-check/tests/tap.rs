//! Each check of `foldshunt-check`, seen to find what it is meant for.

use control_plane::Replica;
use foldshunt_check::*;
use rstest::rstest;
use std::collections::BTreeSet;

const DOC: &str = include_str!("../../../examples/bitacora.toml");

fn status() -> Status {
    let rep = |svc: &str, zone: &str, n: u16| {
        let r = Replica {
            service: svc.into(),
            zone: zone.into(),
            addr: ([127, 0, 0, 1], n).into(),
            draining: false,
        };
        (format!("{svc}-{zone}"), r)
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
        replicas: zones.iter().flat_map(|a| [rep("verdict", a, 1), rep("contacts", a, 2)]).collect(),
        voters: (0..3).map(|n| RosterRow { node: format!("Core{n}"), http: None }).collect(),
    }
}

type Spoil = fn(&mut Status);

#[rstest]
#[case::well(|_: &mut Status| {}, 0, "")]
#[case::evacuated(|s: &mut Status| s.evacuated.extend(["centro-2".into()]), 3, "is evacuated")]
#[case::home_drained(|s: &mut Status| s.replicas.get_mut("verdict-norte-1").unwrap().draining = true, 2, "no replica of 'verdict' in its homes")]
#[case::stray(|s: &mut Status| s.replicas.get_mut("contacts-centro-1").unwrap().service = "fax".into(), 3, "service fax")]
#[case::no_router(|s: &mut Status| s.members.retain(|m| m.node != "Router1"), 3, "no router holds a tenure in area 'centro-2'")]
#[case::seat_gone(|s: &mut Status| s.members.retain(|m| m.node != "Core2"), 3, "one more loss")]
#[case::lag(|s: &mut Status| s.members[3].lags = Some(true), 3, "lags behind revision 4")]
#[case::too_old(|s: &mut Status| s.members[3].lang = 0, 2, "language version 0")]
#[case::no_leader(|s: &mut Status| s.leader = None, 2, "no leader")]
#[case::foreign(|s: &mut Status| s.cluster = "rinaldi".into(), 2, "this is \"rinaldi\"")]
fn each_check_finds(#[case] spoil: Spoil, #[case] code: u8, #[case] says: &str) {
    let mut st = status();
    spoil(&mut st);
    let f = tap(DOC, &st);
    assert_eq!(exit_code(&f), code, "{f:?}");
    assert!(says.is_empty() || f.iter().any(|x| x.message.contains(says)), "{f:?}");
}

#[test]
fn flaws_carry_their_place() {
    let f = tap(&DOC.replace("to contacts;", "to nowhere;"), &status());
    let x = f.iter().find(|x| x.message.contains("nowhere")).unwrap();
    let at = DOC.lines().position(|l| l.contains("to contacts;")).unwrap() + 1;
    assert_eq!((x.weight, x.line), (Weight::PeerError, Some(at)));
}

/// A tenant fenced in one region and an entry fenced in another: found before a caller is told 403.
#[test]
fn a_pair_without_a_common_home_is_told() {
    let src = include_str!("../../../examples/rinaldi.toml");
    let told = foldshunt_check::tap(src, &Default::default());
    let pairs: Vec<_> = told.iter().filter(|f| f.check == "no common home").collect();
    assert_eq!(pairs.len(), 1, "{pairs:?}");
    assert!(pairs[0].message.contains("cordoba-register") && pairs[0].message.contains("claimant-replies"));
    let other = include_str!("../../../examples/bitacora.toml");
    assert!(foldshunt_check::tap(other, &Default::default()).iter().all(|f| f.check != "no common home"));
}
