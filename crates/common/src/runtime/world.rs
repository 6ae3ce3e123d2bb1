//! A world in memory: who listens where, which links are cut, and the dice (design 7.2).

use super::{host::Host, pipe::SimulatedStream, traffic::TrafficCounter};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard},
    task::Waker,
    time::Duration,
};
use tokio::{sync::mpsc, time::Instant};

pub(super) type Backlog = mpsc::UnboundedSender<(SimulatedStream, SocketAddr)>;

/// How long bytes travel, in microseconds, and how often much longer.
#[derive(Clone, Copy, Debug)]
pub struct LatencyModel {
    pub least_us: u64,
    pub most_us: u64,
    pub spike: f64,
    pub spike_us: u64,
}

impl Default for LatencyModel {
    fn default() -> Self {
        Self { least_us: 100, most_us: 2_000, spike: 0.01, spike_us: 60_000 }
    }
}

pub struct World {
    began: Instant,
    chance: Mutex<SmallRng>,
    pub(super) listeners: Mutex<BTreeMap<SocketAddr, Backlog>>,
    hosts: Mutex<BTreeMap<IpAddr, Arc<Host>>>,
    cuts: Mutex<BTreeSet<(IpAddr, IpAddr)>>,
    /// Wait for a link to be mended, or a host to come back.
    parked: Mutex<Vec<Waker>>,
    latency: Mutex<LatencyModel>,
    pub broken: Option<String>,
    pub traffic: TrafficCounter,
}

pub(super) fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

impl World {
    /// Runs `f` on this thread, within a world of this seed: time stands still while anything can
    /// be done, and leaps to the next timer otherwise.
    pub fn run<F: Future>(seed: u64, broken: Option<String>, f: impl FnOnce(Arc<World>) -> F) -> F::Output {
        let mut b = tokio::runtime::Builder::new_current_thread();
        #[cfg(tokio_unstable)]
        b.rng_seed(tokio::runtime::RngSeed::from_bytes(&seed.to_le_bytes()));
        let rt = b.enable_time().start_paused(true).build().expect("a runtime without input or output");
        let out = rt.block_on(async {
            let w = Arc::new(World {
                began: Instant::now(),
                chance: Mutex::new(SmallRng::seed_from_u64(seed)),
                listeners: Mutex::default(),
                hosts: Mutex::default(),
                cuts: Mutex::default(),
                parked: Mutex::default(),
                latency: Mutex::default(),
                broken,
                traffic: TrafficCounter::default(),
            });
            super::put(Some(w.clone()));
            f(w).await
        });
        // What still hangs on the network is dropped while there is one.
        drop(rt);
        super::put(None);
        out
    }

    pub fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn chance(&self) -> MutexGuard<'_, SmallRng> {
        lock(&self.chance)
    }

    pub fn set_latency(&self, w: LatencyModel) {
        *lock(&self.latency) = w;
    }

    pub(super) fn travel(&self) -> Duration {
        let w = *lock(&self.latency);
        let mut c = self.chance();
        let us = if c.random_bool(w.spike) {
            c.random_range(w.most_us..=w.spike_us)
        } else {
            c.random_range(w.least_us..=w.most_us)
        };
        Duration::from_micros(us)
    }

    /// The host at an address; it is made when it is first spoken of.
    pub fn host(&self, ip: IpAddr) -> Arc<Host> {
        lock(&self.hosts).entry(ip).or_insert_with(|| Host::new(ip)).clone()
    }

    /// Bytes do not flow this way: the link is cut, or one of the two is dark.
    pub(super) fn blocked(&self, from: IpAddr, to: IpAddr) -> bool {
        let hosts = lock(&self.hosts);
        let powered_off = |ip: &IpAddr| hosts.get(ip).is_some_and(|h| h.is_powered_off());
        lock(&self.cuts).contains(&(from, to)) || powered_off(&from) || powered_off(&to)
    }

    pub fn cut(&self, pairs: impl IntoIterator<Item = (IpAddr, IpAddr)>) {
        lock(&self.cuts).extend(pairs);
    }

    pub fn mend(&self, pairs: &BTreeSet<(IpAddr, IpAddr)>) {
        lock(&self.cuts).retain(|p| !pairs.contains(p));
        self.wake();
    }

    pub(super) fn park(&self, w: &Waker) {
        let mut g = lock(&self.parked);
        if !g.iter().any(|o| o.will_wake(w)) {
            g.push(w.clone());
        }
    }

    pub(super) fn wake(&self) {
        let due = std::mem::take(&mut *lock(&self.parked));
        due.into_iter().for_each(Waker::wake);
    }

    /// The power comes back: whoever still waits for an answer from before learns that it is gone.
    pub fn power_on(&self, ip: IpAddr) {
        self.host(ip).restore_power();
        self.wake();
    }
}
