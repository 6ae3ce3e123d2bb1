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
    /// Listens at `listen_at` and relays every connection to `target`.
    pub async fn add(&self, listen_at: SocketAddr, target: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(listen_at).await?;
        let blocked = self.blocked.clone();
        tokio::spawn(async move {
            loop {
                let Ok((incoming, from)) = listener.accept().await else { continue };
                let blocked = blocked.clone();
                tokio::spawn(async move {
                    let link = (from.ip(), target.ip());
                    wait_until_unblocked(&blocked, link).await;
                    let Ok(onward) = TcpStream::connect(target).await else { return };
                    let _ = (incoming.set_nodelay(true), onward.set_nodelay(true));
                    let ((incoming_reader, incoming_writer), (onward_reader, onward_writer)) =
                        (incoming.into_split(), onward.into_split());
                    let blocked_forward = blocked.clone();
                    let forward = tokio::spawn(async move {
                        copy(incoming_reader, onward_writer, &blocked_forward, link).await;
                    });
                    copy(onward_reader, incoming_writer, &blocked, (link.1, link.0)).await;
                    forward.abort();
                });
            }
        });
        Ok(())
    }

    /// Blocks these links.
    pub fn cut(&self, links: impl IntoIterator<Item = (IpAddr, IpAddr)>) {
        self.blocked.send_modify(|blocked| blocked.extend(links));
    }

    /// Unblocks these links.
    pub fn heal(&self, links: &BlockedLinks) {
        self.blocked.send_modify(|blocked| blocked.retain(|link| !links.contains(link)));
    }
}

impl Fleet {
    /// The links that a cut names: `p1` to and from all others, `p1>` only from it, `s1--s2` between the two.
    pub fn links_of(&self, target: &str) -> BlockedLinks {
        let named = |name: &str| {
            self.nodes
                .iter()
                .filter(|node| node.name == name || node.zone == name || (name == "core" && node.is_control))
                .map(|node| node.ip)
                .collect::<Vec<_>>()
        };
        let all: Vec<IpAddr> = self.nodes.iter().map(|node| node.ip).collect();
        let (from, to, both_ways) = match (target.strip_suffix('>'), target.split_once("--")) {
            (Some(name), _) => (named(name), all, false),
            (_, Some((from, to))) => (named(from), named(to), true),
            _ => (named(target), all, true),
        };
        let inside = from.clone();
        let outgoing =
            from.iter().flat_map(|source| to.iter().map(move |destination| (*source, *destination)));
        let outgoing: Vec<_> = outgoing.filter(|(_, destination)| !inside.contains(destination)).collect();
        outgoing
            .iter()
            .flat_map(|(source, destination)| {
                [Some((*source, *destination)), both_ways.then_some((*destination, *source))]
            })
            .flatten()
            .collect()
    }

    /// Cuts the links that `target` names.
    pub fn cut(&self, target: &str) {
        match &self.launcher {
            Launcher::Processes(_) | Launcher::ProcessesOfCluster(..) => {
                self.relays.cut(self.links_of(target));
            }
            Launcher::Simulation(simulation) => simulation.partition(self.links_of(target)),
        }
    }

    /// Restores the links that `target` names.
    pub fn heal(&self, target: &str) {
        match &self.launcher {
            Launcher::Processes(_) | Launcher::ProcessesOfCluster(..) => {
                self.relays.heal(&self.links_of(target));
            }
            Launcher::Simulation(simulation) => simulation.heal(&self.links_of(target)),
        }
    }
}

async fn wait_until_unblocked(blocked: &watch::Sender<BlockedLinks>, link: (IpAddr, IpAddr)) {
    let _ = blocked.subscribe().wait_for(|links| !links.contains(&link)).await;
}

/// Copies bytes in one direction, and holds them back while the link is blocked.
async fn copy(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    blocked: &watch::Sender<BlockedLinks>,
    link: (IpAddr, IpAddr),
) {
    let mut buf = vec![0u8; 16 << 10];
    while let Ok(count) = reader.read(&mut buf).await {
        wait_until_unblocked(blocked, link).await;
        if count == 0 || writer.write_all(&buf[..count]).await.is_err() {
            break;
        }
    }
    let _ = writer.shutdown().await;
}
