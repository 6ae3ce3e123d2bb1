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

/// The first message on each connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Handshake {
    /// Must be [`PROTOCOL_VERSION`].
    pub proto: u32,
    /// Name of the sender's cluster.
    pub cluster: String,
    /// Name of the service that is called.
    pub service: String,
    /// Name of the sender.
    pub node: String,
}

/// The answer to a [`Handshake`].
#[derive(Debug, Serialize, Deserialize)]
pub struct HandshakeReply {
    /// Why the connection is refused; `None` where it is accepted.
    #[serde(rename = "bounced")]
    pub rejected: Option<String>,
}

/// This process as an end of RPC connections.
#[derive(Clone, Debug)]
pub struct LocalNode {
    /// Name of its cluster.
    pub cluster: String,
    /// Its name.
    pub node: String,
    /// The address that its connections come from.
    pub ip: IpAddr,
    /// The usual time-out of a call, in milliseconds.
    pub timeout_ms: u64,
}

/// By how much a call outlives its own time-out at the node that is called, at most.
const DEADLINE_SLACK: Duration = Duration::from_secs(600);

/// Opening a connection takes three round trips, and so may take longer than a call: it goes on behind a call that
/// gave up, for at most so many times the usual time-out.
const OPEN_TIMEOUTS: u64 = 4;

type OpenChannels<Q, R> = BTreeMap<SocketAddr, Channel<Q, R>>;

/// A client of one service, with cached connections to the nodes that offer it.
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
    /// A client of that service; opens nothing yet.
    pub fn new(local: LocalNode, service: &'static str) -> Self {
        Self { local, service, open: Arc::default() }
    }

    /// One call within the usual time-out.
    ///
    /// # Errors
    /// As for [`RpcClient::call_within`].
    pub async fn call(&self, step: Step, to: SocketAddr, request: Q) -> Result<R, PeerError> {
        self.call_within(self.local.timeout_ms, step, to, request).await
    }

    /// One call within a time-out. A failed connection is dropped and opened anew next time.
    ///
    /// # Errors
    /// The connection could not be opened, the peer refused it, or no response came in time.
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
        let mut ended = false;
        let result = with_timeout(timeout_ms, step, to, async {
            let result = self.send(timeout_ms, step, to, request).await;
            ended = true;
            result
        })
        .await;
        if let Some(simulation) = counted {
            let ends = (self.local.ip, to.ip());
            let response_bytes = result.as_ref().ok().map(encoded_length);
            simulation.traffic.call(ends, (self.service, step), request_bytes, response_bytes);
        }
        // A connection that was being opened for this call, and took its time, may serve the next one.
        if result.is_err() && (was_open || ended) {
            self.lock().remove(&to);
        }
        result
    }

    async fn send(&self, timeout_ms: u64, step: Step, to: SocketAddr, request: Q) -> Result<R, PeerError> {
        let channel = self.channel(to).await?;
        let mut context = context::current();
        // The caller's time-out decides; the library's own, on the machine's clock, comes later.
        context.deadline = Instant::now() + Duration::from_millis(timeout_ms) + DEADLINE_SLACK;
        channel.call(context, request).await.at_peer(step, to)
    }

    /// The open channel to a node. Where there is none, one is opened by a task of its own, so that what a call did
    /// not wait for serves the next.
    async fn channel(&self, to: SocketAddr) -> Result<Channel<Q, R>, PeerError> {
        let cached = self.lock().get(&to).cloned();
        if let Some(channel) = cached {
            return Ok(channel);
        }
        let (local, service, cache) = (self.local.clone(), self.service, self.open.clone());
        let (sender, opened) = oneshot::channel();
        spawn(async move {
            let timeout_ms = local.timeout_ms * OPEN_TIMEOUTS;
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

/// Bytes of a value on the wire, frame apart.
fn encoded_length<T: Serialize>(value: &T) -> usize {
    encode(value).map_or(0, |bytes| bytes.len())
}

fn with_codec<A, B>(framed: Framed<Stream, A>, codec: B) -> Framed<Stream, B> {
    framed.map_codec(|_| codec)
}

/// Opens a connection: a handshake, its reply, then a channel for calls.
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
        proto: PROTOCOL_VERSION,
        cluster: local.cluster.clone(),
        service: service.into(),
        node: local.node.clone(),
    };
    framed.send(handshake).await.at_peer(HANDSHAKE, to)?;
    let reply = framed.next().await.ok_or("closed during the handshake").at_peer(HANDSHAKE, to)?;
    if let Some(why) = reply.at_peer(HANDSHAKE, to)?.rejected {
        return Err(PeerError::new(HANDSHAKE, to, why));
    }
    let new = client::new(client::Config::default(), with_codec(framed, Codec::default()));
    spawn(new.dispatch);
    Ok(new.client)
}
