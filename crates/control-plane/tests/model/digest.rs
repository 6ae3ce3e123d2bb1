//! Canonical digests of model states: two states with the same digest are explored once.

use siphasher::sip128::{Hasher128, SipHasher13};
use std::{fmt, hash::Hasher};

/// 128 bits: with the few million states of a run a collision is out of the question.
pub type Digest = u128;

struct DebugHasher(SipHasher13);

impl fmt::Write for DebugHasher {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

/// Digest of all that a value's derived `Debug` shows, private fields included.
pub fn digest(value: &impl fmt::Debug) -> Digest {
    let mut hasher = DebugHasher(SipHasher13::new());
    let shown = fmt::write(&mut hasher, format_args!("{value:?}"));
    assert!(shown.is_ok(), "a derived Debug does not fail");
    hasher.0.finish128().as_u128()
}

/// Digest of a sequence of digests, in their order.
pub fn combine(parts: impl Iterator<Item = Digest>) -> Digest {
    let mut hasher = SipHasher13::new();
    parts.for_each(|part| hasher.write_u128(part));
    hasher.finish128().as_u128()
}
