//! Random text, which hardly compresses.

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// `len` random printable ASCII characters; the same seed gives the same text.
pub fn random_text(seed: u64, len: usize) -> String {
    let mut rng = SmallRng::seed_from_u64(seed);
    (0..len).map(|_| char::from(rng.random_range(b' '..=b'~'))).collect()
}
