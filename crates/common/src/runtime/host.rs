//! A simulated host: its tasks pause while it is frozen and end when it is killed.

use super::pipe::SimulatedStream;
use crate::sync::lock;
use std::{
    cell::RefCell,
    net::IpAddr,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, Waker},
};
use tokio::task::{AbortHandle, JoinHandle};

thread_local! {
    static CURRENT: RefCell<Option<Arc<Host>>> = const { RefCell::new(None) };
}

/// The host whose task is being polled.
pub(super) fn current() -> Option<Arc<Host>> {
    CURRENT.with(|current| current.borrow().clone())
}

/// Number of tasks above which finished ones are removed for the first time.
const TASKS_BEFORE_CLEANUP: usize = 64;

#[derive(Default)]
struct Inner {
    frozen: bool,
    powered_off: bool,
    /// How far its time of day is from the true one.
    clock_step_ms: i64,
    /// Tasks that wait for the host to be unfrozen.
    parked: Vec<Waker>,
    tasks: Vec<AbortHandle>,
    /// Number of tasks left when finished ones were last removed.
    tasks_after_cleanup: usize,
    /// Its ends of connections that were open when it lost power. They are closed when power returns; until then the
    /// peers see no end.
    orphans: Vec<SimulatedStream>,
}

/// A simulated machine.
pub struct Host {
    ip: IpAddr,
    inner: Mutex<Inner>,
}

impl Host {
    pub(super) fn new(ip: IpAddr) -> Arc<Self> {
        Arc::new(Self { ip, inner: Mutex::default() })
    }

    /// Offset of its monotonic clock; see [`super::virtual_ms`].
    pub(super) fn offset_ms(&self) -> u64 {
        let IpAddr::V4(ip) = self.ip else { return 0 };
        u64::from(u32::from(ip) % 9_973) * 1_000
    }

    pub(super) fn is_powered_off(&self) -> bool {
        lock(&self.inner).powered_off
    }

    /// Runs a task on this host.
    pub fn spawn<F>(self: &Arc<Self>, future: F) -> JoinHandle<F::Output>
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        let handle = tokio::spawn(HostTask { future: Box::pin(future), host: self.clone() });
        let mut inner = lock(&self.inner);
        inner.tasks.push(handle.abort_handle());
        if inner.tasks.len() > 2 * inner.tasks_after_cleanup + TASKS_BEFORE_CLEANUP {
            inner.tasks.retain(|task| !task.is_finished());
            inner.tasks_after_cleanup = inner.tasks.len();
        }
        handle
    }

    /// Sets its time of day `ms` off the true one from now on. Its monotonic clock is not affected.
    pub fn step_clock(&self, ms: i64) {
        lock(&self.inner).clock_step_ms = ms;
    }

    pub(super) fn clock_step_ms(&self) -> i64 {
        lock(&self.inner).clock_step_ms
    }

    /// Pauses its tasks until [`Host::thaw`].
    pub fn freeze(&self) {
        lock(&self.inner).frozen = true;
    }

    /// Resumes its tasks.
    pub fn thaw(&self) {
        let parked = {
            let mut inner = lock(&self.inner);
            inner.frozen = false;
            std::mem::take(&mut inner.parked)
        };
        parked.into_iter().for_each(Waker::wake);
    }

    /// Ends all its tasks at once, as when a process is killed: its connections are closed.
    pub fn kill(&self) {
        let tasks = std::mem::take(&mut lock(&self.inner).tasks);
        tasks.iter().for_each(AbortHandle::abort);
        self.thaw();
    }

    /// Cuts its power: its connections are not closed, and nothing answers until [`super::Simulation::power_on`].
    pub fn power_off(&self) {
        lock(&self.inner).powered_off = true;
        self.kill();
    }

    pub(super) fn restore_power(&self) {
        let orphans = {
            let mut inner = lock(&self.inner);
            inner.powered_off = false;
            std::mem::take(&mut inner.orphans)
        };
        drop(orphans);
    }

    /// Keeps its end of a connection open until power returns.
    pub(super) fn orphan(&self, stream: SimulatedStream) {
        lock(&self.inner).orphans.push(stream);
    }
}

/// A task of a host, polled only while the host is not frozen.
struct HostTask<F> {
    future: Pin<Box<F>>,
    host: Arc<Host>,
}

impl<F: Future> Future for HostTask<F> {
    type Output = F::Output;
    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<F::Output> {
        {
            let mut inner = lock(&self.host.inner);
            if inner.frozen {
                inner.parked.push(context.waker().clone());
                return Poll::Pending;
            }
        }
        let previous = CURRENT.with(|current| current.replace(Some(self.host.clone())));
        let result = self.future.as_mut().poll(context);
        CURRENT.with(|current| *current.borrow_mut() = previous);
        result
    }
}

/// Spawns a task; in a simulation, on the host of the calling task.
pub fn spawn<F>(future: F) -> JoinHandle<F::Output>
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    match current() {
        Some(host) => host.spawn(future),
        None => tokio::spawn(future),
    }
}

/// Spawns a task on the simulated host at an address. Outside a simulation the address is ignored.
pub fn spawn_at<F>(ip: IpAddr, future: F) -> JoinHandle<F::Output>
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    match super::simulation() {
        Some(simulation) => simulation.host(ip).spawn(future),
        None => tokio::spawn(future),
    }
}
