//! Calls to a plain service, its faults, and its counts of runs.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use googletest::prelude::*;
use serde_json::json;
use ward_protocol::{RequestId, TimeSpan};
use ward_standin::{RunningStandin, ServiceFaults, ServiceHistory, ServiceStandin};
use ward_test_support::{RawAnswer, StandinControl, raw_exchange, service_settings};

const KEY: &str = "charge-17";
const WAIT_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);

struct Fixture {
    standin: RunningStandin,
    control: StandinControl,
}

impl Fixture {
    async fn start(faults: ServiceFaults) -> Self {
        let mut settings = service_settings("booking-1", "vic", &["booking"]).unwrap();
        settings.faults = faults;
        let standin = ServiceStandin::start(settings).await.unwrap();
        let control = StandinControl::new(standin.address);
        Self { standin, control }
    }

    async fn charge(&self, id: RequestId) -> RawAnswer {
        let headers = format!("x-request-id: {id}\r\nidempotency-key: {KEY}\r\n");
        let head = "POST /services/booking/deposits/9?currency=EUR";
        raw_exchange(self.standin.address, head, &headers, "30 EUR")
            .await
            .unwrap()
    }

    async fn history(&self) -> ServiceHistory {
        self.control
            .history_until(WAIT_TIMEOUT, |_| true)
            .await
            .unwrap()
    }
}

#[googletest::test]
#[tokio::test]
async fn call_echoes_request() {
    let fixture = Fixture::start(ServiceFaults::default()).await;
    let id = RequestId::random();
    let answer = fixture.charge(id).await;
    expect_that!(
        answer.text,
        contains_substring(format!("x-request-id: {id}"))
    );
    let body = answer.json();
    expect_that!(body["run"], eq(&json!(1)));
    expect_that!(
        body["call"],
        eq(&json!("POST /services/booking/deposits/9?currency=EUR"))
    );
    let history = fixture.history().await;
    expect_that!(history.calls[0].answered, eq(true));
    expect_that!(history.runs_by_key[KEY], eq(1));
}

#[googletest::test]
#[tokio::test]
async fn call_unknown_service() {
    let fixture = Fixture::start(ServiceFaults::default()).await;
    let answer = raw_exchange(fixture.standin.address, "GET /services/orders", "", "").await;
    expect_that!(answer.unwrap().text, starts_with("HTTP/1.1 404"));
    expect_that!(fixture.history().await.calls.len(), eq(0));
}

#[googletest::test]
#[tokio::test]
async fn call_repeated_is_counted() {
    let fixture = Fixture::start(ServiceFaults::default()).await;
    fixture.charge(RequestId::random()).await;
    let second = fixture.charge(RequestId::random()).await;
    expect_that!(second.json()["run"], eq(&json!(2)));
    let history = fixture.history().await;
    expect_that!(history.runs_by_key[KEY], eq(2));
    expect_that!(history.runs_by_request.len(), eq(2));
}

#[googletest::test]
#[tokio::test]
async fn call_fails_after_effect() {
    let no_faults = ServiceFaults::default;
    let cases = [
        ServiceFaults {
            truncate_answers: 1,
            ..no_faults()
        },
        ServiceFaults {
            lose_answers: 1,
            ..no_faults()
        },
        ServiceFaults {
            crash_after_effect: 1,
            ..no_faults()
        },
        ServiceFaults {
            fail_answers: 1,
            ..no_faults()
        },
    ];
    for faults in cases {
        let label = format!("{faults:?}");
        let fixture = Fixture::start(faults).await;
        let answer = fixture.charge(RequestId::random()).await;
        let complete = answer.text.starts_with("HTTP/1.1 200") && answer.text.ends_with('}');
        expect_that!(complete, eq(false), "{label}");
        let history = fixture.history().await;
        expect_that!(history.runs_by_key[KEY], eq(1), "{label}");
        expect_that!(history.calls[0].answered, eq(false), "{label}");
    }
}

#[googletest::test]
#[tokio::test]
async fn call_fails_before_effect() {
    let no_faults = ServiceFaults::default;
    let cases = [
        ServiceFaults {
            down: true,
            ..no_faults()
        },
        ServiceFaults {
            crash_before_effect: 1,
            ..no_faults()
        },
    ];
    for faults in cases {
        let label = format!("{faults:?}");
        let fixture = Fixture::start(faults).await;
        expect_that!(
            fixture.charge(RequestId::random()).await.text.as_str(),
            eq(""),
            "{label}"
        );
        expect_that!(fixture.history().await.calls.len(), eq(0), "{label}");
    }
}

#[googletest::test]
#[tokio::test]
async fn call_wrong_id() {
    let faults = ServiceFaults {
        wrong_ids: 1,
        ..ServiceFaults::default()
    };
    let fixture = Fixture::start(faults).await;
    let id = RequestId::random();
    let answer = fixture.charge(id).await;
    expect_that!(answer.text, not(contains_substring(id.to_string())));
}

#[googletest::test]
#[tokio::test]
async fn call_slow() {
    let faults = ServiceFaults {
        slow_ms: 150,
        ..ServiceFaults::default()
    };
    let fixture = Fixture::start(faults).await;
    let (answer, early) = tokio::join!(fixture.charge(RequestId::random()), async {
        tokio::time::sleep(std::time::Duration::from_millis(60)).await;
        fixture.history().await
    });
    // The call takes effect before the delay.
    expect_that!(early.runs_by_key[KEY], eq(1));
    expect_that!(early.calls[0].answered, eq(false));
    expect_that!(answer.json()["run"], eq(&json!(1)));
}
