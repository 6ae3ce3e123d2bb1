//! A simulated network in memory: its listeners, hosts, partitioned links and random numbers (design 7.2).

use super::{host::Host, pipe::SimulatedStream, traffic::TrafficCounter};
use crate::sync::lock;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard},
    task::Waker,
    time::Duration,
};
use tokio::{sync::mpsc, time::Instant};

/// Where a listener receives new connections with the address of the peer.
pub(super) type Backlog = mpsc::UnboundedSender<(SimulatedStream, SocketAddr)>;

/// One direction of a link: from one address to another.
type Link = (IpAddr, IpAddr);

/// Distribution of the time from sending bytes to their arrival.
#[derive(Clone, Copy, Debug)]
pub struct LatencyModel {
    /// Shortest latency, in microseconds.
    pub min_us: u64,
    /// Longest latency without a spike, in microseconds.
    pub max_us: u64,
    /// Probability of a spike, which is a latency above `max_us`.
    pub spike_probability: f64,
    /// Longest latency in a spike, in microseconds.
    pub max_spike_us: u64,
}

impl Default for LatencyModel {
    fn default() -> Self {
        Self { min_us: 100, max_us: 2_000, spike_probability: 0.01, max_spike_us: 60_000 }
    }
}

/// True time of day at the start of a simulation, in milliseconds since 1970.
const TIME_OF_DAY_AT_START_MS: u64 = 1_800_000_000_000;

/// A simulated network with its hosts.
pub struct Simulation {
    started: Instant,
    rng: Mutex<SmallRng>,
    pub(super) listeners: Mutex<BTreeMap<SocketAddr, Backlog>>,
    hosts: Mutex<BTreeMap<IpAddr, Arc<Host>>>,
    partitions: Mutex<BTreeSet<Link>>,
    /// Tasks that wait for a link to heal or for a host to regain power.
    parked: Mutex<Vec<Waker>>,
    latency: Mutex<LatencyModel>,
    /// Name of the enabled mutation; see [`crate::mutation`].
    pub mutation: Option<String>,
    /// Counts calls and bytes.
    pub traffic: TrafficCounter,
}

impl Simulation {
    /// Runs a future on this thread in a simulation with this seed. Virtual time stands still while any task can run, and
    /// jumps to the next timer otherwise.
    ///
    /// # Panics
    /// If the runtime can't be built.
    pub fn run<F: Future>(
        seed: u64,
        mutation: Option<String>,
        start: impl FnOnce(Arc<Simulation>) -> F,
    ) -> F::Output {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        #[cfg(tokio_unstable)]
        builder.rng_seed(tokio::runtime::RngSeed::from_bytes(&seed.to_le_bytes()));
        let runtime =
            builder.enable_time().start_paused(true).build().expect("a runtime without input or output");
        let output = runtime.block_on(async {
            let simulation = Arc::new(Self::new(seed, mutation));
            super::install(Some(simulation.clone()));
            start(simulation).await
        });
        // Remaining tasks are dropped while the simulation that they use is still installed.
        drop(runtime);
        super::install(None);
        output
    }

    fn new(seed: u64, mutation: Option<String>) -> Self {
        Self {
            started: Instant::now(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            listeners: Mutex::default(),
            hosts: Mutex::default(),
            partitions: Mutex::default(),
            parked: Mutex::default(),
            latency: Mutex::default(),
            mutation,
            traffic: TrafficCounter::default(),
        }
    }

    /// Milliseconds since the simulation began.
    pub fn elapsed_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// The true time of day, in milliseconds since 1970.
    pub fn time_of_day_ms(&self) -> u64 {
        TIME_OF_DAY_AT_START_MS + self.elapsed_ms()
    }

    /// The random number generator with this simulation's seed.
    pub fn rng(&self) -> MutexGuard<'_, SmallRng> {
        lock(&self.rng)
    }

    /// Changes the latency of bytes sent from now on.
    pub fn set_latency(&self, latency: LatencyModel) {
        *lock(&self.latency) = latency;
    }

    pub(super) fn draw_latency(&self) -> Duration {
        let latency = *lock(&self.latency);
        let mut rng = self.rng();
        let latency_us = if rng.random_bool(latency.spike_probability) {
            rng.random_range(latency.max_us..=latency.max_spike_us)
        } else {
            rng.random_range(latency.min_us..=latency.max_us)
        };
        Duration::from_micros(latency_us)
    }

    /// The host at an address, created on first use.
    pub fn host(&self, ip: IpAddr) -> Arc<Host> {
        lock(&self.hosts).entry(ip).or_insert_with(|| Host::new(ip)).clone()
    }

    /// Whether nothing is delivered in this direction, because the link is partitioned or one of the hosts is powered off.
    pub(super) fn blocked(&self, from: IpAddr, to: IpAddr) -> bool {
        let hosts = lock(&self.hosts);
        let powered_off = |ip: &IpAddr| hosts.get(ip).is_some_and(|host| host.is_powered_off());
        lock(&self.partitions).contains(&(from, to)) || powered_off(&from) || powered_off(&to)
    }

    /// Partitions links, each in one direction.
    pub fn partition(&self, links: impl IntoIterator<Item = Link>) {
        lock(&self.partitions).extend(links);
    }

    /// Heals partitioned links.
    pub fn heal(&self, links: &BTreeSet<Link>) {
        lock(&self.partitions).retain(|link| !links.contains(link));
        self.wake();
    }

    /// Wakes a task once a link heals or a host regains power.
    pub(super) fn park(&self, waker: &Waker) {
        let mut parked = lock(&self.parked);
        if !parked.iter().any(|other| other.will_wake(waker)) {
            parked.push(waker.clone());
        }
    }

    pub(super) fn wake(&self) {
        let parked = std::mem::take(&mut *lock(&self.parked));
        parked.into_iter().for_each(Waker::wake);
    }

    /// Restores the power of a host. Peers that still wait on connections from before now see them closed.
    pub fn power_on(&self, ip: IpAddr) {
        self.host(ip).restore_power();
        self.wake();
    }
}
