//! Keys that an object of the file has twice.
//!
//! A JSON tree keeps only the last of two equal keys, so a section pasted in a
//! second time would silently undo the first. This pass reads the text without
//! building a tree and notes such keys.

use std::fmt;

use indexmap::IndexSet;
use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};

use crate::mistake::{SettingsMistake, SettingsProblem};

/// The keys that stand twice in the text; none when it is not JSON.
#[must_use]
pub(crate) fn duplicate_keys(text: &str) -> Vec<SettingsMistake> {
    let mut mistakes = Vec::new();
    let visitor = KeyVisitor {
        path: String::new(),
        mistakes: &mut mistakes,
    };
    let mut deserializer = serde_json::Deserializer::from_str(text);
    // Text that is not JSON is reported by the reader of values.
    let _ = visitor.deserialize(&mut deserializer);
    mistakes
}

/// Walks through one value of the text.
struct KeyVisitor<'a> {
    path: String,
    mistakes: &'a mut Vec<SettingsMistake>,
}

impl<'de> DeserializeSeed<'de> for KeyVisitor<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for KeyVisitor<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let mut seen = IndexSet::new();
        while let Some(key) = map.next_key::<String>()? {
            let dot = if self.path.is_empty() { "" } else { "." };
            let path = format!("{}{dot}{key}", self.path);
            if !seen.insert(key) {
                self.mistakes.push(SettingsMistake {
                    path: path.clone(),
                    problem: SettingsProblem::DuplicateKey,
                });
            }
            map.next_value_seed(KeyVisitor {
                path,
                mistakes: self.mistakes,
            })?;
        }
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<(), A::Error> {
        while items.next_element::<IgnoredAny>()?.is_some() {}
        Ok(())
    }

    fn visit_bool<E>(self, _: bool) -> Result<(), E> {
        Ok(())
    }

    fn visit_i64<E>(self, _: i64) -> Result<(), E> {
        Ok(())
    }

    fn visit_u64<E>(self, _: u64) -> Result<(), E> {
        Ok(())
    }

    fn visit_f64<E>(self, _: f64) -> Result<(), E> {
        Ok(())
    }

    fn visit_str<E>(self, _: &str) -> Result<(), E> {
        Ok(())
    }

    fn visit_unit<E>(self) -> Result<(), E> {
        Ok(())
    }
}
