//! Errors keep the step at which they arose (design 1.4): what is known of a call rests on it.

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

/// Nothing listens there any more.
async fn gone() -> SocketAddr {
    TcpListener::bind((IP, 0)).await.unwrap().local_addr().unwrap()
}

/// Reads something, then says this and closes.
async fn says(what: &'static str) -> SocketAddr {
    let listener = TcpListener::bind((IP, 0)).await.unwrap();
    let at = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut s, _)) = listener.accept().await {
            let _ = s.read(&mut [0; 4096]).await;
            let _ = s.write_all(what.as_bytes()).await;
        }
    });
    at
}

#[tokio::test]
async fn a_refused_connection_says_so() {
    let e = send_request(IP, gone().await, Method::GET, "/", &[], "", 5_000).await.unwrap_err();
    assert_eq!((e.step, e.is_refused()), ("connect", true));
    let me = LocalNode { cluster: "c".into(), node: "n".into(), ip: IP, timeout_ms: 5_000 };
    let lines: RpcClient<Empty, Empty> = RpcClient::new(me, "s");
    let e = lines.call("propose", gone().await, Empty).await.unwrap_err();
    assert_eq!((e.step, e.is_refused()), ("connect", true));
    let e = send_request(IP, says("nonsense\r\n").await, Method::GET, "/", &[], "", 5_000).await.unwrap_err();
    assert_eq!((e.step, e.is_refused()), ("exchange", false));
}

/// A change goes on to the next voter where nothing was sent, and only there.
#[tokio::test]
async fn a_seat_that_is_gone_is_passed_over() {
    let fine = says("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok").await;
    let put = |seats: Vec<SocketAddr>| async move {
        send_request_to_any(&seats, Method::PUT, "/", &[], Bytes::new(), 5_000).await
    };
    assert_eq!(put(vec![gone().await, fine]).await.unwrap().0.as_u16(), 200);
    let e = put(vec![says("nonsense\r\n").await, fine]).await.unwrap_err();
    assert!(e.to_string().contains("undetermined"), "{e}");
}
