//! Binary fixtures of stored and sent data.
//!
//! A fixture is a file under a crate's `tests/fixtures/`. Tests compare what the current code writes with
//! the bytes of the file, and read the file back. The files were written by an earlier version; they change
//! only together with `common::wire::PROTOCOL_VERSION` or with the format number of the store.
//!
//! `FOLDSHUNT_WRITE_FIXTURES=1 cargo test --workspace compatibility` writes the files that are missing. It
//! never overwrites one.

#![warn(missing_docs)]

use common::wire;
use serde::{Serialize, de::DeserializeOwned};
use std::{fs, path::PathBuf};

/// Set to write the fixtures that are missing.
const WRITE_MISSING: &str = "FOLDSHUNT_WRITE_FIXTURES";

/// The fixtures of one crate.
pub struct Fixtures {
    folder: PathBuf,
}

impl Fixtures {
    /// The fixtures under `tests/fixtures` of the crate at `manifest_dir`.
    pub fn of_crate(manifest_dir: &str) -> Self {
        Self { folder: PathBuf::from(manifest_dir).join("tests/fixtures") }
    }

    /// Where the fixture of that name lies.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }

    /// The bytes of a fixture.
    pub fn read(&self, name: &str) -> Vec<u8> {
        let path = self.path(name);
        fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
    }

    /// Asserts that `bytes` are those of the fixture.
    pub fn assert_bytes(&self, name: &str, bytes: &[u8]) {
        let path = self.path(name);
        if std::env::var_os(WRITE_MISSING).is_some() && !path.exists() {
            fs::create_dir_all(path.parent().expect("a fixture lies in a folder")).expect("a folder");
            fs::write(&path, bytes).expect("a fixture that can be written");
        }
        assert!(self.read(name) == bytes, "{name}: other bytes than an earlier version wrote");
    }

    /// Asserts that a value is encoded for the wire as in the fixture, and that the fixture is read back as
    /// a value with the same encoding.
    pub fn assert_wire<T: Serialize + DeserializeOwned>(&self, name: &str, value: &T) {
        let file = format!("{name}.bin");
        self.assert_bytes(&file, &wire::encode(value).expect("a value that can be encoded"));
        let read: T = wire::decode(&self.read(&file)).unwrap_or_else(|e| panic!("{name}: {e}"));
        let again = wire::encode(&read).expect("a value that can be encoded");
        assert!(again == self.read(&file), "{name}: changed by reading and writing it");
    }

    /// Asserts that a value is written as the JSON of the fixture.
    pub fn assert_json(&self, name: &str, json: &str) {
        self.assert_bytes(&format!("{name}.json"), format!("{json}\n").as_bytes());
    }
}
