//! Who a request belongs to (design 9.9): its API key names the tenant. The key stays here; replicas are told the
//! tenant's name, whatever the client called itself.

use super::{protocol::HeaderNames, state::Serving};
use configuration::{Route, RouteMap, TenantPolicy};
use hyper::{
    HeaderMap,
    header::{AUTHORIZATION, HeaderValue},
};
use std::sync::Arc;

/// The request carries a key that no tenant holds, or none where its route asks for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unauthenticated;

/// The key that a request carries. More than one credential names nobody.
pub fn api_key<'a>(names: &HeaderNames, headers: &'a HeaderMap) -> Option<&'a str> {
    let mut credentials = headers.get_all(AUTHORIZATION).iter();
    let (credential, None) = (credentials.next()?, credentials.next()) else { return None };
    let (scheme, key) = credential.to_str().ok()?.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case(names.key_scheme).then(|| key.trim()).filter(|key| !key.is_empty())
}

/// The tenant of a request; `None` where the document has no tenants, or the route asks for no key and the request
/// carries none.
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
    /// Takes the credentials out of a request and names its tenant in their place, where the document has tenants.
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
