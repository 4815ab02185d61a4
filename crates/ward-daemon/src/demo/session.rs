//! The steps of the demonstration.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use quick_error::quick_error;
use serde_json::json;
use slog::Logger;
use tokio::time::sleep;
use ward_http::{CallBounds, CallError, HttpClient, HttpReply, json_request};
use ward_protocol::id::IdError;
use ward_protocol::{TimeSpan, ViewMode};
use ward_standin::StandinError;

use super::fleet::DemoFleet;
use super::report::{print_request, print_step};
use crate::process::{DaemonError, RunningDaemon};
use crate::program::DemoOptions;

const SHEET: &str = include_str!("sheet.csv");
const BOUNDS: CallBounds = CallBounds {
    timeout: TimeSpan::from_secs(60),
    answer_bytes: 1 << 20,
};
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const TOKENS: u32 = 32;
const DEPOSIT_KEY: &str = "deposit-2026-12-05-17";

quick_error! {
    /// Why the demonstration failed.
    #[derive(Debug)]
    pub enum DemoError {
        /// A stand-in did not start.
        Standin(cause: StandinError) {
            from()
            display("{cause}")
            source(cause)
        }
        /// A daemon did not start.
        Daemon(cause: DaemonError) {
            from()
            display("{cause}")
            source(cause)
        }
        /// An id in the settings of the demonstration is invalid.
        Id(cause: IdError) {
            from()
            display("{cause}")
            source(cause)
        }
        /// A request could not be sent or got no answer.
        Call(cause: CallError) {
            from()
            display("{cause}")
            source(cause)
        }
        /// A request was answered with a status other than success.
        UnexpectedStatus(what: String, status: u16) {
            display("{what} was answered with status {status}")
        }
        /// A condition was not met before the timeout.
        Timeout(what: &'static str) {
            display("{what} took too long")
        }
    }
}

/// Runs the session: submits a plan sheet, sends requests to cold and warm models, and
/// sends one deposit twice with the same idempotency key.
pub(super) async fn run_session(options: DemoOptions, logger: &Logger) -> Result<(), DemoError> {
    let fleet = DemoFleet::start(options, logger).await?;
    let client = HttpClient::new();
    print_step("Starting");
    wait_until_full(&fleet.daemons).await?;
    println!(
        "{} daemons, {} engines, 1 service",
        options.daemons, options.engines
    );
    print_step("Submitting the plan sheet");
    submit_sheet(&client, &fleet.daemons).await?;
    print_step("Requests                           daemon   status   time");
    for model in ["colours@1", "contracts@2", "colours:wedding@1"] {
        for (state, daemon) in [("cold", 0), ("warm", 0), ("warm", 1)] {
            let daemon = daemon % fleet.daemons.len();
            let what = format!("{model} {state}");
            let request = chat_request(fleet.daemons[daemon].addresses.callers, model)?;
            send(&client, &what, daemon, request).await?;
        }
    }
    for (what, daemon) in [("deposit, first", 0), ("deposit, same key again", 1)] {
        let daemon = daemon % fleet.daemons.len();
        let request = deposit_request(fleet.daemons[daemon].addresses.callers)?;
        send(&client, what, daemon, request).await?;
    }
    print_step("Planned stop");
    fleet.stop().await;
    println!("done");
    Ok(())
}

type DemoRequest = http::Request<http_body_util::Full<bytes::Bytes>>;

async fn send(
    client: &HttpClient,
    what: &str,
    daemon: usize,
    request: DemoRequest,
) -> Result<HttpReply, DemoError> {
    let start = Instant::now();
    let reply = client.call(request, BOUNDS).await?;
    let name = format!("entry-{}", daemon + 1);
    print_request(what, &name, &reply, start.elapsed());
    if !reply.status.is_success() {
        return Err(DemoError::UnexpectedStatus(
            what.to_owned(),
            reply.status.as_u16(),
        ));
    }
    Ok(reply)
}

fn chat_request(address: SocketAddr, model: &str) -> Result<DemoRequest, CallError> {
    let body = json!({
        "model": model,
        "max_tokens": TOKENS,
        "messages": [{ "role": "user", "content": "ivory with sage green" }],
    });
    let path = "/v1/chat/completions";
    json_request(Method::POST, address, path, body.to_string())
}

fn deposit_request(address: SocketAddr) -> Result<DemoRequest, CallError> {
    let body = json!({ "euro": 50 }).to_string();
    let mut request = json_request(Method::POST, address, "/services/booking/deposits", body)?;
    let key = http::HeaderValue::from_static(DEPOSIT_KEY);
    request.headers_mut().insert("idempotency-key", key);
    Ok(request)
}

async fn wait_until_full(daemons: &[RunningDaemon]) -> Result<(), DemoError> {
    let is_full = |daemon: &RunningDaemon| {
        let view = daemon.control.view();
        view.mode == ViewMode::Full && view.entries.len() == daemons.len()
    };
    wait_until("starting", || daemons.iter().all(is_full)).await
}

async fn submit_sheet(client: &HttpClient, daemons: &[RunningDaemon]) -> Result<(), DemoError> {
    let address = daemons[0].addresses.operators;
    let path = "/plan/submit?base=0&author=demo";
    let start = Instant::now();
    let request = json_request(Method::POST, address, path, SHEET)?;
    let reply = client.call(request, BOUNDS).await?;
    if !reply.status.is_success() {
        let what = format!("the sheet ({})", String::from_utf8_lossy(&reply.body));
        return Err(DemoError::UnexpectedStatus(what, reply.status.as_u16()));
    }
    let in_force = |daemon: &RunningDaemon| daemon.control.view().catalog.revision.0 > 0;
    wait_until("the plan", || daemons.iter().all(in_force)).await?;
    let millis = start.elapsed().as_millis();
    println!("accepted and in force on all daemons after {millis} ms");
    Ok(())
}

async fn wait_until(what: &'static str, check: impl Fn() -> bool) -> Result<(), DemoError> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !check() {
        if Instant::now() >= deadline {
            return Err(DemoError::Timeout(what));
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
