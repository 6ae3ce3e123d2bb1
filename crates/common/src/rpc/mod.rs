//! RPC between foldshunt nodes: a handshake, then tarpc over the musli codec (design 1.8).

mod server;

pub use server::listen;

use crate::{
    error::{AtPeer, CONNECT, HANDSHAKE, PeerError, Step, with_timeout},
    runtime::{self, Stream, spawn},
    sync::lock,
    wire::{Codec, PROTOCOL_VERSION, encode},
};
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};
use tarpc::{
    RequestName,
    client::{self, Channel},
    context,
};
use tokio::sync::oneshot;
use tokio_util::codec::Framed;

/// The first message on each connection, sent by the client.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Handshake {
    /// Protocol version of the sender; must be [`PROTOCOL_VERSION`].
    #[serde(rename = "proto")]
    pub protocol_version: u32,
    /// Name of the sender's cluster.
    pub cluster: String,
    /// Name of the requested service.
    pub service: String,
    /// Name of the sending node.
    pub node: String,
}

/// The answer to a [`Handshake`].
#[derive(Debug, Serialize, Deserialize)]
pub struct HandshakeReply {
    /// Why the connection is rejected; `None` if it is accepted.
    #[serde(rename = "bounced")]
    pub rejected: Option<String>,
}

/// This node as an endpoint of RPC connections.
#[derive(Clone, Debug)]
pub struct LocalNode {
    /// Name of the cluster.
    pub cluster: String,
    /// Name of the node.
    pub node: String,
    /// Source address of outgoing connections.
    pub ip: IpAddr,
    /// Default timeout of a call, in milliseconds.
    pub timeout_ms: u64,
}

/// Longest time for which the called node may keep working on a call after the caller's timeout. The library sends the
/// sum of both as the call's deadline.
const DEADLINE_SLACK: Duration = Duration::from_secs(600);

/// Timeout for opening a connection, as a multiple of the default call timeout. Opening takes three round trips, which may
/// be longer than a call may take, so it continues in the background after the call has timed out.
const OPEN_TIMEOUT_FACTOR: u64 = 4;

/// Open connections by the address of the peer.
type OpenChannels<Q, R> = BTreeMap<SocketAddr, Channel<Q, R>>;

/// A client of one service, which caches its connections to the nodes that offer the service.
pub struct RpcClient<Q, R> {
    local: LocalNode,
    service: &'static str,
    open: Arc<Mutex<OpenChannels<Q, R>>>,
}

impl<Q, R> RpcClient<Q, R>
where
    Q: RequestName + Serialize + Send + 'static,
    R: Serialize + DeserializeOwned + Send + 'static,
{
    /// A client of that service. Connections are opened by the first calls.
    pub fn new(local: LocalNode, service: &'static str) -> Self {
        Self { local, service, open: Arc::default() }
    }

    /// Calls a node with the default timeout.
    ///
    /// # Errors
    /// As for [`RpcClient::call_within`].
    pub async fn call(&self, step: Step, to: SocketAddr, request: Q) -> Result<R, PeerError> {
        self.call_within(self.local.timeout_ms, step, to, request).await
    }

    /// Calls a node with the given timeout. A failed connection is dropped, and the next call opens a new one.
    ///
    /// # Errors
    /// The connection could not be opened, the peer rejected it, or no response came in time.
    pub async fn call_within(
        &self,
        timeout_ms: u64,
        step: Step,
        to: SocketAddr,
        request: Q,
    ) -> Result<R, PeerError> {
        let counted = runtime::simulation().filter(|simulation| simulation.traffic.is_counting());
        let request_bytes = counted.as_ref().map_or(0, |_| encoded_length(&request));
        let was_open = self.lock().contains_key(&to);
        let mut completed = false;
        let result = with_timeout(timeout_ms, step, to, async {
            let result = self.send(timeout_ms, step, to, request).await;
            completed = true;
            result
        })
        .await;
        if let Some(simulation) = counted {
            let endpoints = (self.local.ip, to.ip());
            let response_bytes = result.as_ref().ok().map(encoded_length);
            simulation.traffic.call(endpoints, (self.service, step), request_bytes, response_bytes);
        }
        // If the call timed out while its connection was being opened, that connection may serve the next call.
        if result.is_err() && (was_open || completed) {
            self.lock().remove(&to);
        }
        result
    }

    async fn send(&self, timeout_ms: u64, step: Step, to: SocketAddr, request: Q) -> Result<R, PeerError> {
        let channel = self.channel(to).await?;
        let mut context = context::current();
        // The caller's timeout decides; the library's deadline, on the machine's clock, comes later.
        context.deadline = Instant::now() + Duration::from_millis(timeout_ms) + DEADLINE_SLACK;
        channel.call(context, request).await.at_peer(step, to)
    }

    /// The channel to a node. If there is none, a separate task opens one, so that the next call can use it even if this
    /// call stops waiting for it.
    async fn channel(&self, to: SocketAddr) -> Result<Channel<Q, R>, PeerError> {
        let cached = self.lock().get(&to).cloned();
        if let Some(channel) = cached {
            return Ok(channel);
        }
        let (local, service, cache) = (self.local.clone(), self.service, self.open.clone());
        let (sender, opened) = oneshot::channel();
        spawn(async move {
            let timeout_ms = local.timeout_ms * OPEN_TIMEOUT_FACTOR;
            let opened = with_timeout(timeout_ms, CONNECT, to, open(&local, service, to)).await;
            if let Ok(channel) = &opened {
                lock(&cache).insert(to, channel.clone());
            }
            let _ = sender.send(opened);
        });
        opened.await.at_peer(CONNECT, to)?
    }

    fn lock(&self) -> MutexGuard<'_, OpenChannels<Q, R>> {
        lock(&self.open)
    }
}

/// Length of a value's encoding in bytes, without the frame header.
fn encoded_length<T: Serialize>(value: &T) -> usize {
    encode(value).map_or(0, |bytes| bytes.len())
}

/// The same stream with another codec.
fn with_codec<A, B>(framed: Framed<Stream, A>, codec: B) -> Framed<Stream, B> {
    framed.map_codec(|_| codec)
}

/// Opens a connection, exchanges the handshake and returns a channel for calls.
async fn open<Q, R>(
    local: &LocalNode,
    service: &'static str,
    to: SocketAddr,
) -> Result<Channel<Q, R>, PeerError>
where
    Q: RequestName + Serialize + Send + 'static,
    R: Serialize + DeserializeOwned + Send + 'static,
{
    let stream = crate::http::connect(local.ip, to).await?;
    let mut framed = Framed::new(stream, Codec::<HandshakeReply, Handshake>::handshake());
    let handshake = Handshake {
        protocol_version: PROTOCOL_VERSION,
        cluster: local.cluster.clone(),
        service: service.into(),
        node: local.node.clone(),
    };
    framed.send(handshake).await.at_peer(HANDSHAKE, to)?;
    let reply = framed.next().await.ok_or("closed during the handshake").at_peer(HANDSHAKE, to)?;
    if let Some(reason) = reply.at_peer(HANDSHAKE, to)?.rejected {
        return Err(PeerError::new(HANDSHAKE, to, reason));
    }
    let new_client = client::new(client::Config::default(), with_codec(framed, Codec::default()));
    spawn(new_client.dispatch);
    Ok(new_client.client)
}
