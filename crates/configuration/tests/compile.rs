//! Conformance of the compiler with design 4.2 to 4.5: every diagnostic, with its place.

use common::{Region, Tenant};
use configuration::{KeyPart, check_fleet, compile};
use rstest::rstest;

const DOC: &str = include_str!("../../../examples/rinaldi.toml");

/// Line of the first place where `what` stands in the edited document.
fn line_of(src: &str, what: &str) -> usize {
    src.lines().position(|l| l.contains(what)).map(|n| n + 1).unwrap_or(0)
}

#[rstest]
#[case::syntax("name = \"baires-1\"", "name = \"baires-1", "name = \"baires-1", "syntax")]
#[case::unknown_field("default = \"clerks\"", "fallback = \"clerks\"", "fallback", "unknown field")]
#[case::wrong_type("waitlist = 64", "waitlist = \"many\"", "waitlist", "invalid type")]
#[case::out_of_range("extra_goes = 0.2", "extra_goes = 0.3", "extra_goes", "0.3; allowed: 0 to 0.2")]
#[case::same_name(
    "name = \"baires-2\"",
    "name = \"baires-1\"",
    "name = \"baires-1\"",
    "'baires-1' is there twice"
)]
#[case::unknown_home("homes buenos-aires", "homes rosario", "homes rosario", "no region 'rosario'")]
#[case::tenant_home("homes = [\"cordoba\"]", "homes = [\"rosario\"]", "rosario", "no region 'rosario'")]
#[case::empty_homes("homes = [\"cordoba\"]", "homes = []", "homes = []", "homes are empty")]
#[case::unknown_service("to tickets", "to fax", "to fax", "no service 'fax'")]
#[case::unknown_policy(
    "policy articles\n}\n\n# A",
    "policy parts\n}\n\n# A",
    "policy parts",
    "no policy 'parts'"
)]
#[case::bad_path("\"/v1/replies\"", "\"v1/replies\"", "\"v1/replies\"", "does not start with '/'")]
#[case::bad_method("match GET", "match FETCH", "match FETCH", "'FETCH'; allowed")]
#[case::bad_time("deadline 3s", "deadline soon", "deadline soon", "a time (such as 30s, 15m) is missing")]
#[case::bad_size("limit 4kB", "limit 400MB", "limit 400MB", "out of range")]
#[case::stray_word("entry ticket-lookups {", "entry ticket-lookups ?{", "?{", "no such word: \"?\"")]
#[case::unknown_statement("repeatable;", "twice;", "twice;", "no such statement")]
#[case::unknown_block(
    "entry claimant-replies",
    "exit claimant-replies",
    "exit claimant",
    "unknown block 'exit'"
)]
#[case::no_default_tenant("default = \"clerks\"", "default = \"nobody\"", "nobody", "no tenant 'nobody'")]
#[case::shadowed("\"/v1/replies\"", "\"/v1/matches\"", "entry claimant-replies", "can never match")]
fn each_flaw_has_its_place(#[case] from: &str, #[case] to: &str, #[case] at: &str, #[case] says: &str) {
    assert!(DOC.contains(from));
    let src = DOC.replacen(from, to, 1);
    let diagnostics = compile(&src).unwrap_err();
    let hit = diagnostics.iter().find(|f| f.message.contains(says));
    let hit = hit.unwrap_or_else(|| panic!("{diagnostics:?}"));
    let last = src.lines().collect::<Vec<_>>().iter().rposition(|l| l.contains(at)).map(|n| n + 1);
    assert!(hit.line == line_of(&src, at) || Some(hit.line) == last, "{hit}, not at {at:?}");
    assert!(hit.column > 0);
}

#[test]
fn all_flaws_are_told_at_once() {
    let src = DOC.replace("to tickets", "to fax").replace("homes buenos-aires", "homes rosario");
    let src = src.replace("waitlist = 64", "waitlist = 9999999");
    assert_eq!(compile(&src).unwrap_err().len(), 3);
}

#[test]
fn homes_are_the_entrys_met_with_the_tenants() {
    let t = compile(DOC).unwrap();
    let e = |name: &str| t.entries.iter().find(|e| e.name == name).unwrap();
    let clerk = Tenant::new("clerks");
    let cordoba = Tenant::new("cordoba-register");
    let names = |e: &configuration::Entry, x: &Tenant| -> Vec<String> {
        t.homes(e, Some(x)).iter().map(Region::to_string).collect()
    };
    assert_eq!(names(e("register-matches"), &clerk), ["buenos-aires", "cordoba"]);
    assert_eq!(names(e("register-matches"), &cordoba), ["cordoba"]);
    assert_eq!(names(e("claimant-replies"), &clerk), ["buenos-aires"]);
    assert!(names(e("claimant-replies"), &cordoba).is_empty());
    let pol = t.policy(e("register-matches"));
    assert_eq!(pol.key, [KeyPart::Json("register".into()), KeyPart::PromptStart(256)]);
    assert_eq!((pol.ttl_ms, pol.max_load_ratio, pol.smoothing), (900_000, 0.95, 0.05));
}

#[rstest]
#[case("GET", "/v1/tickets/7", Some("ticket-lookups"))]
#[case("POST", "/v1/tickets/7", None)]
#[case("POST", "/v1/matches", Some("register-matches"))]
#[case("POST", "/v1/matches/7", None)]
#[case("GET", "/", None)]
fn the_first_entry_that_fits(#[case] method: &str, #[case] path: &str, #[case] want: Option<&str>) {
    let t = compile(DOC).unwrap();
    assert_eq!(t.find(method, path, &|_| None).map(|e| e.name.as_str()), want);
}

#[test]
fn homes_without_replicas_are_flaws() {
    let t = compile(DOC).unwrap();
    let all = |zones: &[&str]| -> Vec<(common::Service, common::Zone)> {
        let both = |a: &&str| [("match".into(), (*a).into()), ("tickets".into(), (*a).into())];
        zones.iter().flat_map(both).collect()
    };
    assert!(check_fleet(DOC, &t, &all(&["baires-1", "cordoba-1"])).is_empty());
    let diagnostics = check_fleet(DOC, &t, &all(&["cordoba-1"]));
    let says: Vec<&str> = diagnostics.iter().map(|f| f.message.as_str()).collect();
    assert_eq!(says, ["entry 'claimant-replies': home 'buenos-aires' has no replica of 'match'"]);
    assert_eq!(diagnostics[0].line, line_of(DOC, "entry claimant-replies"));
    let diagnostics = check_fleet(DOC, &t, &all(&["baires-2"]));
    assert!(diagnostics.iter().any(|f| f.message.contains("tenant 'cordoba-register'")), "{diagnostics:?}");
    assert!(check_fleet(DOC, &t, &[]).len() >= 3);
}

/// `areas` and `timetable` are names of earlier releases.
#[test]
fn standard_field_names_mean_the_same() {
    let old = include_str!("../../../examples/bitacora.toml");
    let standard = old
        .replace("[[areas]]", "[[zones]]")
        .replace("areas =", "zones =")
        .replace("timetable =", "routing =");
    assert_ne!(old, standard);
    let compiled = |source: &str| format!("{:?}", compile(source).expect("an example that compiles"));
    assert_eq!(compiled(old), compiled(&standard));
    let broken =
        |source: &str| compile(&source.replace("to verdict", "to nobody")).expect_err("no such service");
    assert_eq!(broken(old), broken(&standard), "the same lines and columns");
}
