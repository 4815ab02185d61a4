//! Settings are either accepted or rejected with every mistake that they have.

#![allow(clippy::unwrap_used)]

use googletest::prelude::*;
use ward_settings::{DaemonSettings, SettingsError};

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

fn parse_with(change: &str) -> std::result::Result<DaemonSettings, SettingsError> {
    let mut tree: serde_json::Value = serde_json::from_str(MINIMAL_SETTINGS).unwrap();
    let change: serde_json::Value = serde_json::from_str(change).unwrap();
    for (key, value) in change.as_object().unwrap() {
        tree[key] = value.clone();
    }
    DaemonSettings::parse(&tree.to_string())
}

fn mistake_paths(change: &str) -> Vec<String> {
    let error = parse_with(change).unwrap_err();
    error
        .mistakes
        .into_iter()
        .map(|mistake| mistake.path)
        .collect()
}

#[googletest::test]
fn parse_defaults() {
    let settings = DaemonSettings::parse(MINIMAL_SETTINGS).unwrap();
    expect_that!(settings.lease.lease.to_string(), eq("3s"));
    expect_that!(
        settings.addresses.peers.advertised,
        eq(settings.addresses.peers.bind)
    );
}

#[googletest::test]
fn parse_reports_all_mistakes() {
    let mut found = mistake_paths(
        r#"{
            "zone": "no such zone!",
            "colour": 1,
            "lease": {"lease": "300ms", "probe_timeout": "500ms", "order_life": "2 apples", "x": 1},
            "traffic": {"retry_percent": 101, "waiting": 0},
            "policy": {"cold_weight": 1.5, "gap_decay": -0.1, "refuse_from_percent": 200},
            "seeds": ["127.0.0.1:1", "here", "there", "0.0.0.0:1"]
        }"#,
    );
    let expected = [
        "colour",
        "lease.lease",
        "lease.order_life",
        "lease.probe_timeout",
        "lease.x",
        "policy.cold_weight",
        "policy.gap_decay",
        "policy.refuse_from_percent",
        "seeds[1]",
        "seeds[2]",
        "seeds[3]",
        "traffic.retry_percent",
        "traffic.waiting",
        "zone",
    ];
    found.sort();
    expect_that!(found, container_eq(expected.map(str::to_owned)));
}

#[googletest::test]
fn parse_missing_values() {
    let error = DaemonSettings::parse("{}").unwrap_err();
    let found: Vec<&str> = error
        .mistakes
        .iter()
        .map(|mistake| mistake.path.as_str())
        .collect();
    expect_that!(
        found,
        elements_are![
            eq(&"daemon"),
            eq(&"zone"),
            eq(&"addresses.callers.bind"),
            eq(&"addresses.peers.bind"),
            eq(&"addresses.operators.bind"),
            eq(&"platform.log"),
            eq(&"platform.hosts"),
        ]
    );
}

#[googletest::test]
fn parse_not_json() {
    for text in ["", "{", "[]", "3"] {
        expect_that!(DaemonSettings::parse(text), err(anything()));
    }
}

#[googletest::test]
fn parse_unusable_addresses() {
    let found = mistake_paths(
        r#"{"addresses": {
            "callers": {"bind": "0.0.0.0:7001"},
            "peers": {"bind": "127.0.0.1:0"},
            "operators": {"bind": "0.0.0.0:7001", "advertised": "10.0.0.1:7003"}
        }}"#,
    );
    expect_that!(
        found,
        elements_are![
            eq("addresses.callers.advertised"),
            eq("addresses.peers.bind"),
            eq("addresses.peers.advertised"),
            eq("addresses.operators.bind"),
        ]
    );
}

#[googletest::test]
fn parse_hides_secrets() {
    let key = "ab".repeat(32);
    let token = "a-token-of-operators";
    let change = format!(r#"{{"keys": {{"current": "{key}"}}, "operator_token": "{token}"}}"#);
    let settings = parse_with(&change).unwrap();
    let shown = format!("{}{settings:?}", settings.to_json());
    expect_that!(shown, not(contains_substring(key.as_str())));
    expect_that!(shown, not(contains_substring(token)));

    let short = "short-secret";
    let error = parse_with(&format!(r#"{{"operator_token": "{short}"}}"#)).unwrap_err();
    expect_that!(error.to_string(), not(contains_substring(short)));
}

#[googletest::test]
fn parse_key_rotation() {
    let key = "ab".repeat(32);
    let old = "cd".repeat(32);
    let both = format!(r#"{{"keys": {{"current": "{key}", "previous": "{old}"}}}}"#);
    expect_that!(parse_with(&both), ok(anything()));
    let same = format!(r#"{{"keys": {{"current": "{key}", "previous": "{key}"}}}}"#);
    expect_that!(mistake_paths(&same), elements_are![eq("keys.previous")]);
    let only = format!(r#"{{"keys": {{"previous": "{key}"}}}}"#);
    expect_that!(mistake_paths(&only), elements_are![eq("keys.previous")]);
}

#[googletest::test]
fn parse_duplicate_keys() {
    let text = MINIMAL_SETTINGS.replace(
        "\"zone\": \"vic\",",
        r#""zone": "vic", "lease": {"lease": "5s", "lease": "6s"}, "zone": "moste", "lease": {},"#,
    );
    let error = DaemonSettings::parse(&text).unwrap_err();
    let found: Vec<&str> = error
        .mistakes
        .iter()
        .map(|mistake| mistake.path.as_str())
        .collect();
    expect_that!(
        found,
        elements_are![eq(&"lease.lease"), eq(&"zone"), eq(&"lease")]
    );
}
