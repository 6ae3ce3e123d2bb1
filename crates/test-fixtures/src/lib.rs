//! Fixtures of stored and sent data, for tests of compatibility between versions.
//!
//! A fixture is a file under a crate's `tests/fixtures/` that an earlier version wrote. Tests compare the output of the
//! current code with the bytes of the file, and read the file back. A fixture changes only together with
//! `common::wire::PROTOCOL_VERSION` or with the format number of the store.
//!
//! `FOLDSHUNT_WRITE_FIXTURES=1 cargo test --workspace compatibility` writes missing fixtures. It never overwrites an
//! existing one.

#![warn(missing_docs)]

use common::wire;
use serde::{Serialize, de::DeserializeOwned};
use std::{fs, path::PathBuf};

/// Environment variable that makes the tests write missing fixtures.
const WRITE_MISSING: &str = "FOLDSHUNT_WRITE_FIXTURES";

/// The fixtures of one crate.
pub struct Fixtures {
    directory: PathBuf,
}

impl Fixtures {
    /// The fixtures under `tests/fixtures` of the crate at `manifest_dir`.
    pub fn of_crate(manifest_dir: &str) -> Self {
        Self { directory: PathBuf::from(manifest_dir).join("tests/fixtures") }
    }

    /// Path of a fixture.
    pub fn path(&self, name: &str) -> PathBuf {
        self.directory.join(name)
    }

    /// Reads the bytes of a fixture.
    pub fn read(&self, name: &str) -> Vec<u8> {
        let path = self.path(name);
        fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
    }

    /// Asserts that `bytes` equal those of the fixture.
    pub fn assert_bytes(&self, name: &str, bytes: &[u8]) {
        let path = self.path(name);
        if std::env::var_os(WRITE_MISSING).is_some() && !path.exists() {
            fs::create_dir_all(path.parent().expect("the path of a fixture has a parent"))
                .expect("the directory can be created");
            fs::write(&path, bytes).expect("the fixture can be written");
        }
        assert!(self.read(name) == bytes, "{name}: the bytes differ from those of an earlier version");
    }

    /// Asserts that a value is encoded for the wire as in the fixture, and that decoding the fixture and encoding the result
    /// again gives the same bytes.
    pub fn assert_wire<T: Serialize + DeserializeOwned>(&self, name: &str, value: &T) {
        let file = format!("{name}.bin");
        self.assert_bytes(&file, &wire::encode(value).expect("the value can be encoded"));
        let decoded: T = wire::decode(&self.read(&file)).unwrap_or_else(|e| panic!("{name}: {e}"));
        let encoded_again = wire::encode(&decoded).expect("the value can be encoded");
        assert!(encoded_again == self.read(&file), "{name}: changed by decoding and encoding it");
    }

    /// Asserts that `json`, followed by a line end, equals the fixture.
    pub fn assert_json(&self, name: &str, json: &str) {
        self.assert_bytes(&format!("{name}.json"), format!("{json}\n").as_bytes());
    }
}
