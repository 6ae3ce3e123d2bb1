//! A simulated connection: two pipes whose bytes travel for a while, in order, and wait where the link is partitioned,
//! as TCP's do.

use super::{host::Host, simulation::Simulation};
use crate::sync::lock;
use bytes::{Buf, Bytes};
use futures::FutureExt;
use std::{
    collections::VecDeque,
    io,
    net::{IpAddr, SocketAddr},
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, Waker},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, Sleep, sleep_until},
};

/// Bytes on their way or unread, over which a writer waits.
const MAX_IN_FLIGHT_BYTES: usize = 256 << 10;

pub(super) struct Pipe {
    from: IpAddr,
    to: IpAddr,
    chunks: VecDeque<(Instant, Bytes)>,
    bytes: usize,
    last: Instant,
    /// The writer closed it: in good order, or with what was sent to it left unread.
    end: Option<(Instant, bool)>,
    /// The reader is gone.
    gone: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

impl Pipe {
    fn new(from: IpAddr, to: IpAddr) -> Arc<Mutex<Self>> {
        let (chunks, reader, writer) = Default::default();
        let last = Instant::now();
        let p = Pipe { from, to, chunks, bytes: 0, last, end: None, gone: false, reader, writer };
        Arc::new(Mutex::new(p))
    }

    fn wake(&mut self) {
        self.reader.take().into_iter().for_each(Waker::wake);
        self.writer.take().into_iter().for_each(Waker::wake);
    }
}

/// One end of a simulated connection.
pub struct SimulatedStream {
    simulation: Arc<Simulation>,
    host: Arc<Host>,
    rx: Arc<Mutex<Pipe>>,
    tx: Arc<Mutex<Pipe>>,
    due: Pin<Box<Sleep>>,
}

/// The two ends of a new connection.
pub(super) fn pair(
    w: &Arc<Simulation>,
    near: SocketAddr,
    far: SocketAddr,
) -> (SimulatedStream, SimulatedStream) {
    let (out, back) = (Pipe::new(near.ip(), far.ip()), Pipe::new(far.ip(), near.ip()));
    let end = |ip: IpAddr, rx: &Arc<Mutex<Pipe>>, tx: &Arc<Mutex<Pipe>>| SimulatedStream {
        simulation: w.clone(),
        host: w.host(ip),
        rx: rx.clone(),
        tx: tx.clone(),
        due: Box::pin(sleep_until(Instant::now())),
    };
    (end(near.ip(), &back, &out), end(far.ip(), &out, &back))
}

impl AsyncRead for SimulatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let me = &mut *self;
        let mut p = lock(&me.rx);
        p.reader = Some(cx.waker().clone());
        if me.simulation.blocked(p.from, p.to) {
            me.simulation.park(cx.waker());
            return Poll::Pending;
        }
        let now = Instant::now();
        let Some(next) = p.chunks.front().map(|c| c.0).or(p.end.map(|e| e.0)) else {
            return Poll::Pending;
        };
        if next > now {
            me.due.as_mut().reset(next);
            let _ = me.due.poll_unpin(cx);
            return Poll::Pending;
        }
        let mut took = 0;
        while let Some((at, b)) = p.chunks.front_mut().filter(|(at, _)| *at <= now && buf.remaining() > 0) {
            let n = b.len().min(buf.remaining());
            buf.put_slice(&b[..n]);
            b.advance(n);
            took += n;
            let _ = at;
            if b.is_empty() {
                p.chunks.pop_front();
            }
        }
        p.bytes -= took;
        p.writer.take().into_iter().for_each(Waker::wake);
        match p.end {
            Some((_, true)) if took == 0 => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            _ => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncWrite for SimulatedStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let draw_latency = self.simulation.draw_latency();
        let mut p = lock(&self.tx);
        if p.gone || p.end.is_some() {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        if p.bytes >= MAX_IN_FLIGHT_BYTES {
            p.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let at = p.last.max(Instant::now() + draw_latency);
        p.last = at;
        p.bytes += buf.len();
        self.simulation.traffic.bytes(p.from, p.to, buf.len());
        p.chunks.push_back((at, Bytes::copy_from_slice(buf)));
        p.reader.take().into_iter().for_each(Waker::wake);
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.end(false);
        Poll::Ready(Ok(()))
    }
}

impl SimulatedStream {
    fn end(&self, reset: bool) {
        let mut p = lock(&self.tx);
        let at = p.last;
        p.end.get_or_insert((at, reset));
        p.wake();
    }
}

impl Drop for SimulatedStream {
    fn drop(&mut self) {
        if self.host.is_powered_off() {
            let due = Box::pin(sleep_until(Instant::now()));
            let (simulation, host) = (self.simulation.clone(), self.host.clone());
            let left = SimulatedStream { simulation, host, rx: self.rx.clone(), tx: self.tx.clone(), due };
            return self.host.orphan(left);
        }
        let unread = {
            let mut p = lock(&self.rx);
            p.gone = true;
            p.wake();
            !p.chunks.is_empty()
        };
        self.end(unread);
    }
}
