//! Text that can't be packed, by seed.

use rand::{Rng, SeedableRng, rngs::SmallRng};

pub fn noise(seed: u64, len: usize) -> String {
    let mut r = SmallRng::seed_from_u64(seed);
    (0..len).map(|_| char::from(r.random_range(b' '..=b'~'))).collect()
}
