//! RPC between foldshunt nodes: a handshake, then tarpc over the musli codec (design 1.8).

mod client;
mod connection_pacing;
mod handshake;
mod peers;
mod server;

pub use client::RpcClient;
pub use connection_pacing::{Attempt, ConnectionPacing};
pub use handshake::{Handshake, HandshakeReply};
pub use server::listen;

use crate::runtime::Stream;
use std::net::IpAddr;
use tokio_util::codec::Framed;

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
    /// Most incoming connections whose peers have not sent their handshake yet.
    pub max_unidentified_connections: usize,
}

/// The same stream with another codec.
fn with_codec<A, B>(framed: Framed<Stream, A>, codec: B) -> Framed<Stream, B> {
    framed.map_codec(|_| codec)
}
