//! Splits a stream of server-sent events into whole events, and measures the pauses between them (design 9.8). No I/O
//! except for one log line.

use super::{attempt::OpenRequest, plan::Plan};
use bytes::{Bytes, BytesMut};
use common::{Tick, log_event};

/// Collects the bytes of a stream and gives out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// The id of the last event that was given out.
    pub last_id: Option<String>,
    /// The stream was resumed after this event, and no whole event with an id has arrived since.
    resumed_after: Option<u64>,
}

impl EventSplitter {
    /// Adds bytes as they arrive.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Takes all events that are whole, as one piece.
    pub fn take_whole_events(&mut self) -> Option<Bytes> {
        let end = self.buf.windows(2).rposition(|w| w == b"\n\n")? + 2;
        let out = self.buf.split_to(end).freeze();
        if let Some(id) = ids(&out).last() {
            self.last_id = Some(id.to_string());
            self.resumed_after = None;
        }
        Some(out)
    }

    /// Whether a resumed stream really continues after the last event that was given out. Ids that are not numbers
    /// can't be compared and are accepted.
    pub fn continues_after_last(&self) -> bool {
        let first = ids(&self.buf).next().and_then(|id| id.parse().ok());
        first.zip(self.resumed_after).is_none_or(|(first, last): (u64, u64)| first > last)
    }

    /// Takes the bytes after the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Prepares for a resumed stream: drops a partial event, since another replica will send it in full.
    pub fn prepare_resume(&mut self) {
        self.buf.clear();
        self.resumed_after = self.last_id.as_ref().and_then(|id| id.parse().ok());
    }
}

/// The ids in these events, by complete lines only. An id must be UTF-8; the other fields may hold any bytes.
fn ids(events: &[u8]) -> impl DoubleEndedIterator<Item = &str> {
    let whole = events.iter().rposition(|b| *b == b'\n').unwrap_or(0);
    let lines = events[..whole].split(|b| *b == b'\n');
    lines.filter_map(|l| std::str::from_utf8(l.strip_prefix(b"id:")?).ok().map(str::trim))
}

/// Measures the pauses of a stream.
pub struct EventPauses {
    last_at: Tick,
    /// Time until the first event.
    first_ms: Option<u64>,
    /// Longest pause between two events.
    longest_gap_ms: u64,
}

impl EventPauses {
    /// The stream of a request that arrived at this time.
    pub fn new(received_at: Tick) -> Self {
        Self { last_at: received_at, first_ms: None, longest_gap_ms: 0 }
    }

    /// Notes that an event was passed on.
    pub fn note_event(&mut self, now: Tick) {
        let pause = now.since(self.last_at);
        self.last_at = now;
        match self.first_ms {
            None => self.first_ms = Some(pause),
            Some(_) => self.longest_gap_ms = self.longest_gap_ms.max(pause),
        }
    }

    /// Logs a stream whose first event was later, or one of whose pauses was longer, than the route allows.
    pub fn log_if_late(&self, plan: &Plan, open: &OpenRequest) {
        let (route, first_ms) = (&plan.route, self.first_ms.unwrap_or(0));
        if first_ms > route.latency_target_ms
            || route.max_event_gap_ms.is_some_and(|gap| self.longest_gap_ms > gap)
        {
            log_event!(Info, "late stream", "peer" => open.replica.addr, "route" => route.name, "first_ms" => first_ms,
                "gap_ms" => self.longest_gap_ms, "tokens" => plan.prompt.tokens_in, "load" => open.replica.load());
        }
    }
}
