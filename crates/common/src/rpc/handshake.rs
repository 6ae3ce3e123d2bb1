//! The first messages on a connection (design 1.8): what the client sends, and what the server replies.

use super::{LocalNode, with_codec};
use crate::{
    error::{AtPeer, HANDSHAKE, PeerError},
    runtime::{Stream, spawn},
    wire::{Codec, PROTOCOL_VERSION},
};
use futures::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::net::SocketAddr;
use tarpc::{
    RequestName,
    client::{self, Channel},
};
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

/// Exchanges the handshake on a new connection and returns a channel for calls.
pub(super) async fn exchange_handshake<Q, R>(
    stream: Stream,
    local: &LocalNode,
    service: &'static str,
    to: SocketAddr,
) -> Result<Channel<Q, R>, PeerError>
where
    Q: RequestName + Serialize + Send + 'static,
    R: Serialize + DeserializeOwned + Send + 'static,
{
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
