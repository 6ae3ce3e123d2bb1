//! A request's plan, made as data before anything is done (design 6.1).

use crate::{
    attempt::OutgoingRequest,
    placement_table::UserKey,
    router::{ActiveConfiguration, Router},
    user_key::user_key,
};
use common::{Region, RequestId, Tenant, Tick};
use configuration::Entry;
use hyper::{StatusCode, http::request::Parts};
use std::{collections::BTreeSet, sync::Arc};

/// All that is decided from the head alone.
#[derive(Clone)]
pub struct Plan {
    pub request_id: RequestId,
    pub configuration: Arc<ActiveConfiguration>,
    pub entry: Entry,
    pub tenant: Option<Tenant>,
    pub homes: BTreeSet<Region>,
    pub key: Option<UserKey>,
    pub deadline: Tick,
    /// Arrived from a router of another region: attempts are its to repeat, not ours.
    pub forwarded: bool,
}

/// Why a request gets no plan.
pub struct PlanError {
    pub code: StatusCode,
    pub reason: &'static str,
}

pub fn rejected<T>(code: StatusCode, reason: &'static str) -> Result<T, PlanError> {
    Err(PlanError { code, reason })
}

pub fn header_of(head: &Parts) -> impl Fn(&str) -> Option<String> + '_ {
    |k| head.headers.get(k).and_then(|v| v.to_str().ok()).map(str::to_string)
}

impl Plan {
    /// Entry, tenant and homes, from path and headers alone: known before any body is read.
    pub fn make(
        r: &Router,
        g: Arc<ActiveConfiguration>,
        request_id: RequestId,
        head: &Parts,
    ) -> Result<Plan, PlanError> {
        let header = header_of(head);
        let Some(entry) = g.table.find(head.method.as_str(), head.uri.path(), &header).cloned() else {
            return rejected(StatusCode::NOT_FOUND, "no entry");
        };
        let Ok(tenant) = g.table.tenant(&header) else {
            return rejected(StatusCode::FORBIDDEN, "unknown tenant");
        };
        let homes = g.table.homes(&entry, tenant.as_ref());
        if homes.is_empty() {
            return rejected(StatusCode::FORBIDDEN, "no common home of entry and tenant");
        }
        let deadline = r.now() + entry.deadline_ms;
        drop(header);
        Ok(Plan { request_id, configuration: g, entry, tenant, homes, key: None, deadline, forwarded: false })
    }

    /// The user key, once the body is there.
    pub fn with_key(mut self, head: &Parts, body: &[u8]) -> Plan {
        let tenant = self.tenant.as_ref().map(|t| t.as_str()).unwrap_or("");
        let pol = self.configuration.table.policy(&self.entry);
        self.key = user_key(&pol.key, tenant, &header_of(head), body);
        self
    }

    pub fn outgoing_request(head: &Parts, body: bytes::Bytes) -> OutgoingRequest {
        let mut headers = head.headers.clone();
        crate::attempt::strip_internal_headers(&mut headers);
        // The body was read whole: its length is known, whatever the caller's framing was.
        headers.remove("content-length");
        OutgoingRequest { method: head.method.clone(), uri: head.uri.clone(), headers, body }
    }
}
