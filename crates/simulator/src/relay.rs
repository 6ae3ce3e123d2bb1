//! TCP relays between nodes (design 7.2): each node advertises its relay's address, so that links can be
//! cut per pair of nodes and direction. A cut holds bytes back; as with TCP, none are lost or altered.

use crate::{fleet::Fleet, node::Launcher};
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

/// Links (from, to) that carry no bytes.
pub type BlockedLinks = BTreeSet<(IpAddr, IpAddr)>;

/// All relays of a fleet; they share the set of blocked links.
#[derive(Clone)]
pub struct Relays {
    blocked: Arc<watch::Sender<BlockedLinks>>,
}

impl Default for Relays {
    fn default() -> Self {
        Self { blocked: Arc::new(watch::channel(BlockedLinks::new()).0) }
    }
}

impl Relays {
    /// Listens at `at` and relays every connection to `to`.
    pub async fn add(&self, at: SocketAddr, to: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(at).await?;
        let blocked = self.blocked.clone();
        tokio::spawn(async move {
            loop {
                let Ok((near, from)) = listener.accept().await else { continue };
                let blocked = blocked.clone();
                tokio::spawn(async move {
                    let link = (from.ip(), to.ip());
                    wait_until_unblocked(&blocked, link).await;
                    let Ok(far) = TcpStream::connect(to).await else { return };
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    let ((near_reader, near_writer), (far_reader, far_writer)) =
                        (near.into_split(), far.into_split());
                    let blocked_forward = blocked.clone();
                    let forward =
                        tokio::spawn(
                            async move { copy(near_reader, far_writer, &blocked_forward, link).await },
                        );
                    copy(far_reader, near_writer, &blocked, (link.1, link.0)).await;
                    forward.abort();
                });
            }
        });
        Ok(())
    }

    /// Blocks these links.
    pub fn cut(&self, links: impl IntoIterator<Item = (IpAddr, IpAddr)>) {
        self.blocked.send_modify(|c| c.extend(links));
    }

    /// Unblocks these links.
    pub fn heal(&self, links: &BlockedLinks) {
        self.blocked.send_modify(|c| c.retain(|p| !links.contains(p)));
    }
}

impl Fleet {
    /// The links that a cut names: `p1` to and from all others, `p1>` only from it, `s1--s2` between the two.
    pub fn links_of(&self, target: &str) -> BlockedLinks {
        let named = |n: &str| {
            self.nodes
                .iter()
                .filter(|x| x.name == n || x.zone == n || (n == "core" && x.is_control))
                .map(|x| x.ip)
                .collect::<Vec<_>>()
        };
        let all: Vec<IpAddr> = self.nodes.iter().map(|n| n.ip).collect();
        let (from, to, both_ways) = match (target.strip_suffix('>'), target.split_once("--")) {
            (Some(n), _) => (named(n), all, false),
            (_, Some((from, to))) => (named(from), named(to), true),
            _ => (named(target), all, true),
        };
        let inside = from.clone();
        let outgoing = from.iter().flat_map(|x| to.iter().map(move |y| (*x, *y)));
        let outgoing: Vec<_> = outgoing.filter(|(_, y)| !inside.contains(y)).collect();
        outgoing.iter().flat_map(|(x, y)| [Some((*x, *y)), both_ways.then_some((*y, *x))]).flatten().collect()
    }

    /// Cuts the links that `target` names.
    pub fn cut(&self, target: &str) {
        match &self.launcher {
            Launcher::Processes(_) => self.relays.cut(self.links_of(target)),
            Launcher::Simulation(simulation) => simulation.partition(self.links_of(target)),
        }
    }

    /// Restores the links that `target` names.
    pub fn heal(&self, target: &str) {
        match &self.launcher {
            Launcher::Processes(_) => self.relays.heal(&self.links_of(target)),
            Launcher::Simulation(simulation) => simulation.heal(&self.links_of(target)),
        }
    }
}

async fn wait_until_unblocked(blocked: &watch::Sender<BlockedLinks>, link: (IpAddr, IpAddr)) {
    let _ = blocked.subscribe().wait_for(|c| !c.contains(&link)).await;
}

/// Copies bytes in one direction, and holds them back while the link is blocked.
async fn copy(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    blocked: &watch::Sender<BlockedLinks>,
    link: (IpAddr, IpAddr),
) {
    let mut buf = vec![0u8; 16 << 10];
    while let Ok(n) = reader.read(&mut buf).await {
        wait_until_unblocked(blocked, link).await;
        if n == 0 || writer.write_all(&buf[..n]).await.is_err() {
            break;
        }
    }
    let _ = writer.shutdown().await;
}
