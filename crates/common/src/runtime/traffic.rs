//! Counts what travels in a simulation (design 7.7): calls by kind and ends, and all bytes by host. Daemons on the
//! machine's own network count nothing here.

use crate::sync::lock;
use std::{collections::BTreeMap, net::IpAddr, sync::Mutex};

/// Service and step of a call.
pub type CallKind = (&'static str, &'static str);

/// Calls of one kind at one end, with the encoded bytes of requests and responses, frames apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// All calls.
    pub calls: u64,
    /// Those without a response.
    pub failed: u64,
    /// Bytes of requests.
    pub request_bytes: u64,
    /// Bytes of responses.
    pub response_bytes: u64,
}

impl Calls {
    fn add(&mut self, request_bytes: usize, response_bytes: Option<usize>) {
        self.calls += 1;
        self.failed += u64::from(response_bytes.is_none());
        self.request_bytes += request_bytes as u64;
        self.response_bytes += response_bytes.unwrap_or(0) as u64;
    }
}

/// What was counted.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Calls by the host that made them and the one that was called.
    pub calls: BTreeMap<((IpAddr, IpAddr), CallKind), Calls>,
    /// All bytes that a host sent and received, frames, handshakes and HTTP among them.
    pub bytes: BTreeMap<IpAddr, (u64, u64)>,
}

/// Counts traffic between `begin` and `end`.
#[derive(Debug, Default)]
pub struct TrafficCounter(Mutex<Option<Traffic>>);

impl TrafficCounter {
    /// Begins to count, from nothing.
    pub fn begin(&self) {
        *lock(&self.0) = Some(Traffic::default());
    }

    /// Ends the count and returns it.
    pub fn end(&self) -> Traffic {
        lock(&self.0).take().unwrap_or_default()
    }

    /// Whether it counts now.
    pub fn is_counting(&self) -> bool {
        lock(&self.0).is_some()
    }

    /// Counts one call; `response_bytes` is the length of its response, if there was one.
    pub(crate) fn call(
        &self,
        (from, to): (IpAddr, IpAddr),
        kind: CallKind,
        request_bytes: usize,
        response_bytes: Option<usize>,
    ) {
        let mut counted = lock(&self.0);
        let Some(traffic) = counted.as_mut() else { return };
        traffic.calls.entry(((from, to), kind)).or_default().add(request_bytes, response_bytes);
    }

    pub(super) fn bytes(&self, from: IpAddr, to: IpAddr, count: usize) {
        if let Some(traffic) = lock(&self.0).as_mut() {
            traffic.bytes.entry(from).or_default().0 += count as u64;
            traffic.bytes.entry(to).or_default().1 += count as u64;
        }
    }
}
