//! Settings from the environment, in a process of their own: a variable that is set stands for all
//! tests of a process at once.

use common::settings::{Flags, Settings};
use std::path::PathBuf;

const GOOD: &str = r#"
cluster = "c"
node = "n1"
area = "a"
rail = "127.0.0.1:7100"
http = "127.0.0.1:8080"
seeds = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]
"#;

/// Found on a platform that names its own file so: each start ended with an unknown field.
#[test]
fn a_variable_that_names_a_file_is_no_setting() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("named.toml");
    std::fs::write(&path, GOOD).unwrap();
    let fl = Flags { config: Some(path), ..Flags::default() };
    figment::Jail::expect_with(|jail| {
        jail.set_env("FOLDSHUNT_SOME_FILE", "/etc/x.toml");
        jail.set_env("FOLDSHUNT_NODE", "n7");
        assert_eq!(Settings::read(&fl).map(|s| s.node).map_err(|e| e.to_string()), Ok("n7".into()));
        Ok(())
    });
}
