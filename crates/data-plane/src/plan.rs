//! What is decided on a request before anything is sent (design 6.1).

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

/// How a request is to be handled. All but the user key follows from its head alone.
#[derive(Clone)]
pub struct Plan {
    /// Id of the request.
    pub request_id: RequestId,
    /// The configuration by which it is handled, from start to end.
    pub configuration: Arc<ActiveConfiguration>,
    /// The configuration's entry that matches it.
    pub entry: Entry,
    /// The tenant that sent it.
    pub tenant: Option<Tenant>,
    /// Regions in which it may be processed.
    pub homes: BTreeSet<Region>,
    /// The user that sent it, where that is known.
    pub key: Option<UserKey>,
    /// When its final response is due.
    pub deadline: Tick,
    /// Whether a router of another region forwarded it; further attempts are up to that router.
    pub forwarded: bool,
}

/// Why a request gets no plan.
pub struct PlanError {
    /// Status of the response.
    pub code: StatusCode,
    /// The reason, for the response and for metrics.
    pub reason: &'static str,
}

/// Rejects a request before it is planned.
pub fn rejected<T>(code: StatusCode, reason: &'static str) -> Result<T, PlanError> {
    Err(PlanError { code, reason })
}

/// Looks up headers of a request by name; one that is not text counts as absent.
pub fn header_of(head: &Parts) -> impl Fn(&str) -> Option<String> + '_ {
    |name| head.headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_string)
}

impl Plan {
    /// Plans a request by its path and headers, before its body is read.
    pub fn make(
        router: &Router,
        configuration: Arc<ActiveConfiguration>,
        request_id: RequestId,
        head: &Parts,
    ) -> Result<Plan, PlanError> {
        let header = header_of(head);
        let table = &configuration.table;
        let Some(entry) = table.find(head.method.as_str(), head.uri.path(), &header).cloned() else {
            return rejected(StatusCode::NOT_FOUND, "no entry");
        };
        let Ok(tenant) = table.tenant(&header) else {
            return rejected(StatusCode::FORBIDDEN, "unknown tenant");
        };
        let homes = table.homes(&entry, tenant.as_ref());
        if homes.is_empty() {
            return rejected(StatusCode::FORBIDDEN, "no common home of entry and tenant");
        }
        let deadline = router.now() + entry.deadline_ms;
        drop(header);
        Ok(Plan { request_id, configuration, entry, tenant, homes, key: None, deadline, forwarded: false })
    }

    /// Adds the user key, which may depend on the body.
    pub fn with_key(mut self, head: &Parts, body: &[u8]) -> Plan {
        let tenant = self.tenant.as_ref().map(|t| t.as_str()).unwrap_or("");
        let policy = self.configuration.table.policy(&self.entry);
        self.key = user_key(&policy.key, tenant, &header_of(head), body);
        self
    }

    /// The request as each attempt sends it.
    pub fn outgoing_request(head: &Parts, body: bytes::Bytes) -> OutgoingRequest {
        let mut headers = head.headers.clone();
        crate::attempt::strip_internal_headers(&mut headers);
        // The body was read whole, so its length is set anew, whatever framing the client used.
        headers.remove("content-length");
        OutgoingRequest { method: head.method.clone(), uri: head.uri.clone(), headers, body }
    }
}
