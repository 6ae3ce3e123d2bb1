//! Bad settings: one message that names the field, its value and what is allowed (design 1.10).

use common::settings::{Flags, Settings};
use rstest::rstest;
use std::path::PathBuf;

const GOOD: &str = r#"
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
    let fl = Flags { config: Some(path), ..Flags::default() };
    Settings::read(&fl).map_err(|e| format!("{e:#}"))
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
#[case::told_nowhere("told", "\"127.0.0.1:8080\"", "\"0.0.0.0:8080\"", "http: 0.0.0.0:8080; allowed")]
#[case::bound(
    "bound",
    "area =",
    "timing.tenure_ms = 5\narea =",
    "timing.tenure_ms: 5; allowed: 400 to 60000"
)]
#[case::level(
    "level",
    "area =",
    "log = \"loud\"\narea =",
    "log: \"loud\"; allowed: error, warn, info, debug, trace"
)]
#[case::missing("missing", "cluster =", "#", "missing field `cluster`")]
fn bad_settings_are_named(#[case] name: &str, #[case] from: &str, #[case] to: &str, #[case] says: &str) {
    let told = read(name, &GOOD.replacen(from, to, 1)).unwrap_err();
    assert!(told.contains(says), "{told}");
}

#[test]
fn flags_stand_above_the_file() {
    assert_eq!(read("good", GOOD).unwrap().node, "n1");
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("above.toml");
    std::fs::write(&path, GOOD).unwrap();
    let fl = Flags { config: Some(path), node: Some("n2".into()), ..Flags::default() };
    let s = Settings::read(&fl).unwrap();
    assert_eq!((s.node.as_str(), s.zone.as_str(), s.timing.renew_interval_ms()), ("n2", "a", 500));
    let fl = Flags { config: Some("/nowhere/x.toml".into()), ..Flags::default() };
    assert!(Settings::read(&fl).unwrap_err().to_string().contains("config: \"/nowhere/x.toml\""));
}
