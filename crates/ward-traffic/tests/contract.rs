//! Checks the server against the `OpenAPI` description for callers.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use std::str::FromStr;

use googletest::prelude::*;
use http::Method;
use serde_json::Value;
use support::{TestServer, ViewBuilder, call};
use ward_protocol::ResultCode;

const METHODS: [&str; 5] = ["get", "post", "put", "patch", "delete"];

fn description() -> Value {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/openapi.json");
    serde_json::from_str(&std::fs::read_to_string(path).unwrap()).unwrap()
}

fn collect_references(value: &Value, found: &mut Vec<String>) {
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                match member.as_str() {
                    Some(text) if name == "$ref" => found.push(text.to_owned()),
                    _ => collect_references(member, found),
                }
            }
        }
        Value::Array(items) => items
            .iter()
            .for_each(|item| collect_references(item, found)),
        _ => {}
    }
}

#[googletest::test]
#[tokio::test]
async fn described_paths_exist() {
    let server = TestServer::with_view(ViewBuilder::new().build()).await;
    let description = description();
    for (path, item) in description["paths"].as_object().unwrap() {
        let methods = METHODS.iter().filter(|method| item.get(method).is_some());
        for method in methods {
            let method = Method::from_str(&method.to_uppercase()).unwrap();
            let path = path
                .replace("{name}", "none")
                .replace("{id}", &"0".repeat(32));
            let path = path.replace("{path}", "a/b");
            let answer = call(server.address(), method, &path, &[], "{}").await;
            let missing = [ResultCode::UnknownPath, ResultCode::MethodNotAllowed];
            let missing = missing.map(|code| u64::from(code.number()));
            expect_that!(missing, not(contains(eq(answer.code()))), "{path}");
        }
    }
}

#[googletest::test]
fn description_has_no_dead_reference() {
    let description = description();
    let mut found = Vec::new();
    collect_references(&description, &mut found);
    for reference in found {
        let pointer = reference.trim_start_matches('#');
        expect_that!(
            description.pointer(pointer).is_some(),
            eq(true),
            "{reference}"
        );
    }
}

#[googletest::test]
#[tokio::test]
async fn problem_has_the_described_members() {
    let server = TestServer::with_view(ViewBuilder::new().build()).await;
    let problem = server.chat("none", &[]).await.json();
    let described = &description()["components"]["schemas"]["Problem"];
    for member in described["required"].as_array().unwrap() {
        expect_that!(
            problem.get(member.as_str().unwrap()).is_some(),
            eq(true),
            "{member}"
        );
    }
    let members = described["properties"].as_object().unwrap();
    for member in problem.as_object().unwrap().keys() {
        expect_that!(members.contains_key(member), eq(true), "{member}");
    }
}
