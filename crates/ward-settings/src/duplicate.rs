//! Duplicate keys in the objects of the file.
//!
//! A JSON tree keeps only the last of two equal keys, so a section pasted in a
//! second time would silently replace the first. This pass reads the text without
//! building a tree and reports such keys.

use std::fmt;

use indexmap::IndexSet;
use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};

use crate::mistake::{SettingsMistake, SettingsProblem};

/// The keys that occur twice in the same object, up to the first syntax error.
#[must_use]
pub(crate) fn duplicate_keys(text: &str) -> Vec<SettingsMistake> {
    let mut mistakes = Vec::new();
    let visitor = KeyVisitor {
        path: String::new(),
        mistakes: &mut mistakes,
    };
    let mut deserializer = serde_json::Deserializer::from_str(text);
    // `read_input` reports text that is not JSON.
    let _ = visitor.deserialize(&mut deserializer);
    mistakes
}

/// Visits one value of the text, and the values of an object recursively.
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
