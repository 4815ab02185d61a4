//! Records that a daemon no longer writes to.
//!
//! Failure pattern: the store does a write whose answer was lost seconds later, and so
//! replaces what was written since under the same key. A daemon leaves such a key, and those of
//! its former process. They are removed only once no write to them can be under way.

use indexmap::IndexMap;
use ward_protocol::{MonoTime, TimeSpan};

/// Time after which a write whose answer was lost no longer takes effect.
pub const MAX_WRITE_DELAY: TimeSpan = TimeSpan::from_secs(30);

/// Keys of a daemon's records that it no longer writes to.
#[derive(Debug, Clone, Default)]
pub struct FormerKeys {
    /// When each key was left, or first found in the store.
    since: IndexMap<String, MonoTime>,
}

impl FormerKeys {
    /// Records that the daemon writes to this key no longer.
    pub fn record_left(&mut self, key: String, now: MonoTime) {
        self.since.insert(key, now);
    }

    /// Records that the store holds a record of the daemon with this key.
    pub fn record_found(&mut self, key: &str, now: MonoTime) {
        if !self.since.contains_key(key) {
            self.since.insert(key.to_owned(), now);
        }
    }

    /// Keys to which no write can be under way, of those whose content is repeated.
    pub fn settled(&self, now: MonoTime, is_repeated: impl Fn(&str) -> bool) -> Vec<String> {
        let settled = self
            .since
            .iter()
            .filter(|(_, since)| now.since(**since) >= MAX_WRITE_DELAY);
        let keys = settled.map(|(key, _)| key);
        keys.filter(|key| is_repeated(key)).cloned().collect()
    }

    /// Records that the store holds no records with these keys any more.
    pub fn record_removed(&mut self, keys: &[String]) {
        self.since.retain(|key, _| !keys.contains(key));
    }
}
