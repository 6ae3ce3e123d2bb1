//! The end of a connection whose client is still sending after the answer. Closing a connection while bytes are unread
//! resets it, and a reset may destroy the answer before the client reads it. So the rest is read and dropped.

use crate::runtime::Stream;
use std::time::Duration;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    time::timeout,
};

/// Longest time for which the rest of a request is read.
const TOTAL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time without any byte after which the client is taken to have stopped.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that are read at once.
const BUFFER_BYTES: usize = 16 << 10;

/// Ends the sending side, and reads until the client ends its own, stops, or takes too long.
pub(super) async fn discard_rest(mut stream: Stream) {
    let discard = async {
        stream.shutdown().await?;
        let mut buffer = vec![0; BUFFER_BYTES];
        while timeout(STALL_TIMEOUT, stream.read(&mut buffer)).await?? > 0 {}
        Ok::<_, std::io::Error>(())
    };
    let _ = timeout(TOTAL_TIMEOUT, discard).await;
}
