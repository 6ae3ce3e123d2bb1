//! The one seam to the network: the machine's TCP, or the world's.

use super::{
    pipe::{SimulatedStream, pair},
    world::{World, lock},
};
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

/// How long a peer may leave bytes or probes without a sign before its connection ends.
const SILENT: std::time::Duration = std::time::Duration::from_secs(2);

pub enum Stream {
    Tcp(TcpStream),
    Mem(SimulatedStream),
}

pub enum Listener {
    Tcp(TcpListener),
    Mem(SimulatedListener),
}

pub struct SimulatedListener {
    world: Arc<World>,
    at: SocketAddr,
    backlog: Mutex<mpsc::UnboundedReceiver<(SimulatedStream, SocketAddr)>>,
}

impl Drop for SimulatedListener {
    fn drop(&mut self) {
        lock(&self.world.listeners).remove(&self.at);
    }
}

impl From<TcpListener> for Listener {
    fn from(l: TcpListener) -> Self {
        Listener::Tcp(l)
    }
}

impl Listener {
    pub async fn accept(&self) -> io::Result<(Stream, SocketAddr)> {
        match self {
            Listener::Tcp(l) => {
                let (s, peer) = l.accept().await?;
                let _ = s.set_nodelay(true);
                Ok((Stream::Tcp(s), peer))
            }
            Listener::Mem(l) => {
                let got = l.backlog.lock().await.recv().await;
                let (s, peer) = got.ok_or(io::ErrorKind::ConnectionAborted)?;
                Ok((Stream::Mem(s), peer))
            }
        }
    }
}

pub async fn bind(at: SocketAddr) -> io::Result<Listener> {
    let Some(world) = super::world() else {
        return Ok(Listener::Tcp(TcpListener::bind(at).await?));
    };
    let (tx, rx) = mpsc::unbounded_channel();
    let mut all = lock(&world.listeners);
    if all.contains_key(&at) {
        return Err(io::ErrorKind::AddrInUse.into());
    }
    all.insert(at, tx);
    drop(all);
    Ok(Listener::Mem(SimulatedListener { world, at, backlog: Mutex::new(rx) }))
}

/// Opens a connection bound to the node's own address.
pub async fn dial(ip: IpAddr, to: SocketAddr) -> io::Result<Stream> {
    if let Some(w) = super::world() {
        return simulated_dial(w, ip, to).await.map(Stream::Mem);
    }
    let sock = if to.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    if !ip.is_unspecified() && ip.is_ipv4() == to.is_ipv4() {
        sock.bind(SocketAddr::new(ip, 0))?;
    }
    let s = sock.connect(to).await?;
    s.set_nodelay(true)?;
    // A peer that lost its power, or is cut off, answers nothing: what waits for it must end.
    let opts = socket2::SockRef::from(&s);
    let _ = opts.set_tcp_user_timeout(Some(SILENT));
    let alive = socket2::TcpKeepalive::new().with_time(SILENT / 2).with_interval(SILENT / 4).with_retries(2);
    let _ = opts.set_tcp_keepalive(&alive);
    Ok(Stream::Tcp(s))
}

/// What asks for a connection is sent again until it gets through.
async fn through(w: &World, from: IpAddr, to: IpAddr) {
    futures::future::poll_fn(|cx| {
        if w.blocked(from, to) {
            w.park(cx.waker());
            return Poll::Pending;
        }
        Poll::Ready(())
    })
    .await;
    sleep(w.travel()).await;
}

async fn simulated_dial(w: Arc<World>, ip: IpAddr, to: SocketAddr) -> io::Result<SimulatedStream> {
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
            Stream::Mem(s) => Pin::new(s).poll_read(cx, buf),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        match &mut *self {
            Stream::Tcp(s) => Pin::new(s).poll_write(cx, buf),
            Stream::Mem(s) => Pin::new(s).poll_write(cx, buf),
        }
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        match &mut *self {
            Stream::Tcp(s) => Pin::new(s).poll_write_vectored(cx, bufs),
            Stream::Mem(s) => {
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
            Stream::Mem(s) => Pin::new(s).poll_flush(cx),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut *self {
            Stream::Tcp(s) => Pin::new(s).poll_shutdown(cx),
            Stream::Mem(s) => Pin::new(s).poll_shutdown(cx),
        }
    }
}
