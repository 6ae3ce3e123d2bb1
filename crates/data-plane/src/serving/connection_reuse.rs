//! Decides whether a connection to a replica may carry another request (design 9.4), without I/O.
//! [`super::connection`] asks for the [`CleanEnd`] that is made here as the proof.

use super::attempt_state::RequestTraits;
use common::mutation;

/// Longest time that a connection may be idle and still be reused.
pub const MAX_IDLE_MS: u64 = 2_000;

/// Whether a request may be sent on a connection that has carried others: only if it may run more than once, since
/// the peer may close an idle connection while the request is being sent, and only if it carries an id by which its
/// own answer can be told from another's.
pub fn may_reuse(request: RequestTraits) -> bool {
    (request.idempotent || mutation::enabled("write-on-kept"))
        && (request.has_id || mutation::enabled("no-id-on-kept"))
}

/// What a replica says about the connection in the head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeepAlive {
    /// The replica closes it.
    Close,
    /// The replica keeps it open, for this many milliseconds if it said how long.
    Open(Option<u64>),
}

impl KeepAlive {
    /// Parses the headers `Connection` and `Keep-Alive`; HTTP/1.0 closes the connection unless it says otherwise.
    pub fn of(http_1_0: bool, connection: &str, keep_alive: &str) -> Self {
        let has = |token: &str| connection.split(',').any(|t| t.trim().eq_ignore_ascii_case(token));
        if has("close") || (http_1_0 && !has("keep-alive")) {
            return Self::Close;
        }
        let seconds = |field: &str| {
            let (name, value) = field.split_once('=')?;
            let timeout = name.trim().eq_ignore_ascii_case("timeout");
            timeout.then(|| value.trim().trim_matches('"').parse::<u64>().ok())?
        };
        Self::Open(keep_alive.split(',').find_map(seconds).map(|s| s.saturating_mul(1_000)))
    }
}

/// How reading a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BodyEnd {
    /// It was not read to its end.
    Unread,
    /// It was read to its regular end.
    Complete,
    /// It broke off.
    Broken,
}

/// Proof that an exchange ended cleanly. Only [`clean_end`] makes one, and a connection in use becomes idle only with
/// it.
#[derive(Debug)]
pub struct CleanEnd {
    idle_ms: u64,
}

impl CleanEnd {
    /// How many milliseconds the connection may be idle and still be reused.
    pub fn idle_ms(&self) -> u64 {
        self.idle_ms
    }
}

/// How an exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ExchangeEnd {
    /// The whole request was sent; an answer may arrive before that.
    pub sent: bool,
    /// How reading the body of the answer ended.
    pub body: BodyEnd,
    /// What the replica said about the connection.
    pub keep_alive: KeepAlive,
}

/// Whether a connection may carry another request: the whole request was sent, the answer is complete, and the replica
/// keeps the connection open for a while. Half of the time that the replica announced is used.
pub fn clean_end(end: ExchangeEnd) -> Option<CleanEnd> {
    if end.body != BodyEnd::Complete && !mutation::enabled("kept-after-unread") {
        return None;
    }
    if !end.sent && !mutation::enabled("kept-half-sent") {
        return None;
    }
    let KeepAlive::Open(announced_ms) = end.keep_alive else { return None };
    let idle_ms = announced_ms.map_or(MAX_IDLE_MS, |t| (t / 2).min(MAX_IDLE_MS));
    (idle_ms > 0).then_some(CleanEnd { idle_ms })
}
