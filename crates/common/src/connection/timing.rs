//! What a connection is doing and since when, as observed on its stream, its requests and its response bodies; which
//! time limit applies to it; and whether it may be closed to make room for others.

use super::ConnectionLimits;
use crate::{
    memory_budget::{MemoryBudget, OutOfMemory, Reservation},
    sync::lock,
};
use std::{
    future::poll_fn,
    pin::pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Poll, Waker},
    time::Duration,
};
use tokio::time::{Instant, sleep_until};

/// Bytes of a head that count as part of the connection itself: its first read buffer.
const BUFFERED_HEAD_BYTES: usize = 8 << 10;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// It waits for a request.
    Idle,
    /// Part of a request's head has arrived.
    ReceivingHead,
    /// The body of a request is being received.
    ReceivingBody,
    /// A request is being handled or answered.
    Serving,
    /// An answer was sent without reading all of the request, and the rest is read and dropped.
    Discarding,
}

struct State {
    phase: Phase,
    /// When the phase began; while a body is being received, when its newest bytes arrived.
    since: Instant,
    /// Idle timeout that the newest response announced to the client.
    announced_idle_timeout_ms: u64,
    /// Since when the client has taken no more bytes of an answer.
    write_blocked_since: Option<Instant>,
    /// Part of the newest request has not been read.
    request_unread: bool,
    /// The connection is closed to make room for another one, and handles no request any more.
    evicted: bool,
    /// Wakes the connection's task.
    waker: Option<Waker>,
    /// Bytes of the head that is being received, or whose request is being served.
    head_bytes: usize,
    /// Memory for those of them that need more than the first buffer.
    head_memory: Reservation,
}

impl State {
    fn enter(&mut self, phase: Phase) {
        (self.phase, self.since) = (phase, Instant::now());
    }

    fn is_evictable(&self) -> bool {
        !self.evicted && self.phase != Phase::Serving && self.write_blocked_since.is_none()
    }
}

/// The phase of a connection; shared by its stream, its requests, its timer and the list of open connections.
pub(super) struct Progress(Mutex<State>);

impl Progress {
    /// A connection that was just accepted; the bytes of its heads draw on `memory`.
    pub(super) fn new(memory: &Arc<MemoryBudget>) -> Self {
        Self(Mutex::new(State {
            phase: Phase::Idle,
            since: Instant::now(),
            announced_idle_timeout_ms: 0,
            write_blocked_since: None,
            request_unread: false,
            evicted: false,
            waker: None,
            head_bytes: 0,
            head_memory: memory.reserve_outside_small_share(),
        }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.0)
    }

    /// Notes bytes that have arrived.
    ///
    /// # Errors
    /// There is no memory for the head that they belong to.
    pub(super) fn received(&self, bytes: usize) -> Result<(), OutOfMemory> {
        let mut state = self.state();
        match state.phase {
            Phase::Idle => state.enter(Phase::ReceivingHead),
            Phase::ReceivingBody => state.since = Instant::now(),
            _ => {}
        }
        if state.phase != Phase::ReceivingHead {
            return Ok(());
        }
        state.head_bytes += bytes;
        let beyond_buffer = state.head_bytes.saturating_sub(BUFFERED_HEAD_BYTES);
        state.head_memory.grow_to(beyond_buffer)
    }

    /// Notes that the client takes no bytes of an answer now.
    pub(super) fn write_blocked(&self) {
        self.state().write_blocked_since.get_or_insert_with(Instant::now);
    }

    /// Notes that some bytes of an answer were sent.
    pub(super) fn sent(&self) {
        let mut state = self.state();
        state.write_blocked_since = None;
        // The last bytes of a response may be sent after its body has ended; the idle time starts after them.
        if state.phase == Phase::Idle {
            state.since = Instant::now();
        }
    }

    /// Notes that the head of a request has arrived. Returns whether the request may be handled: not if the connection
    /// is being closed to make room for another one.
    pub(super) fn request_begins(&self, has_body: bool) -> bool {
        let mut state = self.state();
        state.request_unread = has_body;
        if state.evicted {
            return false;
        }
        state.enter(if has_body { Phase::ReceivingBody } else { Phase::Serving });
        true
    }

    /// Notes that the whole request was read. Returns whether it may be handled, as [`Progress::request_begins`] does.
    pub(super) fn request_read(&self) -> bool {
        let mut state = self.state();
        state.request_unread = false;
        if state.evicted {
            return false;
        }
        if state.phase == Phase::ReceivingBody {
            state.enter(Phase::Serving);
        }
        true
    }

    pub(super) fn response_begins(&self, idle_timeout_ms: u64) {
        let mut state = self.state();
        state.announced_idle_timeout_ms = idle_timeout_ms;
        state.enter(Phase::Serving);
    }

    pub(super) fn response_ended(&self) {
        let mut state = self.state();
        state.head_bytes = 0;
        state.head_memory.release();
        state.enter(Phase::Idle);
    }

    /// Notes that the HTTP server is done with the connection. Returns whether an answer may be under way to a client
    /// that is still sending: closing the connection now would reset it, and the client might never see the answer.
    pub(super) fn begin_discarding(&self) -> bool {
        let mut state = self.state();
        let needed = state.request_unread || state.phase == Phase::ReceivingHead;
        state.head_memory.release();
        state.enter(Phase::Discarding);
        needed
    }

    /// Since when the connection could be closed to make room for others; `None` while a request is being handled.
    pub(super) fn evictable_since(&self) -> Option<Instant> {
        let state = self.state();
        state.is_evictable().then_some(state.since)
    }

    /// Has the connection closed, unless a request is being handled by now. Returns whether it will be.
    pub(super) fn evict(&self) -> bool {
        let mut state = self.state();
        if !state.is_evictable() {
            return false;
        }
        state.evicted = true;
        if let Some(waker) = &state.waker {
            waker.wake_by_ref();
        }
        true
    }

    /// When the connection is closed if its phase does not change. An idle timeout that was announced to the client is
    /// honoured even if the limit has been lowered since.
    fn deadline(&self, limits: &ConnectionLimits) -> Option<Instant> {
        let state = self.state();
        if state.evicted {
            return Some(state.since);
        }
        let idle_timeout_ms = limits.idle_timeout_ms.max(state.announced_idle_timeout_ms);
        let of_phase = match state.phase {
            Phase::Idle => Some(state.since + Duration::from_millis(idle_timeout_ms)),
            Phase::ReceivingHead => Some(state.since + Duration::from_millis(limits.header_timeout_ms)),
            Phase::ReceivingBody | Phase::Serving | Phase::Discarding => None,
        };
        let of_write = state.write_blocked_since.map(|since| since + Duration::from_millis(idle_timeout_ms));
        of_phase.into_iter().chain(of_write).min()
    }

    fn register(&self, waker: &Waker) {
        let mut state = self.state();
        match &mut state.waker {
            Some(known) => known.clone_from(waker),
            None => state.waker = Some(waker.clone()),
        }
    }
}

/// Completes when the client exceeds a time limit, or its connection is closed to make room for others.
///
/// It is polled after its connection, so that bytes that have already arrived are read before the deadline is checked and
/// no client is cut off because this process was delayed.
pub(super) async fn timed_out(progress: &Progress, limits: impl Fn() -> ConnectionLimits) {
    let mut timer = pin!(sleep_until(Instant::now()));
    poll_fn(|context| {
        progress.register(context.waker());
        loop {
            let Some(deadline) = progress.deadline(&limits()) else {
                return Poll::Pending;
            };
            if deadline <= Instant::now() {
                return Poll::Ready(());
            }
            if timer.is_elapsed() || deadline < timer.deadline() {
                timer.as_mut().reset(deadline);
            }
            if timer.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
        }
    })
    .await;
}
