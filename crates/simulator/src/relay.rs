//! Relays between nodes (design 7.2): each node is advertised at its relay, so that links can be
//! cut by pair and direction. A cut holds bytes back; it never loses or invents any, as TCP would.

use std::{
    collections::BTreeSet,
    net::{IpAddr, SocketAddr},
    sync::Arc,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

/// Pairs (from, to) whose bytes do not flow.
pub type BlockedLinks = BTreeSet<(IpAddr, IpAddr)>;

#[derive(Clone)]
pub struct Relays {
    cuts: Arc<watch::Sender<BlockedLinks>>,
}

impl Default for Relays {
    fn default() -> Self {
        Self { cuts: Arc::new(watch::channel(BlockedLinks::new()).0) }
    }
}

impl Relays {
    /// Relays everything that reaches `at` to `to`.
    pub async fn add(&self, at: SocketAddr, to: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(at).await?;
        let cuts = self.cuts.clone();
        tokio::spawn(async move {
            loop {
                let Ok((io, from)) = listener.accept().await else { continue };
                let cuts = cuts.clone();
                tokio::spawn(async move {
                    let there = (from.ip(), to.ip());
                    wait_until_unblocked(&cuts, there).await;
                    let Ok(far) = TcpStream::connect(to).await else { return };
                    let _ = (io.set_nodelay(true), far.set_nodelay(true));
                    let ((ir, iw), (fr, fw)) = (io.into_split(), far.into_split());
                    let c2 = cuts.clone();
                    let a = tokio::spawn(async move { copy(ir, fw, &c2, there).await });
                    copy(fr, iw, &cuts, (there.1, there.0)).await;
                    a.abort();
                });
            }
        });
        Ok(())
    }

    pub fn cut(&self, pairs: impl IntoIterator<Item = (IpAddr, IpAddr)>) {
        self.cuts.send_modify(|c| c.extend(pairs));
    }

    pub fn heal(&self, pairs: &BlockedLinks) {
        self.cuts.send_modify(|c| c.retain(|p| !pairs.contains(p)));
    }
}

async fn wait_until_unblocked(cuts: &watch::Sender<BlockedLinks>, pair: (IpAddr, IpAddr)) {
    let _ = cuts.subscribe().wait_for(|c| !c.contains(&pair)).await;
}

async fn copy(
    mut r: OwnedReadHalf,
    mut w: OwnedWriteHalf,
    cuts: &watch::Sender<BlockedLinks>,
    pair: (IpAddr, IpAddr),
) {
    let mut buf = vec![0u8; 16 << 10];
    while let Ok(n) = r.read(&mut buf).await {
        wait_until_unblocked(cuts, pair).await;
        if n == 0 || w.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    let _ = w.shutdown().await;
}
