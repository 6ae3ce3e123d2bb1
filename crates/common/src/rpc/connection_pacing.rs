//! When a client opens connections to one peer (design 1.8). Pure.
//!
//! A peer that is overloaded answers late. If each late call opened a connection of its own, the handshakes would add to
//! the load and keep the peer overloaded. So the attempts to open a connection are limited, and their distance grows
//! while the peer does not answer.

use crate::clock::Tick;

/// Attempts that may wait at the same time for the TCP connection. Such an attempt costs the peer nothing: its packets
/// are lost, and the attempt that began last gets through first.
const MAX_CONNECTING: u32 = 4;
/// The distance between attempts doubles with each connection that stays without an answer, at most this many times.
const MAX_DOUBLINGS: u32 = 2;
/// Distance between attempts that are refused, as a part of the call timeout. A refusal is cheap.
const REFUSED_DIVISOR: u64 = 8;
/// Range of the random factor on each distance, in percent.
const JITTER_PERCENT: std::ops::Range<usize> = 75..126;

/// How far an attempt to open a connection got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// It waits for the TCP connection.
    Connecting,
    /// The peer's machine has accepted, and the attempt waits for the reply to the handshake.
    Handshaking,
}

/// The attempts to open connections to one peer.
#[derive(Debug, Default)]
pub struct ConnectionPacing {
    connecting: u32,
    handshaking: u32,
    /// Attempts and connections in a row that stayed without an answer.
    unanswered: u32,
    /// No attempt begins before this time.
    next_attempt: Tick,
}

impl ConnectionPacing {
    /// Begins an attempt if one may begin now. `jitter` returns a random number in a range.
    pub fn begin(
        &mut self,
        now: Tick,
        timeout_ms: u64,
        jitter: impl Fn(std::ops::Range<usize>) -> usize,
    ) -> bool {
        let may_begin = self.handshaking == 0 && self.connecting < MAX_CONNECTING && now >= self.next_attempt;
        if may_begin {
            self.connecting += 1;
            let distance_ms = timeout_ms << self.unanswered.min(MAX_DOUBLINGS);
            self.next_attempt = now + jittered(distance_ms, jitter);
        }
        may_begin
    }

    /// The peer's machine accepted the connection of an attempt.
    pub fn connected(&mut self) {
        self.connecting -= 1;
        self.handshaking += 1;
    }

    /// The handshake of an attempt succeeded.
    pub fn opened(&mut self) {
        self.handshaking -= 1;
    }

    /// An attempt failed.
    pub fn failed(&mut self, attempt: Attempt) {
        match attempt {
            Attempt::Connecting => self.connecting -= 1,
            Attempt::Handshaking => {
                self.handshaking -= 1;
                self.unanswered += 1;
            }
        }
    }

    /// An attempt was refused: nothing listens at the peer.
    pub fn refused(&mut self, now: Tick, timeout_ms: u64, jitter: impl Fn(std::ops::Range<usize>) -> usize) {
        self.connecting -= 1;
        self.next_attempt = now + jittered(timeout_ms / REFUSED_DIVISOR, jitter);
    }

    /// Whether no attempt is under way.
    pub fn is_idle(&self) -> bool {
        self.connecting + self.handshaking == 0
    }

    /// The peer answered a call: the next connection to it may be opened at once.
    pub fn answered(&mut self) {
        self.unanswered = 0;
        self.next_attempt = Tick(0);
    }

    /// Whether a connection on which calls stay without an answer is to be replaced now.
    pub fn replace_silent(&mut self, now: Tick) -> bool {
        let replace = now >= self.next_attempt;
        if replace {
            self.unanswered += 1;
        }
        replace
    }
}

fn jittered(distance_ms: u64, jitter: impl Fn(std::ops::Range<usize>) -> usize) -> u64 {
    distance_ms * jitter(JITTER_PERCENT) as u64 / 100
}
