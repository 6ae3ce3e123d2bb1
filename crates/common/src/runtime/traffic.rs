//! Counts the traffic in a simulation (design 7.7): calls by kind and endpoints, and all bytes by host. Outside a
//! simulation nothing is counted.

use crate::sync::lock;
use std::{collections::BTreeMap, net::IpAddr, sync::Mutex};

/// Service and step of a call.
pub type CallKind = (&'static str, &'static str);

/// Calls of one kind between two hosts, with the encoded bytes of requests and responses without frame headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Number of calls.
    pub calls: u64,
    /// Number of calls without a response.
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

/// The counted traffic.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Calls by calling host, called host and kind.
    pub calls: BTreeMap<((IpAddr, IpAddr), CallKind), Calls>,
    /// Bytes sent and received by each host, including frame headers, handshakes and HTTP.
    pub bytes: BTreeMap<IpAddr, (u64, u64)>,
}

/// Counts traffic between [`TrafficCounter::begin`] and [`TrafficCounter::end`].
#[derive(Debug, Default)]
pub struct TrafficCounter(Mutex<Option<Traffic>>);

impl TrafficCounter {
    /// Starts counting from zero.
    pub fn begin(&self) {
        *lock(&self.0) = Some(Traffic::default());
    }

    /// Stops counting and returns the counted traffic.
    pub fn end(&self) -> Traffic {
        lock(&self.0).take().unwrap_or_default()
    }

    /// Whether it is counting.
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
