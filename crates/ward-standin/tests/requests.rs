//! Requests at an engine: batching, streams, moves to another engine, and answer faults.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use googletest::prelude::*;
use serde_json::json;
use support::{EngineFixture, KEY, events, is_complete, sleep_millis, stream_text};
use ward_protocol::{RequestId, TimeSpan};
use ward_standin::EngineFaults;
use ward_standin::engine::answer_text;
use ward_test_support::raw_exchange;

#[googletest::test]
#[tokio::test]
async fn completion_returns_text() {
    let fixture = EngineFixture::start(|_| {}).await;
    let id = RequestId::random();
    let answer = fixture
        .request_completion(id, "red or blue", 5, false)
        .await;
    expect_that!(
        answer.text,
        contains_substring(format!("x-request-id: {id}"))
    );
    let body = answer.json();
    expect_that!(body["id"], eq(&json!(id.to_string())));
    let expected = answer_text("red or blue", 5);
    expect_that!(body["choices"][0]["text"], eq(&json!(expected)));
}

#[googletest::test]
#[tokio::test]
async fn completion_chat() {
    let fixture = EngineFixture::start(|_| {}).await;
    let messages = json!([{ "role": "user", "content": "a" }, { "role": "user", "content": "b" }]);
    let request = json!({ "model": KEY, "messages": messages, "max_tokens": 3 });
    let address = fixture.standin.address;
    let answer = raw_exchange(
        address,
        "POST /v1/chat/completions",
        "",
        &request.to_string(),
    )
    .await
    .unwrap();
    let content = &answer.json()["choices"][0]["message"]["content"];
    expect_that!(*content, eq(&json!(answer_text("a\nb", 3))));
}

#[googletest::test]
#[tokio::test]
async fn completion_not_ready() {
    let fixture = EngineFixture::start(|_| {}).await;
    let request = json!({ "model": "other@1", "prompt": "a" });
    let address = fixture.standin.address;
    let answer = raw_exchange(address, "POST /v1/completions", "", &request.to_string())
        .await
        .unwrap();
    expect_that!(answer.text, starts_with("HTTP/1.1 404"));
    expect_that!(answer.text, contains_substring("x-outcome: not_run"));
    let history = fixture.history_until(|history| history.not_run == 1).await;
    expect_that!(history.requests.len(), eq(0));
}

#[googletest::test]
#[tokio::test]
async fn stream_complete() {
    let fixture = EngineFixture::start(|_| {}).await;
    let answer = fixture
        .request_completion(RequestId::random(), "p", 8, true)
        .await;
    expect_that!(is_complete(&answer), eq(true));
    expect_that!(stream_text(&answer), eq(&answer_text("p", 8)));
    let positions: Vec<_> = events(&answer)
        .iter()
        .map(|event| event["position"].as_u64().unwrap())
        .collect();
    expect_that!(positions, eq(&(0..8).collect::<Vec<_>>()));
}

#[googletest::test]
#[tokio::test]
async fn stream_cut_and_resumed() {
    let fixture = EngineFixture::start(|settings| {
        settings.faults.cut_streams = 1;
        settings.faults.cut_after = 3;
    })
    .await;
    let id = RequestId::random();
    let cut = fixture.request_completion(id, "p", 8, true).await;
    expect_that!(is_complete(&cut), eq(false));
    expect_that!(events(&cut).len(), eq(3));
    let resumed = fixture.resume(id, 3).await;
    expect_that!(is_complete(&resumed), eq(true));
    expect_that!(
        stream_text(&cut) + &stream_text(&resumed),
        eq(&answer_text("p", 8))
    );
    let history = fixture.history_until(|_| true).await;
    expect_that!(history.requests[&id].runs, eq(1));
}

#[googletest::test]
#[tokio::test]
async fn stream_moved() {
    let slow = |settings: &mut ward_standin::EngineSettings| {
        settings.token_time = TimeSpan::from_millis(20);
    };
    let from = EngineFixture::start(slow).await;
    let to = EngineFixture::start(slow).await;
    let id = RequestId::random();
    let (complete, exported) = tokio::join!(from.request_completion(id, "p", 10, true), async {
        sleep_millis(70).await;
        let head = format!("GET /v1/requests/{id}/kv");
        raw_exchange(from.standin.address, &head, "", "")
            .await
            .unwrap()
    });
    let cache = exported.json();
    let position = cache["position"].as_u64().unwrap();
    expect_that!(position, all!(gt(0), lt(10)));
    let path = format!("/v1/requests/{id}/kv");
    to.control
        .send(http::Method::PUT, &path, &cache)
        .await
        .unwrap();
    let resumed = to.resume(id, position).await;
    expect_that!(stream_text(&resumed).as_str(), not(eq("")));
    let tail = &answer_text("p", 10)[stream_text(&complete).len() - stream_text(&resumed).len()..];
    expect_that!(stream_text(&resumed), eq(tail));
    let history = to.history_until(|_| true).await;
    expect_that!(history.requests[&id].runs, eq(0));
    expect_that!(history.requests[&id].imports, eq(1));
}

#[googletest::test]
#[tokio::test]
async fn request_cancelled() {
    let fixture = EngineFixture::start(|settings| {
        settings.token_time = TimeSpan::from_millis(20);
    })
    .await;
    let id = RequestId::random();
    let (answer, ()) = tokio::join!(fixture.request_completion(id, "p", 1_000, true), async {
        sleep_millis(50).await;
        let path = format!("/v1/requests/{id}");
        fixture
            .control
            .send(http::Method::DELETE, &path, &())
            .await
            .unwrap();
    });
    expect_that!(is_complete(&answer), eq(false));
    let history = fixture.history_until(|_| true).await;
    expect_that!(history.requests[&id].cancelled, eq(true));
    expect_that!(history.requests[&id].finished, eq(0));
}

#[googletest::test]
#[tokio::test]
async fn queue_by_priority() {
    let fixture = EngineFixture::start(|settings| {
        settings.slots = 1;
        settings.token_time = TimeSpan::from_millis(10);
    })
    .await;
    let address = fixture.standin.address;
    let complete = async |priority: u8, after: u64| {
        sleep_millis(after).await;
        let request = json!({ "model": KEY, "prompt": "p", "max_tokens": 10 });
        let headers = format!("priority: u={priority}\r\n");
        raw_exchange(
            address,
            "POST /v1/completions",
            &headers,
            &request.to_string(),
        )
        .await
        .unwrap();
        tokio::time::Instant::now()
    };
    let (first, low, high) = tokio::join!(complete(3, 0), complete(7, 20), complete(0, 40));
    expect_that!(first, lt(high));
    expect_that!(high, lt(low));
}

#[googletest::test]
#[tokio::test]
async fn status_load_lags() {
    let fixture = EngineFixture::start(|settings| {
        settings.slots = 1;
        settings.token_time = TimeSpan::from_millis(10);
        settings.status_lag = TimeSpan::from_millis(150);
    })
    .await;
    let status = async || {
        let answer = raw_exchange(fixture.standin.address, "GET /status", "", "").await;
        let status = answer.unwrap().json();
        let number = |name: &str| status[name].as_u64().unwrap();
        (
            number("running"),
            number("queued"),
            status["resident"][0]["running"].as_u64().unwrap(),
        )
    };
    let requests = async {
        tokio::join!(
            fixture.request_completion(RequestId::random(), "a", 30, false),
            fixture.request_completion(RequestId::random(), "b", 30, false),
        )
    };
    let checks = async {
        sleep_millis(50).await;
        let early = status().await;
        sleep_millis(170).await;
        let late = status().await;
        let faults = EngineFaults {
            status_lag_ms: Some(60_000),
            ..EngineFaults::default()
        };
        fixture.control.set_faults(&faults).await.unwrap();
        (early, late, status().await)
    };
    let (_, (early, late, fault)) = tokio::join!(requests, checks);
    expect_that!(early, eq((0, 0, 2)));
    expect_that!(late, eq((1, 1, 2)));
    expect_that!(fault, eq((0, 0, 2)));
}

#[googletest::test]
#[tokio::test]
async fn answer_faults() {
    let fixture = EngineFixture::start(|_| {}).await;
    let id = RequestId::random();
    let set = async |faults: EngineFaults| fixture.control.set_faults(&faults).await.unwrap();
    set(EngineFaults {
        wrong_ids: 1,
        ..EngineFaults::default()
    })
    .await;
    let answer = fixture.request_completion(id, "p", 2, false).await;
    expect_that!(answer.json()["id"], not(eq(&json!(id.to_string()))));
    set(EngineFaults {
        broken_answers: 1,
        ..EngineFaults::default()
    })
    .await;
    let answer = fixture.request_completion(id, "p", 2, false).await;
    expect_that!(answer.json(), eq(&json!("no completion")));
    set(EngineFaults {
        truncate_answers: 1,
        ..EngineFaults::default()
    })
    .await;
    let answer = fixture.request_completion(id, "p", 2, false).await;
    expect_that!(answer.body().len(), gt(0));
    expect_that!(answer.json(), eq(&json!(null)));
    let intact = fixture.request_completion(id, "p", 2, false).await;
    expect_that!(intact.json()["id"], eq(&json!(id.to_string())));
}

#[googletest::test]
#[tokio::test]
async fn crash_on_marker() {
    let fixture = EngineFixture::start(|settings| {
        settings.token_time = TimeSpan::from_millis(20);
        settings.faults.crash_marker = Some("poison".to_owned());
    })
    .await;
    let (bystander, poison) = (RequestId::random(), RequestId::random());
    let (cut, crashed) = tokio::join!(
        fixture.request_completion(bystander, "p", 1_000, true),
        async {
            sleep_millis(100).await;
            fixture.request_completion(poison, "poison", 5, false).await
        }
    );
    expect_that!(crashed.text.as_str(), eq(""));
    expect_that!(is_complete(&cut), eq(false));
    let refused = tokio::net::TcpStream::connect(fixture.standin.address).await;
    expect_that!(refused, err(anything()));
    let history = fixture.history_until(|_| true).await;
    expect_that!(history.crashes.len(), eq(1));
    expect_that!(history.holdings.last().unwrap().replicas.len(), eq(0));
    expect_that!(history.requests[&bystander].finished, eq(0));
    fixture.load().await;
    let again = fixture.request_completion(bystander, "p", 2, false).await;
    expect_that!(again.json()["id"], eq(&json!(bystander.to_string())));
}

#[googletest::test]
#[tokio::test]
async fn unload_drains() {
    let fixture = EngineFixture::start(|settings| {
        settings.token_time = TimeSpan::from_millis(10);
    })
    .await;
    let unload = json!({
        "order": ward_protocol::RecordId::random(),
        "fence": 1,
        "kind": { "unload": { "key": KEY } },
    });
    let (answer, late) = tokio::join!(
        fixture.request_completion(RequestId::random(), "p", 20, true),
        async {
            sleep_millis(50).await;
            let orders = fixture.control.send(http::Method::POST, "/orders", &unload);
            orders.await.unwrap();
            fixture
                .request_completion(RequestId::random(), "late", 2, false)
                .await
        }
    );
    expect_that!(is_complete(&answer), eq(true));
    expect_that!(late.text, contains_substring("x-outcome: not_run"));
    let is_empty = |history: &ward_standin::EngineHistory| {
        history.holdings.last().unwrap().replicas.is_empty()
    };
    fixture.history_until(is_empty).await;
}

#[googletest::test]
#[tokio::test]
async fn prefix_cached() {
    let fixture = EngineFixture::start(|settings| {
        settings.prefill_time = TimeSpan::from_millis(40);
    })
    .await;
    let complete = async |prompt: &str| {
        let begun = tokio::time::Instant::now();
        fixture
            .request_completion(RequestId::random(), prompt, 1, false)
            .await;
        begun.elapsed()
    };
    let head = "c".repeat(640);
    let cold = complete(&format!("{head}first")).await;
    expect_that!(cold, ge(std::time::Duration::from_millis(11 * 40)));
    let warm = complete(&format!("{head}second")).await;
    expect_that!(warm, lt(cold / 2));
}

#[googletest::test]
#[tokio::test]
async fn cache_events_late_with_gaps() {
    let fixture = EngineFixture::start(|settings| settings.cache_blocks = 2).await;
    let events = async || {
        let answer =
            raw_exchange(fixture.standin.address, "GET /cache-events?from=1", "", "").await;
        let events = answer.unwrap().json()["events"].clone();
        let pairs = events.as_array().unwrap().iter().map(|event| {
            let sequence = event["sequence"].as_u64().unwrap();
            (sequence, event["stored"].as_bool().unwrap())
        });
        pairs.collect::<Vec<_>>()
    };
    fixture
        .request_completion(RequestId::random(), &"c".repeat(192), 1, false)
        .await;
    let all = vec![(1, true), (2, true), (3, false)];
    expect_that!(events().await, eq(&all));
    let faults = EngineFaults {
        cache_gap: 3,
        ..EngineFaults::default()
    };
    fixture.control.set_faults(&faults).await.unwrap();
    expect_that!(events().await, eq(&vec![(1, true), (3, false)]));
    let faults = EngineFaults {
        cache_lag_ms: 60_000,
        ..EngineFaults::default()
    };
    fixture.control.set_faults(&faults).await.unwrap();
    expect_that!(events().await, eq(&vec![]));
}
