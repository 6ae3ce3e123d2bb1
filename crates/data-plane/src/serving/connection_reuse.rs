//! Whether a connection to a replica may carry another request (design 9.4): pure decisions, and the
//! proof of a clean end that [`super::connection`] asks for.

use super::attempt_state::RequestTraits;
use common::mutation::enabled as broken;

/// Longest time for which an idle connection is used again.
pub const MAX_IDLE_MS: u64 = 2_000;

/// Whether a request may be put on a connection that has carried others: only what may run again,
/// since an idle connection may be reset under it, and only what can tell its own answer.
pub fn may_reuse(asked: RequestTraits) -> bool {
    (asked.idempotent || broken("write-on-kept")) && (asked.has_id || broken("no-id-on-kept"))
}

/// What a replica says of the connection in an answer's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum KeepAlive {
    Close,
    /// Kept open, for as long as it told, if it told.
    Open(Option<u64>),
}

impl KeepAlive {
    /// Reads `Connection` and `Keep-Alive`; HTTP/1.0 closes unless it says otherwise.
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

/// How far a body was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BodyEnd {
    /// Not to its end.
    Unread,
    Whole,
    Broken,
}

/// The proof that an exchange ended cleanly: only [`clean_end`] makes one, and nothing else makes an
/// idle connection of one in use.
#[derive(Debug)]
pub struct CleanEnd {
    idle_ms: u64,
}

impl CleanEnd {
    /// For how long the connection may be used again.
    pub fn idle_ms(&self) -> u64 {
        self.idle_ms
    }
}

/// How an exchange ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ExchangeEnd {
    /// All of the request has left: an answer may come before.
    pub sent: bool,
    pub body: BodyEnd,
    pub said: KeepAlive,
}

/// Whether a connection may carry another request: the request has left whole, its own answer came whole,
/// and the replica keeps the connection for a while. Half of the time that it told is used.
pub fn clean_end(end: ExchangeEnd) -> Option<CleanEnd> {
    if end.body != BodyEnd::Whole && !broken("kept-after-unread") {
        return None;
    }
    if !end.sent && !broken("kept-half-sent") {
        return None;
    }
    let KeepAlive::Open(told_ms) = end.said else { return None };
    let idle_ms = told_ms.map_or(MAX_IDLE_MS, |t| (t / 2).min(MAX_IDLE_MS));
    (idle_ms > 0).then_some(CleanEnd { idle_ms })
}
