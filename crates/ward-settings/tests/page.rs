//! The settings page lists exactly the keys that exist, each with its default.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::PathBuf;

use googletest::prelude::*;
use serde_json::Value;
use ward_settings::DaemonSettings;

const MINIMAL_SETTINGS: &str = r#"{
    "daemon": "entry-1",
    "zone": "vic",
    "addresses": {
        "callers": {"bind": "127.0.0.1:7001"},
        "peers": {"bind": "127.0.0.1:7002"},
        "operators": {"bind": "127.0.0.1:7003"}
    },
    "platform": {"log": "127.0.0.1:7010", "hosts": "127.0.0.1:7011"}
}"#;

/// Prefixes of keys without a default.
const REQUIRED_PREFIXES: [&str; 4] = ["daemon", "zone", "addresses.", "platform."];

/// Keys and defaults in the order of the page.
fn page_keys() -> Vec<(String, String)> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let page = fs::read_to_string(path).unwrap();
    let (_, section) = page.split_once("## Keys\n").unwrap();
    let table = section.split("\n## ").next().unwrap();
    table
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .map(|line| {
            let (key, rest) = line.split_once("` | ").unwrap();
            let (default, _) = rest.split_once(" |").unwrap();
            (key.to_owned(), default.to_owned())
        })
        .collect()
}

fn leaf_keys(path: &str, value: &Value, keys: &mut Vec<(String, String)>) {
    if let Value::Object(fields) = value {
        for (key, value) in fields {
            let dot = if path.is_empty() { "" } else { "." };
            leaf_keys(&format!("{path}{dot}{key}"), value, keys);
        }
        return;
    }
    keys.push((path.to_owned(), default_text(path, value)));
}

fn default_text(path: &str, value: &Value) -> String {
    if path.ends_with(".advertised") {
        return "as `bind`".to_owned();
    }
    if REQUIRED_PREFIXES
        .iter()
        .any(|prefix| path.starts_with(prefix))
    {
        return "needed".to_owned();
    }
    match value {
        Value::Null => "none".to_owned(),
        Value::Array(items) if items.is_empty() => "none".to_owned(),
        Value::String(text) => text.clone(),
        _ => value.to_string(),
    }
}

#[googletest::test]
fn page_equals_code() {
    let settings = DaemonSettings::parse(MINIMAL_SETTINGS).unwrap();
    let tree: Value = serde_json::from_str(&settings.to_json()).unwrap();
    let mut keys = Vec::new();
    leaf_keys("", &tree, &mut keys);
    expect_that!(page_keys(), container_eq(keys));
}
