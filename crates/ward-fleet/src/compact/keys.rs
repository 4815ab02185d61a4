//! Numbers for what daemons count requests by.

use std::hash::Hash;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use ward_protocol::{AdapterName, BackendId, ModelName, ServiceName, SoftwareVersion};

use super::CompactError;

/// Stands for a key in the reports of one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyNumber(pub u32);

/// Number of requests with one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedCount {
    /// The key.
    pub key: KeyNumber,
    /// Number of requests.
    pub count: u32,
}

/// What a daemon counts its requests at engines by.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RunningKey {
    /// Engine that runs the requests.
    pub engine: BackendId,
    /// Model that they use; `None` for a service without models.
    pub model: Option<ModelName>,
    /// Adapter that they use, if any.
    pub adapter: Option<AdapterName>,
}

/// What a daemon counts its requests without an engine by.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WaitingKey {
    /// Service that the requests are routed to.
    pub service: ServiceName,
    /// Model that they need.
    pub model: ModelName,
    /// Adapter that they need, if any.
    pub adapter: Option<AdapterName>,
    /// Software version that began the streams which they continue.
    pub software: Option<SoftwareVersion>,
}

/// Keys of one connection by number. A number is the key's index, so both ends give the
/// same numbers to keys that are introduced in the same order.
#[derive(Debug, Clone)]
pub(super) struct KeyTable<K> {
    /// Keys with the counts that the other end knows.
    keys: IndexMap<K, u32>,
}

impl<K> Default for KeyTable<K> {
    fn default() -> Self {
        Self {
            keys: IndexMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> KeyTable<K> {
    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    /// The number of a key. A key without a number gets one, and is added to those that
    /// the message introduces.
    pub(super) fn number_of(&mut self, key: K, introduced: &mut Vec<K>) -> KeyNumber {
        let known = self.keys.get_index_of(&key);
        let index = known.unwrap_or_else(|| {
            introduced.push(key.clone());
            self.keys.insert_full(key, 0).0
        });
        KeyNumber(u32::try_from(index).unwrap_or(u32::MAX))
    }

    /// Replaces the counts of all keys; returns those that changed.
    pub(super) fn changes(
        &mut self,
        counts: impl Iterator<Item = (K, u32)>,
        introduced: &mut Vec<K>,
    ) -> Vec<KeyedCount> {
        let mut current: IndexMap<KeyNumber, u32> = IndexMap::new();
        for (key, count) in counts {
            *current.entry(self.number_of(key, introduced)).or_default() += count;
        }
        let mut changes = Vec::new();
        for (number, known) in (0..).zip(self.keys.values_mut()) {
            let key = KeyNumber(number);
            let count = current.get(&key).copied().unwrap_or_default();
            if std::mem::replace(known, count) != count {
                changes.push(KeyedCount { key, count });
            }
        }
        changes
    }

    /// Adds the keys that a message introduces.
    pub(super) fn introduce(&mut self, introduced: Vec<K>) {
        self.keys.extend(introduced.into_iter().map(|key| (key, 0)));
    }

    /// The key with a number, with the count that the other end knows.
    pub(super) fn entry(&mut self, number: KeyNumber) -> Result<(&K, &mut u32), CompactError> {
        let index = usize::try_from(number.0).unwrap_or(usize::MAX);
        let entry = self.keys.get_index_mut(index);
        entry.ok_or(CompactError::UnknownNumber(number.0))
    }

    /// Records changed counts.
    pub(super) fn apply(&mut self, changes: &[KeyedCount]) -> Result<(), CompactError> {
        for change in changes {
            let (_, count) = self.entry(change.key)?;
            *count = change.count;
        }
        Ok(())
    }

    /// Keys with requests.
    pub(super) fn counted(&self) -> impl Iterator<Item = (&K, u32)> {
        let counts = self.keys.iter().map(|(key, count)| (key, *count));
        counts.filter(|(_, count)| *count > 0)
    }
}
