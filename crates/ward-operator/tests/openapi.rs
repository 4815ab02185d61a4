//! Compares the description of the API in `docs` with its routes and answers.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;

use googletest::prelude::*;
use serde::Serialize;
use serde_json::{Value, json};
use ward_operator::route::{OPERATOR_ROUTES, RouteAccess};
use ward_operator::*;
use ward_plan::{PlanSheet, SheetDifference};
use ward_protocol::*;

const SHEET: &str = "target;zones;roles;replicas;ready;ready_from;priority;memory;repeatable\n";

fn description() -> Value {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/openapi-operators.json");
    serde_json::from_str(&fs::read_to_string(path).unwrap()).unwrap()
}

/// Whether a value matches a schema of the description.
fn conforms(schemas: &Value, schema: &Value, value: &Value) -> bool {
    if let Some(name) = schema["$ref"].as_str() {
        let name = name.rsplit('/').next().unwrap();
        return conforms(schemas, &schemas[name], value);
    }
    for choice in ["anyOf", "oneOf"] {
        if let Some(choices) = schema[choice].as_array() {
            return choices
                .iter()
                .any(|schema| conforms(schemas, schema, value));
        }
    }
    if !schema["const"].is_null() {
        return schema["const"] == *value;
    }
    let listed = schema["enum"]
        .as_array()
        .is_none_or(|list| list.contains(value));
    listed
        && match schema["type"].as_str() {
            Some("object") => object_conforms(schemas, schema, value),
            Some("array") => value.as_array().is_some_and(|items| {
                items
                    .iter()
                    .all(|item| conforms(schemas, &schema["items"], item))
            }),
            Some("string") => value.is_string(),
            Some("integer") => value.is_u64(),
            Some("boolean") => value.is_boolean(),
            Some("null") => value.is_null(),
            Some(_) | None => true,
        }
}

fn object_conforms(schemas: &Value, schema: &Value, value: &Value) -> bool {
    let Some(fields) = value.as_object() else {
        return false;
    };
    let known = &schema["properties"];
    let required = schema["required"].as_array().unwrap();
    let complete = required
        .iter()
        .all(|key| fields.contains_key(key.as_str().unwrap()));
    complete
        && fields
            .iter()
            .all(|(key, value)| !known[key].is_null() && conforms(schemas, &known[key], value))
}

fn expect_conforms(name: &str, answer: &impl Serialize) {
    let description = description();
    let schemas = &description["components"]["schemas"];
    let value = serde_json::to_value(answer).unwrap();
    let result = conforms(schemas, &schemas[name], &value);
    expect_that!(result, eq(true), "{name}: {value}");
}

fn sheet(rows: &str) -> PlanSheet {
    PlanSheet::read(format!("{SHEET}{rows}").as_bytes()).unwrap()
}

fn daemon() -> DaemonItem {
    DaemonItem {
        daemon: "entry-1".parse().unwrap(),
        zone: "vic".parse().unwrap(),
        callers: "10.0.0.1:1".parse().unwrap(),
        operators: "10.0.0.1:2".parse().unwrap(),
        applied: Some(LogOffset(1)),
        adopted: None,
        silent: TimeSpan::from_millis(5),
    }
}

#[googletest::test]
fn description_has_every_route() {
    let description = description();
    let paths = description["paths"].as_object().unwrap();
    let mut described: Vec<String> = paths
        .iter()
        .flat_map(|(path, methods)| {
            let methods = methods.as_object().unwrap().iter();
            methods.map(move |(method, call)| {
                let open = call["security"] == json!([]);
                format!("{} {path} open={open}", method.to_uppercase())
            })
        })
        .collect();
    let mut served: Vec<String> = OPERATOR_ROUTES
        .iter()
        .map(|route| {
            let open = route.access == RouteAccess::Open;
            format!("{} {} open={open}", route.method.name(), route.path)
        })
        .collect();
    described.sort();
    served.sort();
    expect_that!(described, container_eq(served));
}

#[googletest::test]
fn description_of_plans() {
    let from = sheet("a@1;vic;serving;1;1;07:30;3;1GiB;yes\nb@1;;;1;0;;3;1GiB;yes\n");
    let to = sheet("a@1;;;2;1;07:30;3;1GiB;yes\nservices/booking;;;;;;0;;no\n");
    let rows = from.rows().map(Arc::clone).collect();
    expect_conforms(
        "Plan",
        &PlanAnswer {
            rows,
            ..PlanAnswer::default()
        },
    );
    let outcomes = [
        SubmitOutcome::Checked {
            base: PlanRevision(1),
        },
        SubmitOutcome::Accepted {
            revision: PlanRevision(2),
        },
        SubmitOutcome::Unknown,
    ];
    for outcome in outcomes {
        let answer = SubmitAnswer {
            record: Some(RecordId(1)),
            outcome,
            difference: SheetDifference::between(&from, &to),
            warnings: vec![SheetWarning::EmptyZone {
                target: "a@1".parse().unwrap(),
                zone: "vic".parse().unwrap(),
            }],
        };
        expect_conforms("SubmitAnswer", &answer);
    }
    let kinds = [
        HistoryKind::Whole,
        HistoryKind::Retreat {
            to: PlanRevision(1),
        },
    ];
    let entries = kinds.map(|kind| HistoryEntry {
        revision: PlanRevision(2),
        record: RecordId(1),
        author: "ana".parse().unwrap(),
        submitted_at: WallTime(1),
        base: PlanRevision(1),
        kind,
        verdict: HistoryVerdict::Stale,
        rows: 1,
    });
    let entries = entries.to_vec();
    let complete = true;
    expect_conforms("History", &HistoryAnswer { entries, complete });
}

#[googletest::test]
fn description_of_status_and_fleet() {
    let row = RowStatus {
        target: "a@1".parse().unwrap(),
        replicas: 1,
        wanted: 1,
        ready: 0,
        loading: 0,
        phase: RowPhase::Short,
        reason: Some(ShortReason::StoreBusy),
    };
    expect_conforms(
        "Status",
        &PlanStatusAnswer {
            daemons: vec![daemon()],
            rows: vec![row],
            ..PlanStatusAnswer::default()
        },
    );
    let backend = BackendItem {
        backend: "engine-1".parse().unwrap(),
        kind: BackendKind::Engine,
        zone: "vic".parse().unwrap(),
        address: "10.0.0.9:1".parse().unwrap(),
        role: Some(EngineRole::Standby),
        fencing: FencingSupport::Checks,
        leaving: false,
        owner: None,
        memory: MemorySize::from_gib(1),
        counted: MemorySize::ZERO,
        replicas: 0,
        load: 0,
    };
    expect_conforms(
        "Hosts",
        &HostsAnswer {
            daemons: vec![daemon()],
            backends: vec![backend],
        },
    );
    let request = RequestItem {
        request: RequestId(1),
        target: "services/booking".parse().unwrap(),
        phase: RequestPhase::Answering,
        priority: PriorityLevel::FIRST,
        age: TimeSpan::ZERO,
        time_left: TimeSpan::ZERO,
        backend: None,
        once: true,
    };
    let requests = vec![request];
    expect_conforms("Requests", &RequestsAnswer { total: 1, requests });
    let mode = ViewMode::RoutingOnly;
    expect_conforms("Mode", &ModeAnswer { mode });
    let problem = OperatorError::refused(ResultCode::StaleBase, "x").problem();
    expect_conforms("Problem", &problem);
}
