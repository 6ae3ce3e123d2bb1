//! A simulated host: its tasks stand still while it is frozen and end when it is killed.

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
    CURRENT.with(|c| c.borrow().clone())
}

/// Tasks after which finished ones are first swept.
const TASKS_BEFORE_SWEEP: usize = 64;

#[derive(Default)]
struct Inner {
    frozen: bool,
    powered_off: bool,
    /// By how much its time of day is wrong.
    clock_step_ms: i64,
    parked: Vec<Waker>,
    tasks: Vec<AbortHandle>,
    /// Tasks left after the last sweep of finished ones.
    swept: usize,
    /// Ends of connections that were open when it lost power: the peers do not know yet.
    orphans: Vec<SimulatedStream>,
}

/// A machine of a simulation.
pub struct Host {
    ip: IpAddr,
    inner: Mutex<Inner>,
}

impl Host {
    pub(super) fn new(ip: IpAddr) -> Arc<Self> {
        Arc::new(Self { ip, inner: Mutex::default() })
    }

    pub(super) fn offset_ms(&self) -> u64 {
        let IpAddr::V4(ip) = self.ip else { return 0 };
        u64::from(u32::from(ip) % 9_973) * 1_000
    }

    pub(super) fn is_powered_off(&self) -> bool {
        lock(&self.inner).powered_off
    }

    /// Runs a task on this host.
    pub fn spawn<F>(self: &Arc<Self>, fut: F) -> JoinHandle<F::Output>
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        let t = tokio::spawn(Gate { fut: Box::pin(fut), host: self.clone() });
        let mut g = lock(&self.inner);
        g.tasks.push(t.abort_handle());
        if g.tasks.len() > 2 * g.swept + TASKS_BEFORE_SWEEP {
            g.tasks.retain(|t| !t.is_finished());
            g.swept = g.tasks.len();
        }
        t
    }

    /// Its time of day is wrong by so much from now on; its monotonic clock is not touched.
    pub fn step_clock(&self, ms: i64) {
        lock(&self.inner).clock_step_ms = ms;
    }

    pub(super) fn clock_step_ms(&self) -> i64 {
        lock(&self.inner).clock_step_ms
    }

    /// Its tasks stand still until it thaws.
    pub fn freeze(&self) {
        lock(&self.inner).frozen = true;
    }

    /// Its tasks go on.
    pub fn thaw(&self) {
        let due = {
            let mut g = lock(&self.inner);
            g.frozen = false;
            std::mem::take(&mut g.parked)
        };
        due.into_iter().for_each(Waker::wake);
    }

    /// The process ends at once; its machine closes what it had open.
    pub fn kill(&self) {
        let tasks = std::mem::take(&mut lock(&self.inner).tasks);
        tasks.iter().for_each(AbortHandle::abort);
        self.thaw();
    }

    /// It loses power: nothing is closed, and nothing answers until it is back.
    pub fn power_off(&self) {
        lock(&self.inner).powered_off = true;
        self.kill();
    }

    pub(super) fn restore_power(&self) {
        let orphans = {
            let mut g = lock(&self.inner);
            g.powered_off = false;
            std::mem::take(&mut g.orphans)
        };
        drop(orphans);
    }

    pub(super) fn orphan(&self, s: SimulatedStream) {
        lock(&self.inner).orphans.push(s);
    }
}

/// A task of a host: polled only while the host is not frozen.
struct Gate<F> {
    fut: Pin<Box<F>>,
    host: Arc<Host>,
}

impl<F: Future> Future for Gate<F> {
    type Output = F::Output;
    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<F::Output> {
        {
            let mut g = lock(&self.host.inner);
            if g.frozen {
                g.parked.push(cx.waker().clone());
                return Poll::Pending;
            }
        }
        let was = CURRENT.with(|c| c.replace(Some(self.host.clone())));
        let res = self.fut.as_mut().poll(cx);
        CURRENT.with(|c| *c.borrow_mut() = was);
        res
    }
}

/// Spawns a task beside the one that asks: on its host, where there is one.
pub fn spawn<F>(fut: F) -> JoinHandle<F::Output>
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    match current() {
        Some(h) => h.spawn(fut),
        None => tokio::spawn(fut),
    }
}

/// Spawns a task on the host of an address.
pub fn spawn_at<F>(ip: IpAddr, fut: F) -> JoinHandle<F::Output>
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    match super::simulation() {
        Some(w) => w.host(ip).spawn(fut),
        None => tokio::spawn(fut),
    }
}
