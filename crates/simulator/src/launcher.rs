//! How the nodes of a fleet are started, and what a node that was started is.

use crate::simulated_process::SimulatedProcess;
use std::{path::PathBuf, sync::Arc};
use tokio::process::Child;

/// A node that is running.
pub enum RunningNode {
    /// A real process.
    Process(Child),
    /// Tasks on a simulated host.
    Simulated(SimulatedProcess),
}

/// How the nodes of a fleet are started.
#[derive(Clone)]
pub enum Launcher {
    /// As processes, from the programs in this folder.
    Processes(PathBuf),
    /// As processes, from the programs in this folder, with this many voters in a new cluster.
    ProcessesOfCluster(PathBuf, u8),
    /// On hosts of a simulation.
    Simulation(Arc<common::runtime::Simulation>),
}
