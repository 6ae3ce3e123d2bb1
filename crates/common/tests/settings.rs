//! Invalid settings give a message that names the setting, its value and the allowed values (design 1.10). Deprecated
//! names are accepted.

use common::settings::{DEPRECATED, Flags, Settings, deprecated_names};
use rstest::rstest;
use std::path::PathBuf;

const VALID: &str = r#"
cluster = "c"
node = "n1"
area = "a"
rail = "127.0.0.1:7100"
http = "127.0.0.1:8080"
seeds = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]
"#;

fn read(name: &str, text: &str) -> Result<Settings, String> {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
    std::fs::write(&path, text).unwrap();
    let flags = Flags { config: Some(path), ..Flags::default() };
    Settings::read(&flags).map_err(|e| format!("{e:#}"))
}

#[rstest]
#[case::name("node", "node = \"n1\"", "node = \"n 1\"", "node: \"n 1\"; allowed")]
#[case::seeds(
    "seeds",
    "\"127.0.0.1:2\"",
    "\"127.0.0.1:1\"",
    "seeds: [127.0.0.1:1, 127.0.0.1:1, 127.0.0.1:3]; allowed: one to 4 different"
)]
#[case::no_seeds("noseeds", "seeds =", "#", "seeds: []; allowed: one to 4 different")]
#[case::five_seeds(
    "five",
    "seeds = [",
    "seeds = [\"127.0.0.1:4\", \"127.0.0.1:5\", ",
    "allowed: one to 4 different"
)]
#[case::unknown("unknown", "area =", "speed = 1\narea =", "unknown field: found `speed`")]
#[case::address("address", "127.0.0.1:7100", "here", "invalid socket address")]
#[case::unspecified_address("told", "\"127.0.0.1:8080\"", "\"0.0.0.0:8080\"", "http: 0.0.0.0:8080; allowed")]
#[case::out_of_range(
    "bound",
    "area =",
    "timing.tenure_ms = 5\narea =",
    "timing.lease_ms: 5; allowed: 400 to 60000"
)]
#[case::level(
    "level",
    "area =",
    "log = \"loud\"\narea =",
    "log: \"loud\"; allowed: error, warn, info, debug, trace"
)]
#[case::missing("missing", "cluster =", "#", "missing field `cluster`")]
fn an_error_names_the_invalid_setting(
    #[case] name: &str,
    #[case] from: &str,
    #[case] to: &str,
    #[case] expected: &str,
) {
    let message = read(name, &VALID.replacen(from, to, 1)).unwrap_err();
    assert!(message.contains(expected), "{message}");
}

#[test]
fn flags_override_the_file() {
    assert_eq!(read("good", VALID).unwrap().node, "n1");
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("above.toml");
    std::fs::write(&path, VALID).unwrap();
    let flags = Flags { config: Some(path), node: Some("n2".into()), ..Flags::default() };
    let settings = Settings::read(&flags).unwrap();
    let values = (settings.node.as_str(), settings.zone.as_str(), settings.timing.renew_interval_ms());
    assert_eq!(values, ("n2", "a", 500));
    let flags = Flags { config: Some("/nowhere/x.toml".into()), ..Flags::default() };
    assert!(Settings::read(&flags).unwrap_err().to_string().contains("config: \"/nowhere/x.toml\""));
}

const CURRENT: &str = r#"
cluster = "c"
node = "n1"
zone = "a"
rpc = "127.0.0.1:7100"
rpc_advertise = "127.0.0.2:7100"
http = "127.0.0.1:8080"
seeds = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]
bootstrap = false
timing.lease_ms = 3000
timing.probe_interval_ms = 2000
timing.probe_failures = 2
timing.rpc_timeout_ms = 600
"#;

/// The same settings under deprecated names.
const DEPRECATED_SETTINGS: &str = r#"
cluster = "c"
node = "n1"
area = "a"
rail = "127.0.0.1:7100"
rail_advertise = "127.0.0.2:7100"
http = "127.0.0.1:8080"
seeds = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]
founds = false
timing.tenure_ms = 3000
timing.check_ms = 2000
timing.check_fails = 2
timing.rail_ms = 600
"#;

fn flags_for(name: &str, text: &str) -> Flags {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
    std::fs::write(&path, text).unwrap();
    Flags { config: Some(path), ..Flags::default() }
}

#[test]
fn deprecated_names_are_read_as_the_current_ones() {
    let (deprecated, current) =
        (read("old", DEPRECATED_SETTINGS).unwrap(), read("standard", CURRENT).unwrap());
    assert_eq!(format!("{deprecated:?}"), format!("{current:?}"));
    assert_eq!((current.may_bootstrap, current.timing.lease_ms), (false, 3_000));
}

#[test]
fn deprecated_names_are_reported_with_the_current_ones() {
    assert_eq!(deprecated_names(&flags_for("report-old", DEPRECATED_SETTINGS), &[]), DEPRECATED);
    assert_eq!(deprecated_names(&flags_for("report-standard", CURRENT), &[]), []);
    let arguments = ["--rail=127.0.0.1:7100".to_string(), "--area".into(), "--zone".into()];
    let used = deprecated_names(&flags_for("report-flags", CURRENT), &arguments);
    assert_eq!(used, [("area", "zone"), ("rail", "rpc")]);
}

#[test]
fn a_current_name_overrides_a_deprecated_one() {
    let both = format!("{CURRENT}area = \"b\"\n")
        .replace("timing.lease_ms", "timing.tenure_ms = 9000\ntiming.lease_ms");
    let both = both.replace("area = \"b\"\n", "").replace("zone = \"a\"", "zone = \"a\"\narea = \"b\"");
    let settings = read("both", &both).unwrap();
    assert_eq!((settings.zone.as_str(), settings.timing.lease_ms), ("a", 3_000));
}
