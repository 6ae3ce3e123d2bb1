//! Errors name the step that failed (design 1.4). From it callers conclude whether a request may have been sent.

use bytes::Bytes;
use common::{
    http::{send_request, send_request_to_any},
    rpc::{LocalNode, RpcClient},
};
use hyper::Method;
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

const IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

#[derive(Debug, Serialize, Deserialize)]
struct Empty;

impl tarpc::RequestName for Empty {
    fn name(&self) -> &str {
        "empty"
    }
}

/// An address at which nothing listens any more.
async fn refused_address() -> SocketAddr {
    TcpListener::bind((IP, 0)).await.unwrap().local_addr().unwrap()
}

/// Starts a server that reads something, sends this response and closes the connection.
async fn server_sending(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind((IP, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4096]).await;
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    address
}

#[tokio::test]
async fn an_error_tells_whether_the_connection_was_refused() {
    let e = send_request(IP, refused_address().await, Method::GET, "/", &[], "", 5_000).await.unwrap_err();
    assert_eq!((e.step, e.is_refused()), ("connect", true));
    let local_node = LocalNode {
        cluster: "c".into(),
        node: "n".into(),
        ip: IP,
        timeout_ms: 5_000,
        max_unidentified_connections: 64,
    };
    let client: RpcClient<Empty, Empty> = RpcClient::new(local_node, "s");
    let e = client.call("propose", refused_address().await, Empty).await.unwrap_err();
    assert_eq!((e.step, e.is_refused()), ("connect", true));
    let e = send_request(IP, server_sending("nonsense\r\n").await, Method::GET, "/", &[], "", 5_000)
        .await
        .unwrap_err();
    assert_eq!((e.step, e.is_refused()), ("exchange", false));
}

/// A change is sent to the next control node only if nothing was sent to the previous one.
#[tokio::test]
async fn an_unreachable_node_is_skipped() {
    let healthy = server_sending("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await;
    let put = |nodes: Vec<SocketAddr>| async move {
        send_request_to_any(&nodes, Method::PUT, "/", &[], Bytes::new(), 5_000).await
    };
    assert_eq!(put(vec![refused_address().await, healthy]).await.unwrap().0.as_u16(), 200);
    let e = put(vec![server_sending("nonsense\r\n").await, healthy]).await.unwrap_err();
    assert!(e.to_string().contains("undetermined"), "{e}");
}
