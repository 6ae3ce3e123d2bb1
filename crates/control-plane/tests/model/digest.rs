//! Digests of model states. States with the same digest count as one state, which is explored once.

use siphasher::sip128::{Hasher128, SipHasher13};
use std::{fmt, hash::Hasher};

/// 128 bits make a collision among the few million states of a run negligible.
pub type Digest = u128;

/// Hashes the text that is written to it.
struct DebugHasher(SipHasher13);

impl fmt::Write for DebugHasher {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

/// Digest of a value's derived `Debug` text, which includes private fields. The names of types and fields are part
/// of it: renaming one changes which states are sampled for the recovery check.
pub fn digest(value: &impl fmt::Debug) -> Digest {
    let mut hasher = DebugHasher(SipHasher13::new());
    let result = fmt::write(&mut hasher, format_args!("{value:?}"));
    assert!(result.is_ok(), "a derived Debug does not fail");
    hasher.0.finish128().as_u128()
}

/// Digest of a sequence of digests, in their order.
pub fn combine(parts: impl Iterator<Item = Digest>) -> Digest {
    let mut hasher = SipHasher13::new();
    parts.for_each(|part| hasher.write_u128(part));
    hasher.finish128().as_u128()
}
