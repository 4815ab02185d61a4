//! An engine with a loaded replica, and parsing of its answers.

use std::time::Duration;

use serde_json::{Value, json};
use ward_protocol::{MemorySize, RecordId, RequestId, ResidentPhase, TimeSpan};
use ward_standin::{EngineHistory, EngineSettings, EngineStandin, RunningStandin};
use ward_test_support::{RawAnswer, StandinControl, engine_settings, raw_exchange};

pub(crate) const KEY: &str = "m@1";
const WAIT_TIMEOUT: TimeSpan = TimeSpan::from_secs(5);

/// A running engine with one loaded replica.
pub(crate) struct EngineFixture {
    pub(crate) standin: RunningStandin,
    pub(crate) control: StandinControl,
}

impl EngineFixture {
    pub(crate) async fn start(change: impl FnOnce(&mut EngineSettings)) -> Self {
        let mut settings = engine_settings("engine-1", "vic", MemorySize::from_gib(24)).unwrap();
        change(&mut settings);
        let standin = EngineStandin::start(settings).await.unwrap();
        let control = StandinControl::new(standin.address);
        let fixture = Self { standin, control };
        fixture.load().await;
        fixture
    }

    pub(crate) async fn load(&self) {
        let order = json!({
            "order": RecordId::random(),
            "fence": 1,
            "kind": { "load": { "key": KEY, "memory": "10GiB" } },
        });
        self.control
            .send(http::Method::POST, "/orders", &order)
            .await
            .unwrap();
        self.history_until(|history| {
            history.holdings.last().is_some_and(|holding| {
                let ready = |phase| phase == ResidentPhase::Ready;
                holding.replicas.iter().any(|held| ready(held.phase))
            })
        })
        .await;
    }

    pub(crate) async fn history_until(
        &self,
        check: impl Fn(&EngineHistory) -> bool,
    ) -> EngineHistory {
        self.control
            .history_until(WAIT_TIMEOUT, check)
            .await
            .unwrap()
    }

    /// Requests a completion; returns the raw answer with its header.
    pub(crate) async fn request_completion(
        &self,
        id: RequestId,
        prompt: &str,
        tokens: u64,
        stream: bool,
    ) -> RawAnswer {
        let body = json!({
            "model": KEY, "prompt": prompt, "max_tokens": tokens, "stream": stream,
        });
        let headers = format!("x-request-id: {id}\r\n");
        let address = self.standin.address;
        raw_exchange(address, "POST /v1/completions", &headers, &body.to_string())
            .await
            .unwrap()
    }

    /// Resumes a stream at a position.
    pub(crate) async fn resume(&self, id: RequestId, from: u64) -> RawAnswer {
        let head = format!("POST /v1/requests/{id}/resume?from={from}");
        raw_exchange(self.standin.address, &head, "", "")
            .await
            .unwrap()
    }
}

/// Returns the events of a stream that arrived, without the final `[DONE]`.
pub(crate) fn events(answer: &RawAnswer) -> Vec<Value> {
    answer
        .text
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .filter_map(|data| serde_json::from_str(data).ok())
        .collect()
}

/// Returns the concatenated text of the events that arrived.
pub(crate) fn stream_text(answer: &RawAnswer) -> String {
    let tokens = events(answer);
    let tokens = tokens
        .iter()
        .map(|event| event["choices"][0]["text"].as_str().unwrap());
    tokens.collect()
}

/// Returns whether a stream arrived completely.
pub(crate) fn is_complete(answer: &RawAnswer) -> bool {
    answer.text.contains("data: [DONE]")
}

pub(crate) async fn sleep_millis(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}
