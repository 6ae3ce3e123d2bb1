//! A simulated connection: two pipes that deliver bytes in order and after a delay. As with TCP, bytes on a partitioned
//! link are delivered once it heals.

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

/// Number of sent but unread bytes at which a writer has to wait.
const MAX_IN_FLIGHT_BYTES: usize = 256 << 10;

/// One direction of a connection.
pub(super) struct Pipe {
    from: IpAddr,
    to: IpAddr,
    /// Bytes that are not read yet, with their time of arrival.
    chunks: VecDeque<(Instant, Bytes)>,
    /// Number of bytes in `chunks`.
    unread_bytes: usize,
    /// Time of arrival of the newest chunk.
    last_arrival: Instant,
    /// When the reader sees that the writer closed the connection, and whether as a reset: the writer had not read all
    /// bytes that it had received.
    end: Option<(Instant, bool)>,
    /// The reader was dropped.
    reader_dropped: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

impl Pipe {
    fn new(from: IpAddr, to: IpAddr) -> Arc<Mutex<Self>> {
        let (chunks, reader, writer) = Default::default();
        let last_arrival = Instant::now();
        let (unread_bytes, end, reader_dropped) = (0, None, false);
        let pipe = Pipe { from, to, chunks, unread_bytes, last_arrival, end, reader_dropped, reader, writer };
        Arc::new(Mutex::new(pipe))
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
    incoming: Arc<Mutex<Pipe>>,
    outgoing: Arc<Mutex<Pipe>>,
    /// Wakes the reader when the next chunk arrives.
    arrival: Pin<Box<Sleep>>,
}

/// The client's and the server's end of a new connection.
pub(super) fn pair(
    simulation: &Arc<Simulation>,
    client: SocketAddr,
    server: SocketAddr,
) -> (SimulatedStream, SimulatedStream) {
    let to_server = Pipe::new(client.ip(), server.ip());
    let to_client = Pipe::new(server.ip(), client.ip());
    let end = |ip: IpAddr, incoming: &Arc<Mutex<Pipe>>, outgoing: &Arc<Mutex<Pipe>>| SimulatedStream {
        simulation: simulation.clone(),
        host: simulation.host(ip),
        incoming: incoming.clone(),
        outgoing: outgoing.clone(),
        arrival: Box::pin(sleep_until(Instant::now())),
    };
    (end(client.ip(), &to_client, &to_server), end(server.ip(), &to_server, &to_client))
}

impl AsyncRead for SimulatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = &mut *self;
        let mut pipe = lock(&stream.incoming);
        pipe.reader = Some(context.waker().clone());
        if stream.simulation.blocked(pipe.from, pipe.to) {
            stream.simulation.park(context.waker());
            return Poll::Pending;
        }
        let now = Instant::now();
        let Some(next) = pipe.chunks.front().map(|chunk| chunk.0).or(pipe.end.map(|end| end.0)) else {
            return Poll::Pending;
        };
        if next > now {
            stream.arrival.as_mut().reset(next);
            let _ = stream.arrival.poll_unpin(context);
            return Poll::Pending;
        }
        let mut read_bytes = 0;
        while let Some((arrival, chunk)) =
            pipe.chunks.front_mut().filter(|(arrival, _)| *arrival <= now && buffer.remaining() > 0)
        {
            let count = chunk.len().min(buffer.remaining());
            buffer.put_slice(&chunk[..count]);
            chunk.advance(count);
            read_bytes += count;
            let _ = arrival;
            if chunk.is_empty() {
                pipe.chunks.pop_front();
            }
        }
        pipe.unread_bytes -= read_bytes;
        pipe.writer.take().into_iter().for_each(Waker::wake);
        match pipe.end {
            Some((_, true)) if read_bytes == 0 => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            _ => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncWrite for SimulatedStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let latency = self.simulation.draw_latency();
        let mut pipe = lock(&self.outgoing);
        if pipe.reader_dropped || pipe.end.is_some() {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        if pipe.unread_bytes >= MAX_IN_FLIGHT_BYTES {
            pipe.writer = Some(context.waker().clone());
            return Poll::Pending;
        }
        let arrival = pipe.last_arrival.max(Instant::now() + latency);
        pipe.last_arrival = arrival;
        pipe.unread_bytes += bytes.len();
        self.simulation.traffic.bytes(pipe.from, pipe.to, bytes.len());
        pipe.chunks.push_back((arrival, Bytes::copy_from_slice(bytes)));
        pipe.reader.take().into_iter().for_each(Waker::wake);
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.close(false);
        Poll::Ready(Ok(()))
    }
}

impl SimulatedStream {
    /// Closes the outgoing pipe behind the bytes already sent, unless it is closed already.
    fn close(&self, reset: bool) {
        let mut pipe = lock(&self.outgoing);
        let arrival = pipe.last_arrival;
        pipe.end.get_or_insert((arrival, reset));
        pipe.wake();
    }
}

impl Drop for SimulatedStream {
    fn drop(&mut self) {
        if self.host.is_powered_off() {
            let arrival = Box::pin(sleep_until(Instant::now()));
            let (simulation, host) = (self.simulation.clone(), self.host.clone());
            let (incoming, outgoing) = (self.incoming.clone(), self.outgoing.clone());
            return self.host.orphan(SimulatedStream { simulation, host, incoming, outgoing, arrival });
        }
        let unread = {
            let mut pipe = lock(&self.incoming);
            pipe.reader_dropped = true;
            pipe.wake();
            !pipe.chunks.is_empty()
        };
        self.close(unread);
    }
}
