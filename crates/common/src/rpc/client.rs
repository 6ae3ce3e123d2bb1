//! The client side of RPC: keeps one connection to each peer, and opens new ones at a limited pace.

use super::{
    Attempt, LocalNode,
    handshake::exchange_handshake,
    peers::{Opened, Peers},
};
use crate::{
    clock::Clock,
    error::{AtPeer, CONNECT, PeerError, Step, with_timeout},
    runtime::{self, spawn},
    sync::lock,
    wire::encode,
};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};
use tarpc::{RequestName, client::Channel, context};

/// Longest time for which the called node may keep working on a call after the caller's timeout. The library sends the
/// sum of both as the call's deadline.
const DEADLINE_SLACK: Duration = Duration::from_secs(600);

/// Timeout for opening a connection, as a multiple of the default call timeout. Opening takes three round trips, which may
/// be longer than a call may take, so it continues in the background after the call has timed out.
const OPEN_TIMEOUT_FACTOR: u64 = 4;

/// A client of one service. It keeps a connection to each node that it has called.
pub struct RpcClient<Q, R> {
    inner: Arc<Inner<Q, R>>,
}

struct Inner<Q, R> {
    local: LocalNode,
    service: &'static str,
    clock: Clock,
    peers: Mutex<Peers<Q, R>>,
}

impl<Q, R> RpcClient<Q, R>
where
    Q: RequestName + Serialize + Send + 'static,
    R: Serialize + DeserializeOwned + Send + 'static,
{
    /// A client of that service. Connections are opened by the first calls.
    pub fn new(local: LocalNode, service: &'static str) -> Self {
        let peers = Mutex::default();
        Self { inner: Arc::new(Inner { local, service, clock: Clock::default(), peers }) }
    }

    /// Calls a node with the default timeout.
    ///
    /// # Errors
    /// As for [`RpcClient::call_within`].
    pub async fn call(&self, step: Step, to: SocketAddr, request: Q) -> Result<R, PeerError> {
        self.call_within(self.inner.local.timeout_ms, step, to, request).await
    }

    /// Calls a node with the given timeout. After a failed call the next one opens a new connection; after one that
    /// timed out only if the peer answers nothing else either, and not more often than [`super::ConnectionPacing`] allows.
    ///
    /// # Errors
    /// No connection could be opened or may be opened yet, the peer rejected it, or no response came in time.
    pub async fn call_within(
        &self,
        timeout_ms: u64,
        step: Step,
        to: SocketAddr,
        request: Q,
    ) -> Result<R, PeerError> {
        let counted = runtime::simulation().filter(|simulation| simulation.traffic.is_counting());
        let request_bytes = counted.as_ref().map_or(0, |_| encoded_length(&request));
        let result = self.inner.clone().call(timeout_ms, step, to, request).await;
        if let Some(simulation) = counted {
            let endpoints = (self.inner.local.ip, to.ip());
            let response_bytes = result.as_ref().ok().map(encoded_length);
            simulation.traffic.call(endpoints, (self.inner.service, step), request_bytes, response_bytes);
        }
        result
    }

    /// Number of connections that were opened so far.
    pub fn connections_opened(&self) -> u64 {
        lock(&self.inner.peers).opened
    }
}

impl<Q, R> Inner<Q, R>
where
    Q: RequestName + Serialize + Send + 'static,
    R: Serialize + DeserializeOwned + Send + 'static,
{
    async fn call(
        self: Arc<Self>,
        timeout_ms: u64,
        step: Step,
        to: SocketAddr,
        request: Q,
    ) -> Result<R, PeerError> {
        let sent = self.clock.now();
        let mut used = None;
        let result = with_timeout(timeout_ms, step, to, async {
            let connection = self.connection(to).await?;
            used = Some(connection.id);
            self.send(timeout_ms, step, to, connection.channel, request).await
        })
        .await;
        if let Some(id) = used {
            let (mut peers, now) = (lock(&self.peers), self.clock.now());
            match &result {
                Ok(_) => peers.note_answer(to, id, now),
                Err(error) => peers.note_failure(to, id, sent, now, error),
            }
        }
        result
    }

    async fn send(
        &self,
        timeout_ms: u64,
        step: Step,
        to: SocketAddr,
        channel: Channel<Q, R>,
        request: Q,
    ) -> Result<R, PeerError> {
        let mut context = context::current();
        // The caller's timeout decides; the library's deadline, on the machine's clock, comes later.
        context.deadline = Instant::now() + Duration::from_millis(timeout_ms) + DEADLINE_SLACK;
        channel.call(context, request).await.at_peer(step, to)
    }

    /// The connection to a node. If there is none, a separate task opens one, so that the next call can use it even if
    /// this call stops waiting for it.
    async fn connection(self: &Arc<Self>, to: SocketAddr) -> Opened<Q, R> {
        let opened = {
            let mut peers = lock(&self.peers);
            let peer = peers.peer(to);
            if let Some(connection) = &peer.connection {
                return Ok(connection.clone());
            }
            if peer.pacing.begin(self.clock.now(), self.local.timeout_ms, runtime::random_in) {
                spawn(self.clone().open_in_background(to));
            } else if peer.pacing.is_idle() {
                return Err(PeerError::new(
                    CONNECT,
                    to,
                    "the next attempt to open a connection is not due yet",
                ));
            }
            peer.wait()
        };
        opened.await.at_peer(CONNECT, to)?
    }

    async fn open_in_background(self: Arc<Self>, to: SocketAddr) {
        let mut attempt = Attempt::Connecting;
        let timeout_ms = self.local.timeout_ms * OPEN_TIMEOUT_FACTOR;
        let opened = with_timeout(timeout_ms, CONNECT, to, async {
            let stream = crate::http::connect(self.local.ip, to).await?;
            attempt = Attempt::Handshaking;
            lock(&self.peers).peer(to).pacing.connected();
            exchange_handshake(stream, &self.local, self.service, to).await
        })
        .await;
        let (mut peers, now) = (lock(&self.peers), self.clock.now());
        match opened {
            Ok(channel) => peers.note_opened(to, channel, now),
            Err(error) => peers.note_open_failed(to, attempt, &error, now, self.local.timeout_ms),
        }
    }
}

/// Length of a value's encoding in bytes, without the frame header.
fn encoded_length<T: Serialize>(value: &T) -> usize {
    encode(value).map_or(0, |bytes| bytes.len())
}
