//! Clients of a soak that don't behave: parts of requests, too much, or nothing, at all listeners of all processes.

use super::cluster::{Cluster, Process};
use crate::node::RPC_PORT;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
    time::{sleep, timeout},
};

/// Length of a large body, just within the limits of operators' calls and of the route.
const BODY_BYTES: usize = 4_000_000;
/// Bytes that are sent at once.
const PIECE_BYTES: usize = 64 << 10;
/// Chunks of one byte that are sent at once, and how often.
const SMALL_CHUNKS: usize = 10_000;
const SMALL_CHUNK_PIECES: usize = 40;
/// Time in which a client sends what the process takes.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time for which a client stays connected after that, in milliseconds.
const MAX_STAY_MS: u64 = 6_000;
/// Pause of a client whose connection was refused.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);

#[derive(Clone, Copy)]
enum Sends {
    /// All but the last byte of a body with its length.
    AlmostWholeBody,
    /// A whole body, and no interest in the answer.
    WholeBody,
    /// Large chunks without the last one.
    LargeChunks,
    /// Chunks of one byte without the last one.
    SmallChunks,
    /// Chunks beyond any limit.
    Endless,
    /// A head without its end.
    HalfHead,
    /// Nothing, or a few bytes, to the listener for other nodes.
    HalfHandshake,
}

const KINDS: [Sends; 7] = [
    Sends::AlmostWholeBody,
    Sends::WholeBody,
    Sends::LargeChunks,
    Sends::SmallChunks,
    Sends::Endless,
    Sends::HalfHead,
    Sends::HalfHandshake,
];

impl Sends {
    fn address(self, process: &Process) -> SocketAddr {
        match self {
            Self::HalfHandshake => SocketAddr::new(process.http.ip(), RPC_PORT),
            _ => process.http,
        }
    }

    /// What is sent first, what is sent after it, and how often.
    fn bytes(self) -> (Vec<u8>, Vec<u8>, usize) {
        let head = "POST /v1/verdicts HTTP/1.1\r\nhost: soak\r\n";
        let with_length = format!("{head}content-length: {BODY_BYTES}\r\n\r\n").into_bytes();
        let in_chunks = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
        let plain = vec![b'a'; PIECE_BYTES];
        let chunk = [format!("{PIECE_BYTES:x}\r\n").as_bytes(), &plain, b"\r\n"].concat();
        let pieces = BODY_BYTES / PIECE_BYTES;
        let beyond_pieces = BODY_BYTES % PIECE_BYTES;
        match self {
            Self::AlmostWholeBody => ([with_length, vec![b'a'; beyond_pieces - 1]].concat(), plain, pieces),
            Self::WholeBody => ([with_length, vec![b'a'; beyond_pieces]].concat(), plain, pieces),
            Self::LargeChunks => (in_chunks, chunk, pieces),
            Self::SmallChunks => (in_chunks, b"1\r\na\r\n".repeat(SMALL_CHUNKS), SMALL_CHUNK_PIECES),
            Self::Endless => (in_chunks, chunk, 4 * pieces),
            Self::HalfHead => (format!("{head}fill: {}", "a".repeat(PIECE_BYTES / 2)).into_bytes(), plain, 0),
            Self::HalfHandshake => (vec![0, 0, 0x0f, 0xff, b'a'], plain, 0),
        }
    }
}

/// Starts this many clients, which go on until `stopped` is set.
pub fn start(
    cluster: &Arc<Cluster>,
    stopped: &Arc<AtomicBool>,
    clients: usize,
    seed: u64,
) -> Vec<JoinHandle<()>> {
    let client = |number: usize| {
        let (cluster, stopped) = (cluster.clone(), stopped.clone());
        let mut rng = SmallRng::seed_from_u64(!seed ^ (number as u64) << 32);
        tokio::spawn(async move {
            while !stopped.load(Ordering::Relaxed) {
                let processes: Vec<&Arc<Process>> = cluster.processes().collect();
                let process = processes[rng.random_range(0..processes.len())];
                let sends = KINDS[rng.random_range(0..KINDS.len())];
                let stay = Duration::from_millis(rng.random_range(0..MAX_STAY_MS));
                if misbehave(sends.address(process), sends, stay).await.is_err() {
                    sleep(RECONNECT_PAUSE).await;
                }
            }
        })
    };
    (0..clients).map(client).collect()
}

/// Sends as much as the process takes, and stays connected for a while or until the process ends the connection.
async fn misbehave(to: SocketAddr, sends: Sends, stay: Duration) -> io::Result<()> {
    let mut stream = TcpStream::connect(to).await?;
    let (first, next, times) = sends.bytes();
    let sending = async {
        stream.write_all(&first).await?;
        for _ in 0..times {
            stream.write_all(&next).await?;
        }
        Ok::<_, io::Error>(())
    };
    let _ = timeout(SEND_TIMEOUT, sending).await;
    let mut buffer = [0; 4_096];
    let end = async { while matches!(stream.read(&mut buffer).await, Ok(count) if count > 0) {} };
    let _ = timeout(stay, end).await;
    Ok(())
}
