//! Calls the API over real connections, served with closures instead of a daemon.

#![allow(clippy::unwrap_used)]

mod support;

use googletest::prelude::*;
use serde_json::Value;
use support::{ApiClient, FakeDaemon, SHEET, TOKEN};
use ward_operator::route::OPERATOR_ROUTES;
use ward_operator::{ProblemBody, SubmitAnswer, SubmitOutcome, SubmitResult};
use ward_protocol::{PlanRevision, ResultCode, ViewMode};

const SUBMIT: &str = "/plan/submit?base=3&author=ana&record=000000000000000000000000000000aa";

async fn problem(client: &ApiClient, method: &str, path: &str, body: &str) -> ProblemBody {
    let answer = client.call(method, path, Some(TOKEN), body).await;
    let problem: ProblemBody = answer.json();
    assert_eq!(answer.status, problem.status);
    problem
}

#[googletest::test]
#[tokio::test]
async fn submit_accepted() {
    let daemon = FakeDaemon::default();
    let client = daemon.start().await;
    let answer = client.call("POST", SUBMIT, Some(TOKEN), SHEET).await;
    expect_that!(answer.status, eq(200));
    let answer: SubmitAnswer = answer.json();
    let revision = PlanRevision(4);
    expect_that!(answer.outcome, eq(SubmitOutcome::Accepted { revision }));
    expect_that!(answer.difference.added, len(eq(2)));
    let submitted = daemon.submitted();
    expect_that!(submitted, len(eq(1)));
    expect_that!(submitted[0].base, eq(PlanRevision(3)));
    expect_that!(submitted[0].record, eq(answer.record.unwrap()));
}

#[googletest::test]
#[tokio::test]
async fn submit_dry_run() {
    let daemon = FakeDaemon::default();
    let client = daemon.start().await;
    let path = format!("{SUBMIT}&dry_run=true");
    let answer = client.call("POST", &path, Some(TOKEN), SHEET).await;
    let answer: SubmitAnswer = answer.json();
    let base = PlanRevision(3);
    expect_that!(answer.outcome, eq(SubmitOutcome::Checked { base }));
    expect_that!(daemon.submitted(), is_empty());
}

#[googletest::test]
#[tokio::test]
async fn submit_mistakes() {
    let daemon = FakeDaemon::default();
    let client = daemon.start().await;
    let sheet = SHEET.replace("8GiB", "8").replace(";0;;no", ";9;;no");
    let found = problem(&client, "POST", SUBMIT, &sheet).await;
    expect_that!(found.code, eq(ResultCode::SheetInvalid.number()));
    expect_that!(found.mistakes, len(eq(2)));
    expect_that!(found.mistakes[0].cell, eq("8"));
    expect_that!(daemon.submitted(), is_empty());
}

#[googletest::test]
#[tokio::test]
async fn submit_stale_base() {
    let daemon = FakeDaemon::default();
    let client = daemon.start().await;
    let path = SUBMIT.replace("base=3", "base=2");
    let found = problem(&client, "POST", &path, SHEET).await;
    expect_that!(found.code, eq(ResultCode::StaleBase.number()));
    expect_that!(daemon.submitted(), is_empty());

    let current = PlanRevision(5);
    daemon.set_submit_result(SubmitResult::Stale { current });
    let found = problem(&client, "POST", SUBMIT, SHEET).await;
    expect_that!(found.code, eq(ResultCode::StaleBase.number()));
    expect_that!(found.detail, contains_substring("revision 5"));
}

#[googletest::test]
#[tokio::test]
async fn submit_unknown() {
    let daemon = FakeDaemon::default();
    daemon.set_submit_result(SubmitResult::Unknown);
    let client = daemon.start().await;
    let answer = client.call("POST", SUBMIT, Some(TOKEN), SHEET).await;
    expect_that!(answer.status, eq(202));
    let answer: SubmitAnswer = answer.json();
    expect_that!(answer.outcome, eq(SubmitOutcome::Unknown));
}

#[googletest::test]
#[tokio::test]
async fn submit_too_large() {
    let daemon = FakeDaemon::default();
    let client = daemon.start().await;
    let sheet = "x".repeat(ward_plan::MAX_BYTES + 1);
    let found = problem(&client, "POST", SUBMIT, &sheet).await;
    expect_that!(found.code, eq(ResultCode::BodyTooLarge.number()));
}

#[googletest::test]
#[tokio::test]
async fn retreat_unknown_revision() {
    let daemon = FakeDaemon::default();
    let client = daemon.start().await;
    let path = "/plan/retreat?base=3&to=99&author=ana";
    let found = problem(&client, "POST", path, "").await;
    expect_that!(found.code, eq(ResultCode::UnknownRevision.number()));
    expect_that!(daemon.submitted(), is_empty());
}

#[googletest::test]
#[tokio::test]
async fn query_mistakes() {
    let daemon = FakeDaemon::default();
    let client = daemon.start().await;
    for path in [
        "/plan/submit?base=3",
        "/plan/submit?base=three&author=ana",
        "/plan/submit?base=3&author=ana&dryrun=true",
        "/plan/submit?base=3&author=",
        "/plan/submit",
    ] {
        let found = problem(&client, "POST", path, SHEET).await;
        expect_that!(
            found.code,
            eq(ResultCode::MalformedRequest.number()),
            "{path}"
        );
    }
    expect_that!(daemon.submitted(), is_empty());
}

#[googletest::test]
#[tokio::test]
async fn token_required() {
    let daemon = FakeDaemon::default();
    let client = daemon.start().await;
    let guarded: Vec<_> = OPERATOR_ROUTES
        .iter()
        .filter(|route| !["/healthz", "/readyz", "/metrics"].contains(&route.path))
        .map(|route| (route.method.name(), route.path))
        .collect();
    let wrong = [None, Some("wrong"), Some(""), Some(&TOKEN[1..])];
    for (method, path) in &guarded {
        for token in wrong {
            let answer = client.call(method, path, token, SHEET).await;
            let problem: ProblemBody = answer.json();
            expect_that!(answer.status, eq(401), "{method} {path}");
            expect_that!(problem.code, eq(ResultCode::Unauthorized.number()));
        }
    }
    expect_that!(daemon.submitted(), is_empty());
    let log = daemon.log_text();
    expect_that!(log, contains_substring("operators: token refused"));
    expect_that!(log, not(contains_substring(TOKEN)));
    expect_that!(log, not(contains_substring(&TOKEN[1..])));
    let counted = client.call("GET", "/metrics", None, "").await.text();
    let expected = format!(
        "ward_operator_unauthorized_total {}",
        guarded.len() * wrong.len()
    );
    expect_that!(counted, contains_substring(expected.as_str()));
}

#[googletest::test]
#[tokio::test]
async fn health_without_token() {
    let daemon = FakeDaemon::default();
    let client = daemon.start().await;
    for (mode, status) in [
        (ViewMode::Starting, 503),
        (ViewMode::RoutingOnly, 200),
        (ViewMode::Full, 200),
        (ViewMode::Stopping, 503),
    ] {
        daemon.set_mode(mode);
        expect_that!(
            client.call("GET", "/healthz", None, "").await.status,
            eq(200)
        );
        expect_that!(
            client.call("GET", "/readyz", None, "").await.status,
            eq(status)
        );
    }
}

#[googletest::test]
#[tokio::test]
async fn unknown_paths() {
    let daemon = FakeDaemon::default();
    let client = daemon.start().await;
    for path in ["/", "/plans", "/plan/", "/plan/submit/x"] {
        let found = problem(&client, "GET", path, "").await;
        expect_that!(found.code, eq(ResultCode::UnknownPath.number()), "{path}");
    }
    let found = problem(&client, "GET", "/plan/submit", "").await;
    expect_that!(found.code, eq(ResultCode::MethodNotAllowed.number()));
    expect_that!(found.detail, contains_substring("POST"));
}

#[googletest::test]
#[tokio::test]
async fn answers_as_json() {
    let daemon = FakeDaemon::default();
    let client = daemon.start().await;
    for path in [
        "/plan",
        "/plan/history",
        "/plan/status",
        "/hosts",
        "/models",
        "/requests",
    ] {
        let answer = client.call("GET", path, Some(TOKEN), "").await;
        expect_that!(answer.status, eq(200), "{path}");
        expect_that!(answer.json::<Value>().is_object(), eq(true), "{path}");
    }
    let sheet = client
        .call("GET", "/plan?format=csv&revision=3", Some(TOKEN), "")
        .await;
    expect_that!(sheet.text(), starts_with("target;zones;"));
}

#[googletest::test]
#[tokio::test]
async fn submit_daemon_behind() {
    let daemon = FakeDaemon::default();
    let client = daemon.start().await;
    daemon.set_lag(3);
    let answer = client.call("POST", SUBMIT, Some(TOKEN), SHEET).await;
    expect_that!(answer.status, eq(200));

    daemon.set_lag(u32::MAX);
    let found = problem(&client, "POST", SUBMIT, SHEET).await;
    expect_that!(found.code, eq(ResultCode::StateMissing.number()));
    expect_that!(found.retry_after, some(eq(1)));
    expect_that!(daemon.submitted(), len(eq(1)));
}

#[googletest::test]
#[tokio::test]
async fn submit_concurrent() {
    let daemon = FakeDaemon::default();
    let client = daemon.start().await;
    let path = format!("{SUBMIT}&dry_run=true");
    let calls = (0..32).map(|_| client.call("POST", &path, Some(TOKEN), SHEET));
    let answers = futures::future::join_all(calls).await;
    expect_that!(answers.iter().all(|answer| answer.status == 200), eq(true));
}
