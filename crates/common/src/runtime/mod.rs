//! The ground that a process stands on (design 7.2): network, tasks, chance and time. A daemon
//! stands on the machine's. Under a world in memory the same code stands on that instead: one
//! thread, virtual time, a seeded network, and hosts that freeze, die and go dark.

mod host;
mod net;
mod pipe;
mod traffic;
mod world;

pub use host::{Host, spawn, spawn_at};
pub use net::{Listener, Stream, bind, dial};
pub use traffic::{Calls, Kind, Traffic, TrafficCounter};
pub use world::{LatencyModel, World};

use rand::{Rng, distr::StandardUniform, distr::uniform::SampleRange, prelude::Distribution};
use std::{cell::RefCell, sync::Arc};

thread_local! {
    static WORLD: RefCell<Option<Arc<World>>> = const { RefCell::new(None) };
}

/// The world of this thread, where there is one.
pub fn world() -> Option<Arc<World>> {
    WORLD.with(|w| w.borrow().clone())
}

fn put(w: Option<Arc<World>>) {
    WORLD.with(|at| *at.borrow_mut() = w);
}

/// Milliseconds since the world began, on its virtual clock, shifted by host so that no two nodes'
/// ticks can be compared by mistake.
pub(crate) fn virtual_ms() -> Option<u64> {
    world().map(|w| w.ms() + host::current().map_or(0, |h| h.offset_ms()))
}

/// A random value: the machine's own, or the world's next one.
pub fn draw<T>() -> T
where
    StandardUniform: Distribution<T>,
{
    match world() {
        Some(w) => w.chance().random(),
        None => rand::random(),
    }
}

pub fn random_in(r: impl SampleRange<usize>) -> usize {
    match world() {
        Some(w) => w.chance().random_range(r),
        None => rand::random_range(r),
    }
}

/// Whether the world wants this deliberately broken variant (design 7.6); a daemon never does.
pub fn broken(name: &str) -> bool {
    WORLD.with(|w| w.borrow().as_ref().is_some_and(|w| w.broken.as_deref() == Some(name)))
}
