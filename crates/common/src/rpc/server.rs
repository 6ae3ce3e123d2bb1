//! The server side of RPC: checks the handshake of each connection, then answers calls.

use super::{Handshake, HandshakeReply, LocalNode, with_codec};
use crate::{
    connection::{UnidentifiedConnection, UnidentifiedConnections},
    error::{AtPeer, HANDSHAKE, PeerError},
    log_event,
    runtime::{Listener, Stream, spawn},
    wire::{Codec, PROTOCOL_VERSION},
};
use futures::{SinkExt, StreamExt};
use serde::{Serialize, de::DeserializeOwned};
use std::{fmt, io, net::SocketAddr, time::Duration};
use tarpc::{
    RequestName,
    server::{BaseChannel, Channel as _, serve},
};
use tokio_util::codec::Framed;

/// Pause after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time in which a peer must send its handshake, as a multiple of the default call timeout.
const HANDSHAKE_TIMEOUT_FACTOR: u64 = 4;

/// Why a handshake is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
enum HandshakeError {
    /// The peer speaks this other version of the protocol.
    Protocol(u32),
    /// The peer belongs to this other cluster.
    Cluster(String),
    /// The peer requested this service, which is not offered here.
    Service(String),
}

impl fmt::Display for HandshakeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HandshakeError::Protocol(version) => {
                write!(f, "protocol version {version} is not supported; expected {PROTOCOL_VERSION}")
            }
            HandshakeError::Cluster(name) => write!(f, "cluster {name:?} is not the cluster of this node"),
            HandshakeError::Service(name) => write!(f, "service {name:?} is not offered here"),
        }
    }
}

impl std::error::Error for HandshakeError {}

fn check_handshake(
    handshake: &Handshake,
    local: &LocalNode,
    service: &'static str,
) -> Result<(), HandshakeError> {
    if handshake.protocol_version != PROTOCOL_VERSION {
        return Err(HandshakeError::Protocol(handshake.protocol_version));
    }
    if handshake.cluster != local.cluster {
        return Err(HandshakeError::Cluster(handshake.cluster.clone()));
    }
    if handshake.service != service {
        return Err(HandshakeError::Service(handshake.service.clone()));
    }
    Ok(())
}

/// Answers calls of one service until the task is dropped. `handler` receives the name of the calling node and the request.
pub async fn listen<Q, R, F, Fut>(
    listener: impl Into<Listener>,
    local: LocalNode,
    service: &'static str,
    handler: F,
) where
    Q: RequestName + Serialize + DeserializeOwned + Send + 'static,
    R: Serialize + Send + 'static,
    F: Fn(String, Q) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = R> + Send + 'static,
{
    let listener = listener.into();
    let handshake_timeout = Duration::from_millis(local.timeout_ms * HANDSHAKE_TIMEOUT_FACTOR);
    let unidentified = UnidentifiedConnections::new(local.max_unidentified_connections, handshake_timeout);
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Some(connection) = unidentified.enter() else { continue };
        let (local, handler) = (local.clone(), handler.clone());
        spawn(async move {
            if let Err(e) = serve_connection(stream, peer, connection, local, service, handler).await {
                log_event!(Warn, e.step, "peer" => e.peer, "cause" => e.cause());
            }
        });
    }
}

async fn serve_connection<Q, R, F, Fut>(
    stream: Stream,
    peer: SocketAddr,
    connection: UnidentifiedConnection,
    local: LocalNode,
    service: &'static str,
    handler: F,
) -> Result<(), PeerError>
where
    Q: RequestName + Serialize + DeserializeOwned + Send + 'static,
    R: Serialize + Send + 'static,
    F: Fn(String, Q) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = R> + Send + 'static,
{
    let mut framed = Framed::new(stream, Codec::<Handshake, HandshakeReply>::handshake());
    let first = tokio::select! {
        biased;
        first = framed.next() => first.unwrap_or_else(|| Err(io::ErrorKind::UnexpectedEof.into())),
        () = connection.expired() => Err(io::ErrorKind::TimedOut.into()),
    };
    let handshake = first.at_peer(HANDSHAKE, peer)?;
    drop(connection);
    let checked = check_handshake(&handshake, &local, service);
    let rejected = checked.as_ref().err().map(HandshakeError::to_string);
    framed.send(HandshakeReply { rejected }).await.at_peer(HANDSHAKE, peer)?;
    checked.at_peer(HANDSHAKE, peer)?;
    let channel = BaseChannel::with_defaults(with_codec(framed, Codec::default()));
    let mut requests = Box::pin(channel.requests());
    while let Some(request) = requests.next().await {
        let request = request.at_peer("read message", peer)?;
        let (handler, node) = (handler.clone(), handshake.node.clone());
        spawn(request.execute(serve(move |_, request| {
            let response = handler(node, request);
            async move { Ok(response.await) }
        })));
    }
    Ok(())
}
