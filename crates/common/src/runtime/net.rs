//! Connections: the machine's TCP, or the simulation's.

use super::{
    pipe::{SimulatedStream, pair},
    simulation::Simulation,
};
use crate::sync::lock;
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

/// How long a peer may leave bytes or keep-alive probes unanswered before its connection ends.
const PEER_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(2);

/// A connection.
pub enum Stream {
    /// The machine's own.
    Tcp(TcpStream),
    /// One of a simulation.
    Simulated(SimulatedStream),
}

/// An address that accepts connections.
pub enum Listener {
    /// The machine's own.
    Tcp(TcpListener),
    /// One of a simulation.
    Simulated(SimulatedListener),
}

/// A listener of a simulation.
pub struct SimulatedListener {
    simulation: Arc<Simulation>,
    at: SocketAddr,
    backlog: Mutex<mpsc::UnboundedReceiver<(SimulatedStream, SocketAddr)>>,
}

impl Drop for SimulatedListener {
    fn drop(&mut self) {
        lock(&self.simulation.listeners).remove(&self.at);
    }
}

impl From<TcpListener> for Listener {
    fn from(l: TcpListener) -> Self {
        Listener::Tcp(l)
    }
}

impl Listener {
    /// The next connection, with the address of the peer.
    ///
    /// # Errors
    /// What the system answered.
    pub async fn accept(&self) -> io::Result<(Stream, SocketAddr)> {
        match self {
            Listener::Tcp(l) => {
                let (s, peer) = l.accept().await?;
                let _ = s.set_nodelay(true);
                Ok((Stream::Tcp(s), peer))
            }
            Listener::Simulated(l) => {
                let got = l.backlog.lock().await.recv().await;
                let (s, peer) = got.ok_or(io::ErrorKind::ConnectionAborted)?;
                Ok((Stream::Simulated(s), peer))
            }
        }
    }
}

/// Binds an address.
///
/// # Errors
/// What the system answered.
pub async fn bind(at: SocketAddr) -> io::Result<Listener> {
    let Some(simulation) = super::simulation() else {
        return Ok(Listener::Tcp(TcpListener::bind(at).await?));
    };
    let (tx, rx) = mpsc::unbounded_channel();
    let mut all = lock(&simulation.listeners);
    if all.contains_key(&at) {
        return Err(io::ErrorKind::AddrInUse.into());
    }
    all.insert(at, tx);
    drop(all);
    Ok(Listener::Simulated(SimulatedListener { simulation, at, backlog: Mutex::new(rx) }))
}

/// Opens a connection from the node's own address.
///
/// # Errors
/// What the system answered.
pub async fn dial(ip: IpAddr, to: SocketAddr) -> io::Result<Stream> {
    if let Some(w) = super::simulation() {
        return simulated_dial(w, ip, to).await.map(Stream::Simulated);
    }
    let sock = if to.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    if !ip.is_unspecified() && ip.is_ipv4() == to.is_ipv4() {
        sock.bind(SocketAddr::new(ip, 0))?;
    }
    let s = sock.connect(to).await?;
    s.set_nodelay(true)?;
    // A peer that lost power, or is cut off, answers nothing: what waits for it must end.
    let opts = socket2::SockRef::from(&s);
    let _ = opts.set_tcp_user_timeout(Some(PEER_TIMEOUT));
    let alive = socket2::TcpKeepalive::new()
        .with_time(PEER_TIMEOUT / 2)
        .with_interval(PEER_TIMEOUT / 4)
        .with_retries(2);
    let _ = opts.set_tcp_keepalive(&alive);
    Ok(Stream::Tcp(s))
}

/// Packets that open a connection are sent again until they get through.
async fn through(w: &Simulation, from: IpAddr, to: IpAddr) {
    futures::future::poll_fn(|cx| {
        if w.blocked(from, to) {
            w.park(cx.waker());
            return Poll::Pending;
        }
        Poll::Ready(())
    })
    .await;
    sleep(w.draw_latency()).await;
}

async fn simulated_dial(w: Arc<Simulation>, ip: IpAddr, to: SocketAddr) -> io::Result<SimulatedStream> {
    through(&w, ip, to.ip()).await;
    let backlog = lock(&w.listeners).get(&to).cloned();
    let from = SocketAddr::new(ip, 40_000);
    let (near, far) = pair(&w, from, to);
    let there = backlog.is_some_and(|b| b.send((far, from)).is_ok());
    through(&w, to.ip(), ip).await;
    if there { Ok(near) } else { Err(io::ErrorKind::ConnectionRefused.into()) }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match &mut *self {
            Stream::Tcp(s) => Pin::new(s).poll_read(cx, buf),
            Stream::Simulated(s) => Pin::new(s).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        match &mut *self {
            Stream::Tcp(s) => Pin::new(s).poll_write(cx, buf),
            Stream::Simulated(s) => Pin::new(s).poll_write(cx, buf),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match &mut *self {
            Stream::Tcp(s) => Pin::new(s).poll_write_vectored(cx, bufs),
            Stream::Simulated(s) => {
                let b = bufs.iter().find(|b| !b.is_empty()).map_or(&[][..], |b| &**b);
                Pin::new(s).poll_write(cx, b)
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        matches!(self, Stream::Tcp(s) if s.is_write_vectored())
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut *self {
            Stream::Tcp(s) => Pin::new(s).poll_flush(cx),
            Stream::Simulated(s) => Pin::new(s).poll_flush(cx),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut *self {
            Stream::Tcp(s) => Pin::new(s).poll_shutdown(cx),
            Stream::Simulated(s) => Pin::new(s).poll_shutdown(cx),
        }
    }
}
