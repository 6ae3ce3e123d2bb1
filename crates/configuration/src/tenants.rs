//! Tenants and their API keys (design 4.10): who a request belongs to, and what binds it besides its route.

use crate::routes::Route;
use common::{Region, Tenant};
use std::{
    borrow::Borrow,
    collections::{BTreeSet, HashMap, hash_map::Entry},
    fmt,
    sync::Arc,
};

/// A secret that names its tenant. It is never shown.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// The key of that text.
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

/// What is done with requests of one tenant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantPolicy {
    /// The tenant.
    pub name: Tenant,
    /// Goes before the urgency of the route.
    pub urgency: Option<u8>,
    /// Regions that may serve it; all where empty.
    pub homes: BTreeSet<Region>,
}

/// Another tenant holds the key already.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DuplicateKey {
    /// The one that holds it.
    pub holder: Tenant,
}

/// The tenants of a document, by key.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    by_key: HashMap<ApiKey, Arc<TenantPolicy>>,
}

impl Tenants {
    /// Adds a tenant with its keys.
    ///
    /// # Errors
    /// Another tenant holds one of the keys; none that follows it is added.
    pub fn add(
        &mut self,
        tenant: TenantPolicy,
        keys: impl IntoIterator<Item = ApiKey>,
    ) -> Result<(), DuplicateKey> {
        let tenant = Arc::new(tenant);
        for key in keys {
            match self.by_key.entry(key) {
                Entry::Vacant(free) => drop(free.insert(tenant.clone())),
                Entry::Occupied(held) if Arc::ptr_eq(held.get(), &tenant) => {}
                Entry::Occupied(held) => return Err(DuplicateKey { holder: held.get().name.clone() }),
            }
        }
        Ok(())
    }

    /// The tenant that holds a key.
    pub fn holder(&self, key: &str) -> Option<&Arc<TenantPolicy>> {
        self.by_key.get(key)
    }
}

/// Regions that may serve a request: the route's homes met with the tenant's. `None` stands for all.
pub fn home_regions(route: &Route, tenant: Option<&TenantPolicy>) -> Option<BTreeSet<Region>> {
    let bound = |homes: &BTreeSet<Region>| !homes.is_empty();
    let of_tenant = tenant.map(|tenant| &tenant.homes).filter(|homes| bound(homes));
    match (Some(&route.homes).filter(|homes| bound(homes)), of_tenant) {
        (Some(route), Some(tenant)) => Some(route.intersection(tenant).cloned().collect()),
        (one, other) => one.or(other).cloned(),
    }
}
