//! The runtime layer for network, tasks, randomness and time (design 7.2).
//!
//! A daemon uses those of the machine. In a [`Simulation`] the same code runs on one thread, in virtual time, on a
//! simulated network with seeded randomness, and on hosts that can freeze, crash and lose power.

mod host;
mod net;
mod pipe;
mod simulation;
mod traffic;

pub use host::{Host, spawn, spawn_at};
pub use net::{Listener, SimulatedListener, Stream, bind, bind_when_available, dial};
pub use pipe::SimulatedStream;
pub use simulation::{LatencyModel, Simulation};
pub use traffic::{CallKind, Calls, Traffic, TrafficCounter};

use rand::{Rng, distr::StandardUniform, distr::uniform::SampleRange, prelude::Distribution};
use std::{cell::RefCell, sync::Arc};

thread_local! {
    static SIMULATION: RefCell<Option<Arc<Simulation>>> = const { RefCell::new(None) };
}

/// The simulation that runs on this thread, if any.
pub fn simulation() -> Option<Arc<Simulation>> {
    SIMULATION.with(|current| current.borrow().clone())
}

/// Sets or clears the simulation of this thread.
fn install(simulation: Option<Arc<Simulation>>) {
    SIMULATION.with(|current| *current.borrow_mut() = simulation);
}

/// Milliseconds since the simulation began, plus an offset that differs between hosts, so that code that wrongly compares
/// the ticks of two nodes shows up.
pub(crate) fn virtual_ms() -> Option<u64> {
    simulation()
        .map(|simulation| simulation.elapsed_ms() + host::current().map_or(0, |host| host.offset_ms()))
}

/// The simulated time of day on the current host's clock.
pub(crate) fn virtual_time_of_day_ms() -> Option<u64> {
    let step_ms = host::current().map_or(0, |host| host.clock_step_ms());
    simulation().map(|simulation| simulation.time_of_day_ms().saturating_add_signed(step_ms))
}

/// A random value; in a simulation, from its seeded generator.
pub fn random<T>() -> T
where
    StandardUniform: Distribution<T>,
{
    match simulation() {
        Some(simulation) => simulation.rng().random(),
        None => rand::random(),
    }
}

/// A random value in a range; in a simulation, from its seeded generator.
pub fn random_in(range: impl SampleRange<usize>) -> usize {
    match simulation() {
        Some(simulation) => simulation.rng().random_range(range),
        None => rand::random_range(range),
    }
}
