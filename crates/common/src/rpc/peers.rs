//! The peers of a client: the open connection to each, and the calls that wait for one. Without input or output.

use super::{Attempt, ConnectionPacing};
use crate::{clock::Tick, error::PeerError, runtime::random_in};
use std::{collections::BTreeMap, net::SocketAddr};
use tarpc::client::Channel;
use tokio::sync::oneshot;

/// A connection is closed once nothing was answered on it for this long and another one is opened, in milliseconds.
const IDLE_MS: u64 = 60_000;

/// An open connection.
pub(super) struct Connection<Q, R> {
    pub(super) channel: Channel<Q, R>,
    /// Number among the connections of this client.
    pub(super) id: u64,
    /// When the last call on it was answered.
    last_answer: Tick,
}

impl<Q, R> Clone for Connection<Q, R> {
    fn clone(&self) -> Self {
        Self { channel: self.channel.clone(), ..*self }
    }
}

/// A connection, or why none could be opened.
pub(super) type Opened<Q, R> = Result<Connection<Q, R>, PeerError>;

/// What the client knows of a peer.
pub(super) struct Peer<Q, R> {
    pub(super) connection: Option<Connection<Q, R>>,
    pub(super) pacing: ConnectionPacing,
    /// Calls that wait for a connection.
    waiting: Vec<oneshot::Sender<Opened<Q, R>>>,
}

impl<Q, R> Default for Peer<Q, R> {
    fn default() -> Self {
        Self { connection: None, pacing: ConnectionPacing::default(), waiting: Vec::new() }
    }
}

impl<Q, R> Peer<Q, R> {
    /// Adds a call that waits for the connection that is being opened.
    pub(super) fn wait(&mut self) -> oneshot::Receiver<Opened<Q, R>> {
        let (sender, opened) = oneshot::channel();
        self.waiting.retain(|waiting| !waiting.is_closed());
        self.waiting.push(sender);
        opened
    }

    fn answer_waiting(&mut self, opened: impl Fn() -> Opened<Q, R>) {
        for waiting in self.waiting.drain(..) {
            let _ = waiting.send(opened());
        }
    }

    fn is_in_use(&self, now: Tick) -> bool {
        let recent = |connection: &Connection<Q, R>| now.since(connection.last_answer) < IDLE_MS;
        !self.pacing.is_idle() || self.connection.as_ref().is_some_and(recent)
    }
}

/// The peers of a client by their addresses.
pub(super) struct Peers<Q, R> {
    by_address: BTreeMap<SocketAddr, Peer<Q, R>>,
    /// Connections that were opened so far.
    pub(super) opened: u64,
}

impl<Q, R> Default for Peers<Q, R> {
    fn default() -> Self {
        Self { by_address: BTreeMap::new(), opened: 0 }
    }
}

impl<Q, R> Peers<Q, R> {
    pub(super) fn peer(&mut self, to: SocketAddr) -> &mut Peer<Q, R> {
        self.by_address.entry(to).or_default()
    }

    /// Records that a call was answered on the connection with this number.
    pub(super) fn note_answer(&mut self, to: SocketAddr, id: u64, now: Tick) {
        let peer = self.peer(to);
        peer.pacing.answered();
        if let Some(connection) = peer.connection.as_mut().filter(|connection| connection.id == id) {
            connection.last_answer = now;
        }
    }

    /// Drops the connection of a failed call, so that the next call opens a new one. A connection on which only this
    /// call timed out is kept: a peer that is merely slow would have the work of a new handshake as well.
    pub(super) fn note_failure(&mut self, to: SocketAddr, id: u64, sent: Tick, now: Tick, error: &PeerError) {
        let peer = self.peer(to);
        let Some(connection) = peer.connection.as_ref().filter(|connection| connection.id == id) else {
            return;
        };
        let silent = connection.last_answer < sent;
        if !error.is_timed_out() || (silent && peer.pacing.replace_silent(now)) {
            peer.connection = None;
        }
    }

    /// Keeps a connection that was opened, and hands it to the calls that wait for it.
    pub(super) fn note_opened(&mut self, to: SocketAddr, channel: Channel<Q, R>, now: Tick) {
        self.opened += 1;
        let connection = Connection { channel, id: self.opened, last_answer: now };
        let peer = self.peer(to);
        peer.pacing.opened();
        peer.answer_waiting(|| Ok(connection.clone()));
        peer.connection = Some(connection);
        self.by_address.retain(|_, peer| peer.is_in_use(now));
    }

    /// Records a failed attempt. Calls that wait fail once no other attempt is under way.
    pub(super) fn note_open_failed(
        &mut self,
        to: SocketAddr,
        attempt: Attempt,
        error: &PeerError,
        now: Tick,
        timeout_ms: u64,
    ) {
        let peer = self.peer(to);
        if error.is_refused() {
            peer.pacing.refused(now, timeout_ms, random_in);
        } else {
            peer.pacing.failed(attempt);
        }
        if peer.pacing.is_idle() {
            peer.answer_waiting(|| Err(error.clone()));
        }
    }
}
