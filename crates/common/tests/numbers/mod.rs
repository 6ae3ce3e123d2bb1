//! An RPC service of numbers, and nodes that offer and call it.

#![allow(dead_code)]

use common::rpc::LocalNode;
use serde::{Deserialize, Serialize};
use std::net::IpAddr;

/// Name of the service.
pub const SERVICE: &str = "numbers";
/// Default timeout of a call, in milliseconds.
pub const TIMEOUT_MS: u64 = 500;
/// Connections without a handshake that a node has at the same time.
pub const MAX_UNIDENTIFIED_CONNECTIONS: usize = 64;

/// The request and the response.
#[derive(Debug, Serialize, Deserialize)]
pub struct Number(pub u64);

impl tarpc::RequestName for Number {
    fn name(&self) -> &str {
        "number"
    }
}

/// A node at this address.
pub fn local_node(ip: IpAddr) -> LocalNode {
    LocalNode {
        cluster: "c".into(),
        node: ip.to_string(),
        ip,
        timeout_ms: TIMEOUT_MS,
        max_unidentified_connections: MAX_UNIDENTIFIED_CONNECTIONS,
    }
}
