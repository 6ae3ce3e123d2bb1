//! Settings from environment variables. These tests need a process of their own, because a variable applies to all tests of
//! a process.

use common::settings::{Flags, Settings};
use std::path::PathBuf;

const VALID: &str = r#"
cluster = "c"
node = "n1"
area = "a"
rail = "127.0.0.1:7100"
http = "127.0.0.1:8080"
seeds = ["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"]
"#;

/// On a platform that sets such a variable for its own settings file, each start failed with an unknown field.
#[test]
fn a_variable_with_the_path_of_a_file_is_not_a_setting() {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("named.toml");
    std::fs::write(&path, VALID).unwrap();
    let flags = Flags { config: Some(path), ..Flags::default() };
    figment::Jail::expect_with(|jail| {
        jail.set_env("FOLDSHUNT_SOME_FILE", "/etc/x.toml");
        jail.set_env("FOLDSHUNT_NODE", "n7");
        assert_eq!(
            Settings::read(&flags).map(|settings| settings.node).map_err(|e| e.to_string()),
            Ok("n7".into())
        );
        Ok(())
    });
}
