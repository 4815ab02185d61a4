//! Callers of the soak, and what they check of their answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use http::StatusCode;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use ward_adapter::served::prompt_headers;
use ward_protocol::PartId;
use ward_stage::{
    CRASHING_PART, CRASHING_PATH, CallerError, CallerRequest, RunLedger, SLOW_PATH, Stage,
    StageCaller,
};

use super::{MAX_RESUMPTIONS, REQUESTS_PER_CRASH, RandomSource, has_two_versions, model_count};
use crate::caller_stream::{CallerResult, CallerStream};

pub(super) struct SoakCaller {
    pub(super) seed: u64,
    pub(super) number: usize,
    pub(super) addresses: Vec<std::net::SocketAddr>,
    pub(super) ledger: RunLedger,
    pub(super) stop: Arc<AtomicBool>,
    pub(super) served: Arc<AtomicUsize>,
}

impl SoakCaller {
    /// Sends requests over kept connections until `stop` is set; returns all violations of
    /// guarantees.
    pub(super) async fn run(self) -> Vec<String> {
        let mut violations = Vec::new();
        let mut random = RandomSource(ChaCha8Rng::seed_from_u64(
            self.seed ^ (self.number as u64) << 32,
        ));
        let mut connection = None;
        let mut count = 0;
        while !self.stop.load(Ordering::Relaxed) {
            let Some(mut caller) = self.connect(connection.take(), &mut random).await else {
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            };
            let request = self.request(count, &mut random);
            count += 1;
            let answer = caller.send(&request).await;
            // A connection is used until it closes, whatever its answers announce.
            connection = answer.is_ok().then_some(caller);
            violations.extend(self.check(&request, &answer));
            if request.path.starts_with("/quote") && answer.is_err() {
                violations.extend(self.take_up(&request, answer, &mut random).await);
            }
        }
        violations
    }

    /// Takes up a stream that broke off, at any daemons; returns a violation if it holds
    /// events of two software versions, or has gaps.
    async fn take_up(
        &self,
        request: &CallerRequest,
        answer: CallerResult,
        random: &mut RandomSource,
    ) -> Option<String> {
        let mut stream = CallerStream {
            first_try: request.id.clone(),
            events: String::new(),
        };
        stream.add(answer);
        for number in 0..MAX_RESUMPTIONS {
            if stream.event_count() == 0 || stream.is_complete() {
                break;
            }
            let Some(mut caller) = self.connect(None, random).await else {
                continue;
            };
            let id = format!("{}-{number}", request.id);
            let next = CallerRequest {
                id,
                ..request.clone()
            };
            stream.add(caller.send(&stream.resumption_of(next)).await);
        }
        let is_valid = stream.is_of_one_version();
        (!is_valid).then(|| format!("{}: joined stream {:?}", request.id, stream.events))
    }

    async fn connect(
        &self,
        kept: Option<StageCaller>,
        random: &mut RandomSource,
    ) -> Option<StageCaller> {
        if kept.is_some() {
            return kept;
        }
        let connect = StageCaller::connect(random.choose(&self.addresses));
        tokio::time::timeout(Duration::from_secs(1), connect)
            .await
            .ok()?
            .ok()
    }

    fn request(&self, count: usize, random: &mut RandomSource) -> CallerRequest {
        let id = format!("s{}-{}-{count}", self.seed, self.number);
        let model = Stage::model_name(random.below(model_count(self.seed)));
        // Only requests that crash engines have the same content more than once.
        let content = if random.below(REQUESTS_PER_CRASH) == 0 {
            CRASHING_PATH
        } else {
            &id
        };
        let (route, model) = random.choose(&[
            ("quick", Some(&model)),
            ("quote", Some(&model)),
            ("book", None),
            ("stock", None),
        ]);
        let speed = if route == "quote" && has_two_versions(self.seed) {
            SLOW_PATH
        } else {
            ""
        };
        let path = format!("/{route}/{speed}{content}");
        let mut parts = vec!["common".to_owned(), format!("caller-{}", self.number)];
        if random.below(REQUESTS_PER_CRASH) == 0 {
            parts.push(CRASHING_PART.to_owned());
        }
        parts.push(format!("own-{id}"));
        let parts: Vec<PartId> = parts.iter().map(|part| part.parse().unwrap()).collect();
        CallerRequest {
            headers: prompt_headers(&parts),
            ..CallerRequest::new(&id, path, model.map(String::as_str))
        }
    }

    fn check(
        &self,
        request: &CallerRequest,
        answer: &std::result::Result<ward_stage::CallerAnswer, CallerError>,
    ) -> Vec<String> {
        let runs = self.ledger.runs_of(&request.id);
        let mut violations = Vec::new();
        let repeatable = request.path.starts_with("/stock") || request.path.starts_with("/quote");
        if !repeatable && runs.len() > 1 {
            violations.push(format!("{}: {} runs", request.id, runs.len()));
        }
        let Ok(answer) = answer else {
            return violations;
        };
        if answer.status == StatusCode::OK {
            self.served.fetch_add(1, Ordering::Relaxed);
            let own_id = answer.headers.get("x-persimmonward-request-id");
            let own_id = own_id.is_some_and(|id| id.as_bytes() == request.id.as_bytes());
            let stream = CallerStream {
                first_try: request.id.clone(),
                events: answer.text(),
            };
            let complete = request.model.is_none() || stream.is_complete();
            if !own_id || !complete || runs.is_empty() {
                violations.push(format!(
                    "{}: not the complete answer to this request: {}",
                    request.id,
                    answer.text()
                ));
            }
        }
        let not_executed = [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
        ];
        if !repeatable && not_executed.contains(&answer.status) && !runs.is_empty() {
            violations.push(format!("{}: refused although it has run", request.id));
        }
        violations
    }
}
