//! Tenants and their API keys (design 4.10): which tenant a request belongs to, and the rules of that tenant.

use crate::routes::Route;
use common::{Region, Tenant};
use std::{
    borrow::Borrow,
    collections::{BTreeSet, HashMap, hash_map::Entry},
    fmt,
    sync::Arc,
};

/// An API key: a secret that identifies a tenant. Its `Debug` output does not contain it.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// The key with this text.
    pub fn new(text: impl AsRef<str>) -> Self {
        Self(Arc::from(text.as_ref()))
    }
}

impl Borrow<str> for ApiKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("(a key)")
    }
}

/// How requests of one tenant are treated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantPolicy {
    /// The tenant.
    pub name: Tenant,
    /// Urgency of its requests from 0 (served first) to 9, which overrides that of the route.
    pub urgency: Option<u8>,
    /// Regions that may serve its requests; all if empty.
    pub homes: BTreeSet<Region>,
}

/// The error for a key that already belongs to another tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DuplicateKey {
    /// The tenant that the key belongs to.
    pub holder: Tenant,
}

/// The tenants of a document by API key.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    by_key: HashMap<ApiKey, Arc<TenantPolicy>>,
}

impl Tenants {
    /// Adds a tenant with its keys.
    ///
    /// # Errors
    /// One of the keys belongs to another tenant. Keys before it have been added, it and those after it have not.
    pub fn add(
        &mut self,
        tenant: TenantPolicy,
        keys: impl IntoIterator<Item = ApiKey>,
    ) -> Result<(), DuplicateKey> {
        let tenant = Arc::new(tenant);
        for key in keys {
            match self.by_key.entry(key) {
                Entry::Vacant(vacant) => drop(vacant.insert(tenant.clone())),
                Entry::Occupied(existing) if Arc::ptr_eq(existing.get(), &tenant) => {}
                Entry::Occupied(existing) => {
                    return Err(DuplicateKey { holder: existing.get().name.clone() });
                }
            }
        }
        Ok(())
    }

    /// The tenant that a key belongs to.
    pub fn holder(&self, key: &str) -> Option<&Arc<TenantPolicy>> {
        self.by_key.get(key)
    }
}

/// Regions that may serve a request: the intersection of the route's and the tenant's home regions. `None` means all.
pub fn home_regions(route: &Route, tenant: Option<&TenantPolicy>) -> Option<BTreeSet<Region>> {
    let is_restricted = |homes: &BTreeSet<Region>| !homes.is_empty();
    let tenant_homes = tenant.map(|tenant| &tenant.homes).filter(|homes| is_restricted(homes));
    match (Some(&route.homes).filter(|homes| is_restricted(homes)), tenant_homes) {
        (Some(route), Some(tenant)) => Some(route.intersection(tenant).cloned().collect()),
        (route, tenant) => route.or(tenant).cloned(),
    }
}
