//! Calls that may not be repeated: every answer of their log, and lost answers.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use std::time::Duration;

use googletest::prelude::*;
use http::Method;
use support::{
    CallerAnswer, FakeBackend, FakeRequest, Step, TestServer, ViewBuilder, call, complete_steps,
};
use ward_traffic::{BeginAnswer, KeptAnswer};

const PATH: &str = "/services/deposits/charge";
const KEY: [(&str, &str); 1] = [("idempotency-key", "k-1")];

async fn start(
    script: impl Fn(&FakeRequest) -> Vec<Step> + Send + Sync + 'static,
) -> (FakeBackend, TestServer) {
    let service = FakeBackend::start(script).await;
    let view = ViewBuilder::new()
        .row("services/deposits", 1, false)
        .backend("s1", service.address)
        .service("deposits", &["s1"]);
    let server = TestServer::with_view(view.build()).await;
    (service, server)
}

fn charge_reply(request: &FakeRequest) -> Vec<Step> {
    complete_steps(&request.id(), "{\"charged\":1}")
}

async fn charge(server: &TestServer) -> CallerAnswer {
    call(
        server.address(),
        Method::POST,
        PATH,
        &KEY,
        "{\"cents\":100}",
    )
    .await
}

#[googletest::test]
#[tokio::test]
async fn begin_answers_decide() {
    let (service, server) = start(charge_reply).await;
    let kept = KeptAnswer {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: b"charged before".to_vec(),
    };
    server.once.set_begin_answer(BeginAnswer::Kept(kept));
    let answer = charge(&server).await;
    expect_that!(answer.status, eq(201));
    expect_that!(answer.body, eq("charged before"));
    let cases = [
        (BeginAnswer::KeptWithoutBody, 503, "failed"),
        (BeginAnswer::InDoubt, 501, "in_doubt"),
        (BeginAnswer::Running, 502, "in_doubt"),
        (BeginAnswer::KeyReused, 110, "not_run"),
        (BeginAnswer::KeyExpired, 111, "not_run"),
        (BeginAnswer::LogDown, 301, "not_run"),
        (BeginAnswer::NotRun, 203, "not_run"),
    ];
    for (begin, code, outcome) in cases {
        server.once.set_begin_answer(begin.clone());
        let answer = charge(&server).await;
        expect_that!(
            (answer.code(), answer.outcome().as_str()),
            eq((code, outcome)),
            "{begin:?}"
        );
    }
    expect_that!(service.count(), eq(0));
    expect_that!(server.once.history(), each(eq("begin k-1")));
}

#[googletest::test]
#[tokio::test]
async fn sent_once_on_a_fresh_connection() {
    let (service, server) = start(charge_reply).await;
    for _ in 0..3 {
        expect_that!(charge(&server).await.body, eq("{\"charged\":1}"));
    }
    let connections = service
        .requests()
        .iter()
        .map(|request| request.connection)
        .collect::<Vec<_>>();
    expect_that!(connections, eq(&vec![1, 2, 3]));
    let done = server.once.done.lock().unwrap().clone();
    expect_that!(done[0].body.as_deref(), some(eq(b"{\"charged\":1}")));
    expect_that!(done[0].content_type, eq("application/json"));
}

#[googletest::test]
#[tokio::test]
async fn lost_after_sending_is_in_doubt() {
    let faults: [fn(&FakeRequest) -> Vec<Step>; 4] = [
        |_| vec![Step::Close],
        |request| complete_steps(&"2".repeat(32), &request.id()),
        |request| {
            let mut steps = charge_reply(request);
            let Step::Send(text) = &mut steps[0] else {
                return steps;
            };
            text.truncate(text.len() - 3);
            steps.push(Step::Close);
            steps
        },
        |_| {
            vec![
                Step::Send("HTTP/1.1 200 OK\r\n\r\n".to_owned()),
                Step::Close,
            ]
        },
    ];
    for fault in faults {
        let (service, server) = start(fault).await;
        let answer = charge(&server).await;
        expect_that!(answer.refusal(), eq("501 in_doubt"));
        expect_that!(answer.status, eq(409));
        expect_that!(service.count(), eq(1));
        expect_that!(server.once.history(), eq(&["begin k-1", "doubt k-1"]));
    }
}

#[googletest::test]
#[tokio::test]
async fn not_sent_is_aborted() {
    let (service, server) = start(charge_reply).await;
    service.kill();
    tokio::time::sleep(Duration::from_millis(20)).await;
    let answer = charge(&server).await;
    expect_that!(answer.refusal(), eq("407 not_run"));
    expect_that!(server.once.history(), eq(&["begin k-1", "abort k-1"]));
    let (service, server) = start(|request| {
        let id = request.id();
        vec![Step::Send(format!(
            "HTTP/1.1 503 No\r\nx-request-id: {id}\r\nx-outcome: not_run\r\ncontent-length: 0\r\n\r\n"
        ))]
    })
    .await;
    let answer = charge(&server).await;
    expect_that!(answer.refusal(), eq("407 not_run"));
    expect_that!(service.count(), eq(1));
    expect_that!(server.once.history(), eq(&["begin k-1", "abort k-1"]));
}

#[googletest::test]
#[tokio::test]
async fn caller_disconnect_call_is_recorded() {
    let (service, server) =
        start(|request| [vec![Step::Pause(300)], charge_reply(request)].concat()).await;
    let left = tokio::time::timeout(Duration::from_millis(100), charge(&server)).await;
    expect_that!(left.is_err(), eq(true));
    tokio::time::sleep(Duration::from_millis(400)).await;
    expect_that!(service.count(), eq(1));
    expect_that!(server.once.history(), eq(&["begin k-1", "done k-1"]));
}

#[googletest::test]
#[tokio::test]
async fn large_answer_not_kept() {
    let large = "x".repeat(70 << 10);
    let body = large.clone();
    let (_service, server) = start(move |request| complete_steps(&request.id(), &body)).await;
    expect_that!(charge(&server).await.body, eq(&large));
    expect_that!(server.once.done.lock().unwrap()[0].body, none());
}

#[googletest::test]
#[tokio::test]
async fn time_limit_passes_while_running() {
    let (service, server) =
        start(|request| [vec![Step::Pause(1_100)], charge_reply(request)].concat()).await;
    let headers = [KEY[0], ("request-timeout", "200")];
    let answer = call(server.address(), Method::POST, PATH, &headers, "{}").await;
    expect_that!(answer.outcome(), eq("in_doubt"));
    expect_that!(service.count(), eq(1));
    tokio::time::sleep(Duration::from_secs(1)).await;
    expect_that!(server.once.history().last().unwrap(), eq("done k-1"));
}

#[googletest::test]
#[tokio::test]
async fn model_call_waits_cold_and_runs_once() {
    let engine = FakeBackend::engine().await;
    let key = "quotes@v1";
    let cold = ViewBuilder::new()
        .row(key, 1, false)
        .backend("e1", engine.address);
    let server = TestServer::with_view(cold.build()).await;
    let ready = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        server.publish(cold.clone().ready(key, "e1").build());
    };
    let (answer, ()) = tokio::join!(server.chat("quotes", &KEY), ready);
    expect_that!(answer.status, eq(200));
    expect_that!(engine.count(), eq(1));
    expect_that!(server.once.history(), eq(&["begin k-1", "done k-1"]));
    server.publish(
        cold.estimate(key, ward_protocol::TimeSpan::ZERO, true)
            .build(),
    );
    let refused = server.chat("quotes", &[("idempotency-key", "k-2")]).await;
    expect_that!(refused.refusal(), eq("204 not_run"));
    expect_that!(server.once.history().last().unwrap(), eq("abort k-2"));
}
