//! How long messages are on their way between areas (design 7.1).

use super::world::World;
use rand::{Rng, rngs::SmallRng};
use std::collections::BTreeMap;

const AREAS: usize = 3;
/// Longest way between two areas that a run draws.
pub const LONGEST_MS: u64 = 150;
/// Ways that a first message takes where its connection must be opened: two for the connection, two
/// for the greeting, one for itself.
const WAYS_OF_OPENING: u64 = 4;

/// One-way delays between areas.
#[derive(Clone, Copy, Debug, Default)]
pub struct Distances([[u64; AREAS]; AREAS]);

impl Distances {
    /// Each pair of areas at its own distance, near ones as often as far ones.
    pub fn drawn(rng: &mut SmallRng) -> Self {
        let mut all = Self([[1; AREAS]; AREAS]);
        for a in 0..AREAS {
            for b in 0..a {
                let ms = (LONGEST_MS as f64).powf(rng.random_range(0.0..=1.0)) as u64;
                (all.0[a][b], all.0[b][a]) = (ms, ms);
            }
        }
        all
    }

    /// All areas at one distance.
    pub fn even(ms: u64) -> Self {
        let mut all = Self([[ms; AREAS]; AREAS]);
        (0..AREAS).for_each(|a| all.0[a][a] = 1);
        all
    }

    pub fn ms(&self, from: usize, to: usize) -> u64 {
        self.0[from % AREAS][to % AREAS]
    }
}

/// Open connections: who to whom, in which lives of both, and from when they carry messages.
pub type Connections = BTreeMap<(usize, usize), (u64, u64, u64)>;

impl World {
    /// The area's number of a seat or a router.
    fn area(&self, n: usize) -> usize {
        n.checked_sub(self.seats.len()).unwrap_or(n)
    }

    /// One message's way over these distances, with the opening of its connection.
    pub fn far(&mut self, distances: &Distances, from: usize, to: usize) -> u64 {
        let one_way = distances.ms(self.area(from), self.area(to));
        let late = self.rng.random_range(0..=one_way / 10 + 2);
        let life = |n: usize| self.seats.get(n).map_or(0, |s| s.life);
        let lives = (life(from), life(to));
        let open = self.connections.get(&(from, to)).filter(|c| (c.0, c.1) == lives).map(|c| c.2);
        let opened = open.unwrap_or(self.t + WAYS_OF_OPENING * one_way);
        let up = self.seats.get(to).is_none_or(|s| s.seat.is_some());
        if open.is_none() && up {
            self.connections.insert((from, to), (lives.0, lives.1, opened));
        }
        opened.saturating_sub(self.t) + one_way + late
    }
}
