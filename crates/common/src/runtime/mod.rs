//! The seam to network, tasks, chance and time (design 7.2). A daemon uses the machine's. Under a [`Simulation`] the
//! same code runs on one thread, in virtual time, over a seeded network, on hosts that freeze, die and lose power.

mod host;
mod net;
mod pipe;
mod simulation;
mod traffic;

pub use host::{Host, spawn, spawn_at};
pub use net::{Listener, SimulatedListener, Stream, bind, dial};
pub use pipe::SimulatedStream;
pub use simulation::{LatencyModel, Simulation};
pub use traffic::{CallKind, Calls, Traffic, TrafficCounter};

use rand::{Rng, distr::StandardUniform, distr::uniform::SampleRange, prelude::Distribution};
use std::{cell::RefCell, sync::Arc};

thread_local! {
    static SIMULATION: RefCell<Option<Arc<Simulation>>> = const { RefCell::new(None) };
}

/// The simulation of this thread, if it runs in one.
pub fn simulation() -> Option<Arc<Simulation>> {
    SIMULATION.with(|current| current.borrow().clone())
}

fn install(simulation: Option<Arc<Simulation>>) {
    SIMULATION.with(|current| *current.borrow_mut() = simulation);
}

/// Milliseconds since the simulation began, on its virtual clock, shifted by host so that no two nodes' ticks can be
/// compared by mistake.
pub(crate) fn virtual_ms() -> Option<u64> {
    simulation()
        .map(|simulation| simulation.elapsed_ms() + host::current().map_or(0, |host| host.offset_ms()))
}

/// The time of day of a simulation, as the host that asks sees it.
pub(crate) fn virtual_time_of_day_ms() -> Option<u64> {
    let step_ms = host::current().map_or(0, |host| host.clock_step_ms());
    simulation().map(|simulation| simulation.time_of_day_ms().saturating_add_signed(step_ms))
}

/// A random value: the machine's own, or the simulation's next one.
pub fn random<T>() -> T
where
    StandardUniform: Distribution<T>,
{
    match simulation() {
        Some(simulation) => simulation.rng().random(),
        None => rand::random(),
    }
}

/// A random value within a range.
pub fn random_in(range: impl SampleRange<usize>) -> usize {
    match simulation() {
        Some(simulation) => simulation.rng().random_range(range),
        None => rand::random_range(range),
    }
}
