//! The tenants of a manifest and the holders of its API keys.

use std::fmt;

use indexmap::IndexMap;
use ward_protocol::TenantName;

use super::quota::TenantQuota;

/// Digest (BLAKE3) of an API key. Its debug form hides it, too.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct ApiKeyDigest([u8; 32]);

impl ApiKeyDigest {
    /// The digest of a key as the caller sent it.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }
}

impl fmt::Debug for ApiKeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKeyDigest(..)")
    }
}

/// What a tenant is entitled to.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TenantClass {
    /// Priority of the tenant's requests; zero is the most urgent.
    pub priority: u32,
    /// Limit on the tenant's requests; `None` if there is none.
    pub quota: Option<TenantQuota>,
}

/// The tenants of a manifest, and which of them holds which API key.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TenantDirectory {
    tenants: IndexMap<TenantName, TenantClass>,
    holders: IndexMap<ApiKeyDigest, TenantName>,
}

impl TenantDirectory {
    /// Adds a tenant with its keys. A key that another tenant holds already stays with
    /// that one.
    pub fn add(
        &mut self,
        name: TenantName,
        class: TenantClass,
        keys: impl IntoIterator<Item = ApiKeyDigest>,
    ) {
        for key in keys {
            self.holders.entry(key).or_insert_with(|| name.clone());
        }
        self.tenants.insert(name, class);
    }

    /// The tenant that holds a key; `None` if the key is unknown or was withdrawn.
    #[must_use]
    pub fn holder(&self, key: &ApiKeyDigest) -> Option<&TenantName> {
        self.holders.get(key)
    }

    /// What a tenant is entitled to; `None` if there is no such tenant.
    #[must_use]
    pub fn class(&self, name: &TenantName) -> Option<&TenantClass> {
        self.tenants.get(name)
    }

    /// All tenants, in the operators' order.
    pub fn iter(&self) -> impl Iterator<Item = (&TenantName, &TenantClass)> {
        self.tenants.iter()
    }
}
