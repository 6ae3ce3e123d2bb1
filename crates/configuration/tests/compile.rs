//! The compiler reports each error with its position, and compiled documents route as written (design 4.2 to 4.5).

use common::{Region, Tenant};
use configuration::{KeyPart, check_fleet, compile};
use rstest::rstest;

const DOCUMENT: &str = include_str!("../../../examples/rinaldi.toml");

/// Number of the first line that contains `text`.
fn line_of(source: &str, text: &str) -> usize {
    source.lines().position(|line| line.contains(text)).map(|n| n + 1).unwrap_or(0)
}

#[rstest]
#[case::syntax("name = \"baires-1\"", "name = \"baires-1", "name = \"baires-1", "syntax")]
#[case::unknown_field("default = \"clerks\"", "fallback = \"clerks\"", "fallback", "unknown field")]
#[case::wrong_type("waitlist = 64", "waitlist = \"many\"", "waitlist", "invalid type")]
#[case::out_of_range("extra_goes = 0.2", "extra_goes = 0.3", "extra_goes", "0.3; allowed: 0 to 0.2")]
#[case::duplicate_name(
    "name = \"baires-2\"",
    "name = \"baires-1\"",
    "name = \"baires-1\"",
    "'baires-1' is defined twice"
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
#[case::unexpected_text("entry ticket-lookups {", "entry ticket-lookups ?{", "?{", "unexpected text: \"?\"")]
#[case::unknown_statement("repeatable;", "twice;", "twice;", "unknown statement")]
#[case::unknown_block(
    "entry claimant-replies",
    "exit claimant-replies",
    "exit claimant",
    "unknown block 'exit'"
)]
#[case::no_default_tenant("default = \"clerks\"", "default = \"nobody\"", "nobody", "no tenant 'nobody'")]
#[case::shadowed("\"/v1/replies\"", "\"/v1/matches\"", "entry claimant-replies", "can never match")]
fn each_error_has_its_position(
    #[case] from: &str,
    #[case] to: &str,
    #[case] at: &str,
    #[case] expected: &str,
) {
    assert!(DOCUMENT.contains(from));
    let source = DOCUMENT.replacen(from, to, 1);
    let diagnostics = compile(&source).unwrap_err();
    let found = diagnostics.iter().find(|diagnostic| diagnostic.message.contains(expected));
    let found = found.unwrap_or_else(|| panic!("{diagnostics:?}"));
    let last = source.lines().collect::<Vec<_>>().iter().rposition(|line| line.contains(at)).map(|n| n + 1);
    assert!(found.line == line_of(&source, at) || Some(found.line) == last, "{found}, not at {at:?}");
    assert!(found.column > 0);
}

#[test]
fn all_errors_are_reported_at_once() {
    let source = DOCUMENT.replace("to tickets", "to fax").replace("homes buenos-aires", "homes rosario");
    let source = source.replace("waitlist = 64", "waitlist = 9999999");
    assert_eq!(compile(&source).unwrap_err().len(), 3);
}

#[test]
fn homes_are_the_intersection_of_entry_and_tenant() {
    let table = compile(DOCUMENT).unwrap();
    let entry = |name: &str| table.entries.iter().find(|entry| entry.name == name).unwrap();
    let clerks = Tenant::new("clerks");
    let cordoba = Tenant::new("cordoba-register");
    let homes = |entry: &configuration::Entry, tenant: &Tenant| -> Vec<String> {
        table.homes(entry, Some(tenant)).iter().map(Region::to_string).collect()
    };
    assert_eq!(homes(entry("register-matches"), &clerks), ["buenos-aires", "cordoba"]);
    assert_eq!(homes(entry("register-matches"), &cordoba), ["cordoba"]);
    assert_eq!(homes(entry("claimant-replies"), &clerks), ["buenos-aires"]);
    assert!(homes(entry("claimant-replies"), &cordoba).is_empty());
    let policy = table.policy(entry("register-matches"));
    assert_eq!(policy.key, [KeyPart::Json("register".into()), KeyPart::PromptStart(256)]);
    assert_eq!((policy.ttl_ms, policy.max_load_ratio, policy.smoothing), (900_000, 0.95, 0.05));
}

#[rstest]
#[case("GET", "/v1/tickets/7", Some("ticket-lookups"))]
#[case("POST", "/v1/tickets/7", None)]
#[case("POST", "/v1/matches", Some("register-matches"))]
#[case("POST", "/v1/matches/7", None)]
#[case("GET", "/", None)]
fn the_first_matching_entry_is_used(
    #[case] method: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let table = compile(DOCUMENT).unwrap();
    assert_eq!(table.find(method, path, &|_| None).map(|entry| entry.name.as_str()), expected);
}

#[test]
fn homes_without_replicas_are_reported() {
    let table = compile(DOCUMENT).unwrap();
    let replicas_in = |zones: &[&str]| -> Vec<(common::Service, common::Zone)> {
        let of_both = |zone: &&str| [("match".into(), (*zone).into()), ("tickets".into(), (*zone).into())];
        zones.iter().flat_map(of_both).collect()
    };
    assert!(check_fleet(DOCUMENT, &table, &replicas_in(&["baires-1", "cordoba-1"])).is_empty());
    let diagnostics = check_fleet(DOCUMENT, &table, &replicas_in(&["cordoba-1"]));
    let messages: Vec<&str> = diagnostics.iter().map(|diagnostic| diagnostic.message.as_str()).collect();
    assert_eq!(messages, ["entry 'claimant-replies': home 'buenos-aires' has no replica of 'match'"]);
    assert_eq!(diagnostics[0].line, line_of(DOCUMENT, "entry claimant-replies"));
    let diagnostics = check_fleet(DOCUMENT, &table, &replicas_in(&["baires-2"]));
    let names_tenant = |message: &str| message.contains("tenant 'cordoba-register'");
    assert!(diagnostics.iter().any(|diagnostic| names_tenant(&diagnostic.message)), "{diagnostics:?}");
    assert!(check_fleet(DOCUMENT, &table, &[]).len() >= 3);
}

/// `areas` and `timetable` are the names of `zones` and `routing` in earlier releases.
#[test]
fn current_and_earlier_field_names_are_equivalent() {
    let earlier = include_str!("../../../examples/bitacora.toml");
    let current = earlier
        .replace("[[areas]]", "[[zones]]")
        .replace("areas =", "zones =")
        .replace("timetable =", "routing =");
    assert_ne!(earlier, current);
    let compiled = |source: &str| format!("{:?}", compile(source).expect("an example that compiles"));
    assert_eq!(compiled(earlier), compiled(&current));
    let errors =
        |source: &str| compile(&source.replace("to verdict", "to nobody")).expect_err("no such service");
    assert_eq!(errors(earlier), errors(&current), "the same lines and columns");
}
