//! Finds the tenant that a request belongs to by its API key (design 9.9). The key is not passed on; replicas get the
//! tenant's name instead, whatever name the client sent.

use super::{protocol::HeaderNames, state::Serving};
use configuration::{Route, RouteMap, TenantPolicy};
use hyper::{
    HeaderMap,
    header::{AUTHORIZATION, HeaderValue},
};
use std::sync::Arc;

/// The request carries a key that belongs to no tenant, or it carries no key although its route requires one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unauthenticated;

/// The API key that a request carries. A request with more than one credential counts as having none.
pub fn api_key<'a>(names: &HeaderNames, headers: &'a HeaderMap) -> Option<&'a str> {
    let mut credentials = headers.get_all(AUTHORIZATION).iter();
    let (credential, None) = (credentials.next()?, credentials.next()) else { return None };
    let (scheme, key) = credential.to_str().ok()?.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case(names.key_scheme).then(|| key.trim()).filter(|key| !key.is_empty())
}

/// The tenant of a request; `None` if the configuration has no tenants, or if the route is public and the request
/// carries no credential.
///
/// # Errors
/// See [`Unauthenticated`].
pub fn tenant(
    names: &HeaderNames,
    map: &RouteMap,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Arc<TenantPolicy>>, Unauthenticated> {
    let Some(tenants) = &map.tenants else { return Ok(None) };
    if route.public && !headers.contains_key(AUTHORIZATION) {
        return Ok(None);
    }
    let holder = api_key(names, headers).and_then(|key| tenants.holder(key));
    holder.cloned().map(Some).ok_or(Unauthenticated)
}

impl Serving {
    /// Replaces the credentials of a request by the name of its tenant, if the configuration has tenants.
    pub(super) fn name_tenant(&self, map: &RouteMap, tenant: Option<&TenantPolicy>, headers: &mut HeaderMap) {
        if map.tenants.is_none() {
            return;
        }
        let names = self.protocol.header_names();
        headers.remove(AUTHORIZATION);
        headers.remove(&names.tenant);
        let name = tenant.and_then(|tenant| HeaderValue::from_str(tenant.name.as_str()).ok());
        if let Some(name) = name {
            headers.insert(names.tenant.clone(), name);
        }
    }
}
