//! Random schedules of faults. Every request must be answered, be refused with a true
//! outcome, or end with an aborted connection.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures::{StreamExt, stream};
use googletest::prelude::*;
use http::Method;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{
    CallerAnswer, FakeBackend, FakeRequest, Step, TestServer, ViewBuilder, call, chat_body,
    complete_steps, engine_reply, stream_steps,
};
use ward_protocol::{TimeSpan, TrafficLimits, ViewMode};

const SCHEDULES: u64 = 200;
const CONCURRENT_SCHEDULES: usize = 16;
const REQUESTS: u64 = 30;
const ENGINES: usize = 3;
const KEY: &str = "quotes@v1";
/// Time after its deadline by which a request must have ended.
const SLACK: Duration = Duration::from_millis(900);

/// Requests that a backend server may have run, by idempotency key or request id.
type RunLog = Arc<Mutex<Vec<String>>>;
type Checked<T> = std::result::Result<T, String>;

fn not_run(request: &FakeRequest) -> Vec<Step> {
    let id = request.id();
    vec![Step::Send(format!(
        "HTTP/1.1 404 Not Found\r\nx-request-id: {id}\r\nx-outcome: not_run\r\ncontent-length: 0\r\n\r\n"
    ))]
}

fn cut_short(steps: Vec<Step>, share: f64) -> Vec<Step> {
    let cut = |text: &str| {
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let length = (text.len() as f64 * share) as usize;
        text[..length].to_owned()
    };
    let Some(Step::Send(last)) = steps.last() else {
        return vec![Step::Close];
    };
    let last = cut(last);
    let mut steps = steps;
    steps.pop();
    steps.push(Step::Send(last));
    steps.push(Step::Close);
    steps
}

/// Reply of a faulty backend server; records the request unless it did not run.
fn faulty_reply(request: &FakeRequest, rng: &mut ChaCha8Rng, runs: &RunLog) -> Vec<Step> {
    if request.method == "DELETE" {
        return complete_steps(&request.id(), "{}");
    }
    let fault = rng.random_range(0..12);
    if fault == 0 {
        return not_run(request);
    }
    let name = request.header("idempotency-key").map(str::to_owned);
    runs.lock()
        .unwrap()
        .push(name.unwrap_or_else(|| request.id()));
    let from = request.path.split("from=").nth(1);
    let reply = match from {
        Some(from) => stream_steps(&request.id(), from.parse().unwrap()..5, true),
        None => engine_reply(request),
    };
    match fault {
        1 => vec![Step::Close],
        2 => cut_short(reply, rng.random_range(0.0..1.0)),
        3 => [vec![Step::Pause(rng.random_range(1..400))], reply].concat(),
        4 => complete_steps(&"3".repeat(32), "{\"id\":\"stray\"}"),
        5 => [reply, complete_steps(&"4".repeat(32), "{}")].concat(),
        6 if request.is_stream() => stream_steps(&request.id(), 0..rng.random_range(0..5), false),
        7 => vec![Step::Pause(3_000), Step::Close],
        _ => reply,
    }
}

async fn faulty_backend(seed: u64, runs: &RunLog) -> FakeBackend {
    let rng = Mutex::new(ChaCha8Rng::seed_from_u64(seed));
    let runs = Arc::clone(runs);
    FakeBackend::start(move |request| faulty_reply(request, &mut rng.lock().unwrap(), &runs)).await
}

fn random_view(rng: &mut ChaCha8Rng, backends: &[FakeBackend]) -> ViewBuilder {
    let mut view = ViewBuilder::new()
        .row(KEY, 3, true)
        .row("services/orders", 1, false);
    for (index, backend) in backends.iter().enumerate() {
        let name = format!("b{index}");
        view = view.backend(&name, backend.address);
        let leaving = rng.random_ratio(1, 6);
        if index < ENGINES && rng.random_ratio(2, 3) {
            view = view.ready(KEY, &name);
        }
        if leaving {
            view = view.leaving(&name);
        }
    }
    if rng.random_ratio(1, 8) {
        view = view.mode(ViewMode::RoutingOnly);
    }
    view.service("orders", &["b3"])
}

/// Whether the answer is complete; an error if no caller may get such an answer.
fn check_answer(name: &str, answer: &CallerAnswer, runs: &RunLog) -> Checked<bool> {
    let id = answer.headers["x-request-id"].to_str().unwrap();
    let ran = runs
        .lock()
        .unwrap()
        .iter()
        .any(|run| run == id || run == name);
    let fail = |what: &str| Err(format!("{what}: {name} {answer:?}"));
    if answer.status == 200 && answer.body.starts_with("data:") {
        let done = answer.body.ends_with("data: [DONE]\n\n");
        let tokens = answer.body.matches("position").count();
        if answer.body.matches(id).count() < tokens {
            return fail("token of another request");
        }
        let silently_cut = answer.complete && !(done && tokens == 5);
        return if silently_cut {
            fail("incomplete stream ended normally")
        } else {
            Ok(answer.complete)
        };
    }
    if answer.status == 200 {
        let own = answer.json()["id"] == id;
        return if own {
            Ok(true)
        } else {
            fail("answer of another request")
        };
    }
    match answer.outcome().as_str() {
        "not_run" if ran => fail("false not_run"),
        "not_run" | "failed" | "in_doubt" => Ok(false),
        _ => fail("no outcome"),
    }
}

async fn run_request(server: &TestServer, seed: u64, index: u64, runs: &RunLog) -> Checked<bool> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000 + index);
    tokio::time::sleep(Duration::from_millis(rng.random_range(0..300))).await;
    let limit = rng.random_range(20..900);
    let name = format!("k-{seed}-{index}");
    let text = limit.to_string();
    let priority = format!("u={}", rng.random_range(0..8));
    let headers = [
        ("request-timeout", text.as_str()),
        ("priority", priority.as_str()),
        ("idempotency-key", name.as_str()),
    ];
    let once = rng.random_ratio(1, 4);
    let (path, body, headers) = if once {
        ("/services/orders/new", "{}".to_owned(), &headers[..])
    } else {
        let body = chat_body("quotes", rng.random());
        ("/v1/chat/completions", body, &headers[..2])
    };
    let start = Instant::now();
    let max_time = Duration::from_secs(10);
    let exchange = call(server.address(), Method::POST, path, headers, &body);
    let Ok(answer) = tokio::time::timeout(max_time, exchange).await else {
        return Err(format!("no answer: {name}"));
    };
    let late = start.elapsed() > Duration::from_millis(limit) + SLACK;
    if late && answer.status != 200 {
        return Err(format!(
            "refused late after {:?}: {name} {answer:?}",
            start.elapsed()
        ));
    }
    check_answer(&name, &answer, runs)
}

/// Runs one schedule and returns the number of complete answers.
async fn run_schedule(seed: u64) -> Checked<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let runs = RunLog::default();
    let mut backends = Vec::new();
    for index in 0..=ENGINES as u64 {
        backends.push(faulty_backend(seed * 10 + index, &runs).await);
    }
    let limits = TrafficLimits {
        per_replica: rng.random_range(1..5),
        waiting: rng.random_range(5..40),
        default_deadline: TimeSpan::from_millis(500),
        ..TrafficLimits::default()
    };
    let server = TestServer::start(random_view(&mut rng, &backends).build(), limits).await;
    let changes = async {
        for _ in 0..6 {
            tokio::time::sleep(Duration::from_millis(rng.random_range(10..100))).await;
            server.publish(random_view(&mut rng, &backends).build());
            if rng.random_ratio(1, 6) {
                backends[rng.random_range(0..ENGINES)].kill();
            }
        }
    };
    let requests = (0..REQUESTS).map(|index| run_request(&server, seed, index, &runs));
    let (results, ()) = tokio::join!(futures::future::join_all(requests), changes);
    let results = results.into_iter().collect::<Checked<Vec<_>>>()?;
    let complete = results.iter().filter(|complete| **complete).count();
    let runs = runs.lock().unwrap();
    let duplicate = runs
        .iter()
        .find(|run| run.starts_with("k-") && runs.iter().filter(|other| other == run).count() > 1);
    match (duplicate, server.handle.waiting_count()) {
        (Some(key), _) => Err(format!("ran twice: {key}")),
        (None, 0) => Ok(complete),
        (None, waiting) => Err(format!("{waiting} requests left in the queue")),
    }
}

#[googletest::test]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn schedules_drop_no_request() {
    let results = stream::iter(0..SCHEDULES)
        .map(|seed| async move { (seed, tokio::spawn(run_schedule(seed)).await.unwrap()) })
        .buffer_unordered(CONCURRENT_SCHEDULES)
        .collect::<Vec<_>>()
        .await;
    let mut complete = 0;
    for (seed, result) in results {
        complete += result.as_ref().copied().unwrap_or_default();
        expect_that!(result, ok(anything()), "seed {seed}");
    }
    // Otherwise the schedules might test nothing but refusals.
    expect_that!(complete as u64, gt(SCHEDULES * REQUESTS / 3));
}
