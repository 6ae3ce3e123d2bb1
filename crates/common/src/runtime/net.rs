//! Connections: TCP sockets of the machine, or simulated ones.

use super::{
    pipe::{SimulatedStream, pair},
    simulation::Simulation,
};
use crate::{log_event, sync::lock};
use std::{
    io,
    net::{IpAddr, SocketAddr},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{Mutex, mpsc},
    time::sleep,
};

/// Time after which a connection ends whose peer acknowledges neither data nor keep-alive probes.
const PEER_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// First and longest pause between two attempts to bind an address.
const FIRST_BIND_PAUSE: std::time::Duration = std::time::Duration::from_millis(20);
const LONGEST_BIND_PAUSE: std::time::Duration = std::time::Duration::from_secs(1);

/// A connection.
pub enum Stream {
    /// A TCP connection of the machine.
    Tcp(TcpStream),
    /// A simulated connection.
    Simulated(SimulatedStream),
}

/// Accepts connections on an address.
pub enum Listener {
    /// A TCP socket of the machine.
    Tcp(TcpListener),
    /// A simulated listener.
    Simulated(SimulatedListener),
}

/// A simulated listener.
pub struct SimulatedListener {
    simulation: Arc<Simulation>,
    address: SocketAddr,
    backlog: Mutex<mpsc::UnboundedReceiver<(SimulatedStream, SocketAddr)>>,
}

impl Drop for SimulatedListener {
    fn drop(&mut self) {
        lock(&self.simulation.listeners).remove(&self.address);
    }
}

impl From<TcpListener> for Listener {
    fn from(listener: TcpListener) -> Self {
        Listener::Tcp(listener)
    }
}

impl Listener {
    /// Waits for the next connection and returns it with the address of the peer.
    ///
    /// # Errors
    /// The error of the operating system.
    pub async fn accept(&self) -> io::Result<(Stream, SocketAddr)> {
        match self {
            Listener::Tcp(listener) => {
                let (stream, peer) = listener.accept().await?;
                let _ = stream.set_nodelay(true);
                Ok((Stream::Tcp(stream), peer))
            }
            Listener::Simulated(listener) => {
                let accepted = listener.backlog.lock().await.recv().await;
                let (stream, peer) = accepted.ok_or(io::ErrorKind::ConnectionAborted)?;
                Ok((Stream::Simulated(stream), peer))
            }
        }
    }
}

/// Binds a listener to an address.
///
/// # Errors
/// The error of the operating system, or its equivalent in a simulation.
pub async fn bind(address: SocketAddr) -> io::Result<Listener> {
    let Some(simulation) = super::simulation() else {
        return Ok(Listener::Tcp(TcpListener::bind(address).await?));
    };
    let (sender, backlog) = mpsc::unbounded_channel();
    let mut listeners = lock(&simulation.listeners);
    if listeners.contains_key(&address) {
        return Err(io::ErrorKind::AddrInUse.into());
    }
    listeners.insert(address, sender);
    drop(listeners);
    Ok(Listener::Simulated(SimulatedListener { simulation, address, backlog: Mutex::new(backlog) }))
}

/// Binds a listener to an address, and waits for as long as the address is in use, as by a process that is ending, or
/// does not exist on this machine yet.
///
/// # Errors
/// Any other error of the operating system.
pub async fn bind_when_available(address: SocketAddr) -> io::Result<Listener> {
    let mut pause = FIRST_BIND_PAUSE;
    loop {
        match bind(address).await {
            Err(error) if is_temporary(&error) => {
                log_event!(Warn, "bind", "peer" => address, "cause" => error.to_string(), "retry_ms" => pause.as_millis() as u64);
            }
            result => return result,
        }
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_BIND_PAUSE);
    }
}

fn is_temporary(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::AddrInUse | io::ErrorKind::AddrNotAvailable)
}

/// Opens a connection from the node's own address `ip`.
///
/// # Errors
/// The error of the operating system, or its equivalent in a simulation.
pub async fn dial(ip: IpAddr, to: SocketAddr) -> io::Result<Stream> {
    if let Some(simulation) = super::simulation() {
        return simulated_dial(simulation, ip, to).await.map(Stream::Simulated);
    }
    let socket = if to.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    if !ip.is_unspecified() && ip.is_ipv4() == to.is_ipv4() {
        socket.bind(SocketAddr::new(ip, 0))?;
    }
    let stream = socket.connect(to).await?;
    stream.set_nodelay(true)?;
    // A peer that lost power or is partitioned never answers, so waiting for it must end by a timeout.
    let options = socket2::SockRef::from(&stream);
    let _ = options.set_tcp_user_timeout(Some(PEER_TIMEOUT));
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(PEER_TIMEOUT / 2)
        .with_interval(PEER_TIMEOUT / 4)
        .with_retries(2);
    let _ = options.set_tcp_keepalive(&keepalive);
    Ok(Stream::Tcp(stream))
}

/// Waits until a packet of the TCP handshake arrives. Lost ones are retransmitted, so this waits while the link is blocked.
async fn deliver_packet(simulation: &Simulation, from: IpAddr, to: IpAddr) {
    futures::future::poll_fn(|context| {
        if simulation.blocked(from, to) {
            simulation.park(context.waker());
            return Poll::Pending;
        }
        Poll::Ready(())
    })
    .await;
    sleep(simulation.draw_latency()).await;
}

async fn simulated_dial(
    simulation: Arc<Simulation>,
    ip: IpAddr,
    to: SocketAddr,
) -> io::Result<SimulatedStream> {
    deliver_packet(&simulation, ip, to.ip()).await;
    let backlog = lock(&simulation.listeners).get(&to).cloned();
    let from = SocketAddr::new(ip, 40_000);
    let (client_end, server_end) = pair(&simulation, from, to);
    let accepted = backlog.is_some_and(|backlog| backlog.send((server_end, from)).is_ok());
    deliver_packet(&simulation, to.ip(), ip).await;
    if accepted { Ok(client_end) } else { Err(io::ErrorKind::ConnectionRefused.into()) }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match &mut *self {
            Stream::Tcp(stream) => Pin::new(stream).poll_read(context, buffer),
            Stream::Simulated(stream) => Pin::new(stream).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        match &mut *self {
            Stream::Tcp(stream) => Pin::new(stream).poll_write(context, bytes),
            Stream::Simulated(stream) => Pin::new(stream).poll_write(context, bytes),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match &mut *self {
            Stream::Tcp(stream) => Pin::new(stream).poll_write_vectored(context, parts),
            Stream::Simulated(stream) => {
                let first = parts.iter().find(|part| !part.is_empty()).map_or(&[][..], |part| &**part);
                Pin::new(stream).poll_write(context, first)
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        matches!(self, Stream::Tcp(stream) if stream.is_write_vectored())
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut *self {
            Stream::Tcp(stream) => Pin::new(stream).poll_flush(context),
            Stream::Simulated(stream) => Pin::new(stream).poll_flush(context),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut *self {
            Stream::Tcp(stream) => Pin::new(stream).poll_shutdown(context),
            Stream::Simulated(stream) => Pin::new(stream).poll_shutdown(context),
        }
    }
}
