//! Sends heartbeats to a bounded number of members (design 3.5), and learns of the others from their answers.

use crate::{
    contact_ages::ContactAges,
    router::{Router, lock},
    rpc::{RouterRequest, RouterResponse},
};
use common::{Index, NodeId, Tick, rendezvous::ranked};
use control_plane::{
    ClusterState, Member, Role,
    rpc::{ControlRequest, ControlResponse},
};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Most members of the own zone, and most members of all zones, that a router sends heartbeats to. With this many, the
/// contacts of a cluster of several hundred routers reach a majority in three rounds.
pub const MAX_PEERS: usize = 8;
/// Age at which a contact is dropped, in lease durations.
const CONTACT_RETENTION_LEASES: u64 = 10;
/// Heartbeats of the leader between two rounds while contacts are passed on: several rounds fit into the time between the
/// first doubt about a lease and its end.
const RELAY_ROUND_HEARTBEATS: u64 = 2;

/// What a member answered to a heartbeat.
struct Answer {
    index: Index,
    contacts: Option<ContactAges>,
}

/// At most [`MAX_PEERS`] of `members`, which are in the order of their names, others than `own`: the next one by name, so
/// that each is chosen by some node, and the first ones of an order of this node's own.
pub fn select_peers<'a>(own: &NodeId, members: impl Iterator<Item = &'a Member>) -> Vec<&'a Member> {
    let mut others: Vec<&Member> = members.filter(|member| member.info.node != *own).collect();
    let before = others.partition_point(|member| member.info.node < *own);
    others.rotate_left(before);
    let Some((next, rest)) = others.split_first() else { return Vec::new() };
    let order = ranked(own.as_str(), rest, |member| member.info.node.as_str());
    std::iter::once(*next).chain(order.into_iter().copied()).take(MAX_PEERS).collect()
}

impl Router {
    /// Whether contacts with the members count now: the lease is in doubt, and this node could serve without it.
    pub(crate) fn needs_contacts(&self) -> bool {
        self.member.caught_up() && self.lease_in_doubt()
    }

    /// Whether this node learns of members from others, since there are too many to send heartbeats to each.
    fn relays_contacts(&self, state: &ClusterState) -> bool {
        self.needs_contacts() && state.members.len() > MAX_PEERS + 1
    }

    /// Sends heartbeats for as long as the node runs: in each renewal interval, and faster while contacts are passed on.
    pub async fn send_heartbeats(self: Arc<Self>) {
        let timing = &self.settings.timing;
        let step_ms = timing.heartbeat_ms() * RELAY_ROUND_HEARTBEATS;
        let mut next_round = self.now();
        let mut in_doubt = false;
        loop {
            let state = self.cluster_state();
            let doubt_begins = self.needs_contacts() && !in_doubt;
            in_doubt = self.needs_contacts();
            if self.now() >= next_round || doubt_begins {
                let pause_ms =
                    if self.relays_contacts(&state) { step_ms } else { timing.renew_interval_ms() };
                next_round = self.now() + pause_ms;
                self.send_round(&state);
            }
            let pause_ms = next_round.since(self.now()).clamp(1, step_ms);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Sends one heartbeat to each peer: members of the own zone, since clients are referred to them, and members
    /// of all zones while contacts with them count.
    fn send_round(self: &Arc<Self>, state: &ClusterState) {
        self.record_contact_events();
        let members = || state.members.values();
        let zone_peers =
            select_peers(self.node(), members().filter(|member| member.info.zone == *self.zone()));
        let mut peers = zone_peers.clone();
        if self.needs_contacts() {
            peers.extend(select_peers(self.node(), members()));
            peers.sort_by(|a, b| a.info.node.cmp(&b.info.node));
            peers.dedup_by(|a, b| a.info.node == b.info.node);
        }
        let relayed = self.relays_contacts(state);
        for member in &peers {
            // A peer that has not answered the last heartbeat is busy or gone: more of them would not help.
            if lock(&self.heartbeats_in_flight).insert(member.info.node.clone()) {
                common::runtime::spawn(self.clone().send_heartbeat((*member).clone(), state.index, relayed));
            }
        }
        lock(&self.refusing_nodes).retain(|node| peers.iter().any(|peer| peer.info.node == *node));
        *lock(&self.zone_peers) = zone_peers.into_iter().map(|member| member.info.node.clone()).collect();
        self.sweep();
    }

    fn sweep(&self) {
        let (retention_ms, now) = (self.settings.timing.lease_ms * CONTACT_RETENTION_LEASES, self.now());
        lock(&self.last_contacts).retain(|_, at| now.since(*at) < retention_ms);
        lock(&self.placements).sweep(now);
    }

    /// Sends one heartbeat, and records the contact as of the time before it was sent: a response may lie unread in a
    /// socket for as long as this process is suspended. The future runs in a task of its own.
    fn send_heartbeat(
        self: Arc<Self>,
        member: Member,
        index: Index,
        relayed: bool,
    ) -> impl Future<Output = ()> + Send {
        let sent = self.now();
        async move {
            let (answered, source) = match member.info.role {
                Role::Router => {
                    (self.router_heartbeat(&member, index, relayed).await, Some(member.info.rpc_addr))
                }
                Role::Control => (self.control_heartbeat(&member, index).await, None),
            };
            lock(&self.heartbeats_in_flight).remove(&member.info.node);
            let Some(answer) = answered else { return };
            if self.obtain_state(answer.index, source).await {
                self.record_contact(member.info.node, answer.contacts, sent);
            }
        }
    }

    /// What a router answers; `None` without a response from the incarnation that is a member.
    async fn router_heartbeat(&self, member: &Member, index: Index, relayed: bool) -> Option<Answer> {
        let (address, node) = (member.info.rpc_addr, &member.info.node);
        let request =
            if relayed { RouterRequest::Contacts { index } } else { RouterRequest::Heartbeat { index } };
        let response = match self.rpc_client.call("heartbeat", address, request).await {
            Ok(response) => response,
            Err(error) => {
                // Nothing listens there any more: the node is unreachable without waiting for the contact to age.
                if error.is_refused() {
                    lock(&self.last_contacts).remove(node);
                }
                return None;
            }
        };
        let (index, incarnation, fit, contacts) = match response {
            RouterResponse::HeartbeatAck { index, incarnation, fit } => (index, incarnation, fit, None),
            RouterResponse::Contacts { index, incarnation, fit, contacts } => {
                (index, incarnation, fit, Some(contacts))
            }
            _ => return None,
        };
        if incarnation != member.info.incarnation {
            return None;
        }
        self.note_fitness(node, fit);
        Some(Answer { index, contacts })
    }

    fn note_fitness(&self, node: &NodeId, fit: bool) {
        let mut refusing = lock(&self.refusing_nodes);
        if fit {
            refusing.remove(node);
        } else {
            refusing.insert(node.clone());
        }
    }

    /// What a control node answers.
    async fn control_heartbeat(&self, member: &Member, index: Index) -> Option<Answer> {
        let request = ControlRequest::Heartbeat { index };
        match self.member.control.call("heartbeat", member.info.rpc_addr, request).await {
            Ok(ControlResponse::HeartbeatAck { index }) => Some(Answer { index, contacts: None }),
            _ => None,
        }
    }

    /// Waits until this node's copy of the cluster state is as new as that of a peer. While leases are renewed, the
    /// control nodes bring the state, so the peer is asked for it only if they don't in time. Returns whether the copy is that
    /// new.
    async fn obtain_state(&self, index: Index, peer: Option<SocketAddr>) -> bool {
        let mut applied = self.member.applied.subscribe();
        if !self.needs_contacts() || peer.is_none() {
            let wait = Duration::from_millis(self.settings.timing.renew_interval_ms());
            let _ = tokio::time::timeout(wait, applied.wait_for(|applied| *applied >= index)).await;
        }
        if let Some(peer) = peer.filter(|_| self.member.caught_up()) {
            self.fetch_state_from(peer, index).await;
        }
        self.cluster_state().index >= index
    }

    /// Fetches the cluster state of a peer whose state is newer than this node's.
    async fn fetch_state_from(&self, peer: SocketAddr, index: Index) {
        let have = self.cluster_state().index;
        if index <= have {
            return;
        }
        if let Ok(RouterResponse::StateUpdate(update)) =
            self.rpc_client.call("fetch state", peer, RouterRequest::FetchState { have }).await
        {
            let _ = self.member.install(update, &peer.to_string());
        }
    }

    /// Records a contact, and those that the peer passed on.
    fn record_contact(&self, node: NodeId, passed_on: Option<ContactAges>, sent: Tick) {
        let mut contacts = lock(&self.last_contacts);
        let known = contacts.entry(node).or_default();
        *known = sent.max(*known);
        if let Some(ages) = passed_on {
            ages.merge_into(&mut contacts, &self.cluster_state(), sent);
        }
    }

    /// The answer to a router that wants this node's contacts.
    pub(crate) fn answer_contacts(&self) -> RouterResponse {
        let lease_ms = self.settings.timing.lease_ms;
        let (index, contacts) = {
            // A contact is recorded after the state that it needs, so the state read under the lock is new enough.
            let contacts = lock(&self.last_contacts);
            let state = self.cluster_state();
            (state.index, ContactAges::new(&state, self.node(), &contacts, self.now(), lease_ms))
        };
        RouterResponse::Contacts {
            index,
            incarnation: self.member.info.incarnation,
            fit: self.takes_new_work(),
            contacts,
        }
    }
}
