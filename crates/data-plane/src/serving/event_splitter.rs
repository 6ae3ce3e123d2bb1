//! What a stream is cut into (design 9.8): whole events, and the pauses between them. Pure but for a
//! log line.

use super::{attempt::Open, plan::Plan};
use bytes::{Bytes, BytesMut};
use common::{Tick, log_event};

/// Cuts whole events out of what has come so far.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    pub last: Option<String>,
    /// The run at hand was to go on behind this event, and has brought none yet.
    behind: Option<u64>,
}

impl Splitter {
    pub fn push(&mut self, b: &[u8]) {
        self.buf.extend_from_slice(b);
    }

    /// All whole events that wait, as one piece.
    pub fn whole(&mut self) -> Option<Bytes> {
        let end = self.buf.windows(2).rposition(|w| w == b"\n\n")? + 2;
        let out = self.buf.split_to(end).freeze();
        if let Some(id) = ids(&out).last() {
            self.last = Some(id.to_string());
            self.behind = None;
        }
        Some(out)
    }

    /// Whether what has come of a run that was to go on lies behind the last event that went out. Ids
    /// that are no numbers can't be compared, and are let through.
    pub fn continues(&self) -> bool {
        let first = ids(&self.buf).next().and_then(|id| id.parse().ok());
        first.zip(self.behind).is_none_or(|(first, behind): (u64, u64)| first > behind)
    }

    /// What is left behind the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Forgets half an event: its whole comes from elsewhere, from a run that is to go on.
    pub fn forget(&mut self) {
        self.buf.clear();
        self.behind = self.last.as_ref().and_then(|id| id.parse().ok());
    }
}

/// The ids of events, of whole lines only. An id must be text: what else an event holds is none of this
/// code's business.
fn ids(events: &[u8]) -> impl DoubleEndedIterator<Item = &str> {
    let whole = events.iter().rposition(|b| *b == b'\n').unwrap_or(0);
    let lines = events[..whole].split(|b| *b == b'\n');
    lines.filter_map(|l| std::str::from_utf8(l.strip_prefix(b"id:")?).ok().map(str::trim))
}

/// The pauses of a stream.
pub struct EventPauses {
    last: Tick,
    first: Option<u64>,
    gap: u64,
}

impl EventPauses {
    pub fn new(came: Tick) -> Self {
        Self { last: came, first: None, gap: 0 }
    }

    pub fn event(&mut self, now: Tick) {
        let pause = now.since(self.last);
        self.last = now;
        match self.first {
            None => self.first = Some(pause),
            Some(_) => self.gap = self.gap.max(pause),
        }
    }

    /// A line for each stream that came late or paused too long.
    pub fn log_if_late(&self, p: &Plan, open: &Open) {
        let first = self.first.unwrap_or(0);
        if first > p.route.latency_target_ms || p.route.max_event_gap_ms.is_some_and(|g| self.gap > g) {
            log_event!(Info, "late stream", "peer" => open.at.addr, "route" => p.route.name, "first_ms" => first,
                "gap_ms" => self.gap, "tokens" => p.prompt.tokens_in, "load" => open.at.load());
        }
    }
}
