//! Fake daemons that keep plans in memory, and a way to run the program.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::{Arc, Mutex};

use futures::FutureExt;
use slog::{Discard, Logger, o};
use tokio::net::TcpListener;
use tokio::process::Command;
use ward_operator::{
    CallFuture, DaemonItem, DumpAnswer, HistoryAnswer, HistoryEntry, HistoryKind, HistoryQuery,
    HistoryVerdict, HostsAnswer, ModelsAnswer, OperatorCalls, OperatorError, OperatorServer,
    PlanAnswer, PlanStatusAnswer, RequestsAnswer, RowPhase, RowStatus, ShortReason, SubmitRequest,
    SubmitResult, TokenDigest, operator_router, serve_operators,
};
use ward_protocol::{
    LogOffset, PlanChange, PlanRevision, PlanRow, ResultCode, TimeSpan, ViewMode, WallTime,
};

/// Number of status calls during which a slow adoption is not finished.
const SLOW_STATUS_CALLS: u32 = 2;

/// Fault of a fake daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum DaemonFault {
    /// No fault.
    #[default]
    None,
    /// A submitted plan is accepted, but never answered.
    AnswerLost,
    /// A submitted plan is dropped and never answered.
    PlanLost,
    /// A submitted plan is rejected as stale, but never answered.
    StaleLost,
    /// The log cannot be reached.
    LogDown,
    /// Accepted plans never come into force on the second daemon.
    NotAdopted,
    /// Accepted plans come into force, and their rows become ready, after [`SLOW_STATUS_CALLS`].
    SlowAdoption,
}

/// A plan record and the rows of the resulting plan.
type LogEntry = (HistoryEntry, Vec<Arc<PlanRow>>);

/// The log of a deployment, shared by its fake daemons.
#[derive(Clone, Default)]
pub(crate) struct FakeLog {
    entries: Arc<Mutex<Vec<LogEntry>>>,
    status_calls: Arc<Mutex<u32>>,
}

impl FakeLog {
    /// Plan records so far, oldest first.
    pub(crate) fn entries(&self) -> Vec<HistoryEntry> {
        let entries = self.entries.lock().unwrap();
        entries.iter().map(|(entry, _)| entry.clone()).collect()
    }

    /// Counts a status call; returns the number of calls since the newest record.
    fn count_status_call(&self) -> u32 {
        let mut status_calls = self.status_calls.lock().unwrap();
        *status_calls += 1;
        *status_calls
    }

    fn current(&self) -> PlanRevision {
        self.entries()
            .iter()
            .filter(|entry| entry.verdict == HistoryVerdict::Accepted)
            .map(|entry| entry.revision)
            .max()
            .unwrap_or_default()
    }

    fn plan(&self, revision: PlanRevision) -> Option<PlanAnswer> {
        if revision == PlanRevision(0) {
            return Some(PlanAnswer::default());
        }
        let entries = self.entries.lock().unwrap();
        let (entry, rows) = entries
            .iter()
            .find(|(entry, _)| entry.revision == revision)?;
        Some(PlanAnswer {
            revision,
            author: Some(entry.author.clone()),
            submitted_at: entry.submitted_at,
            rows: rows.clone(),
        })
    }

    fn append(&self, request: SubmitRequest, verdict: HistoryVerdict) -> PlanRevision {
        let (kind, rows) = match request.change {
            PlanChange::Whole { rows } => {
                (HistoryKind::Whole, rows.into_iter().map(Arc::new).collect())
            }
            PlanChange::Retreat { to } => {
                (HistoryKind::Retreat { to }, self.plan(to).unwrap().rows)
            }
            PlanChange::Parts { .. } | PlanChange::Rows { .. } => unreachable!(),
        };
        let mut entries = self.entries.lock().unwrap();
        let revision = PlanRevision(entries.len() as u64 + 1);
        let entry = HistoryEntry {
            revision,
            record: request.record,
            author: request.author,
            submitted_at: WallTime(0),
            base: request.base,
            kind,
            verdict,
            rows: 0,
        };
        entries.push((entry, rows));
        *self.status_calls.lock().unwrap() = 0;
        revision
    }
}

/// Starts a fake daemon on a free port.
pub(crate) async fn start_daemon(
    log: &FakeLog,
    fault: DaemonFault,
    token: Option<&str>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let logger = Logger::root(Discard, o!());
    let registry = prometheus::Registry::new();
    let token = token.map(TokenDigest::from_token);
    let calls = calls(log, fault, address);
    let server = OperatorServer::new(calls, token, registry, logger.clone()).unwrap();
    let router = operator_router(Arc::new(server));
    tokio::spawn(serve_operators(
        listener,
        router,
        std::future::pending(),
        logger,
    ));
    address
}

/// Returns an address on which nothing listens.
pub(crate) async fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

fn calls(log: &FakeLog, fault: DaemonFault, address: SocketAddr) -> OperatorCalls {
    let (submit_log, plan_log) = (log.clone(), log.clone());
    let (history_log, status_log) = (log.clone(), log.clone());
    OperatorCalls {
        submit: Arc::new(move |request| submit(&submit_log, fault, request)),
        plan: Arc::new(move |revision| {
            let revision = revision.unwrap_or_else(|| plan_log.current());
            ready(plan_log.plan(revision).ok_or_else(|| {
                let detail = format!("revision {revision}");
                OperatorError::refused(ResultCode::UnknownRevision, detail)
            }))
        }),
        history: Arc::new(move |query| ready(Ok(history(&history_log, query)))),
        plan_status: Arc::new(move || ready(Ok(status(&status_log, fault, address)))),
        hosts: Arc::new(|| ready(Ok(HostsAnswer::default()))),
        models: Arc::new(|| ready(Ok(ModelsAnswer::default()))),
        requests: Arc::new(|| ready(Ok(RequestsAnswer::default()))),
        dump: Arc::new(|| ready(Ok(DumpAnswer::default()))),
        mode: Arc::new(|| ViewMode::Full),
    }
}

fn submit(log: &FakeLog, fault: DaemonFault, request: SubmitRequest) -> CallFuture<SubmitResult> {
    match fault {
        DaemonFault::None | DaemonFault::NotAdopted | DaemonFault::SlowAdoption => {
            let revision = log.append(request, HistoryVerdict::Accepted);
            ready(Ok(SubmitResult::Accepted { revision }))
        }
        DaemonFault::AnswerLost => {
            log.append(request, HistoryVerdict::Accepted);
            std::future::pending().boxed()
        }
        DaemonFault::StaleLost => {
            log.append(request, HistoryVerdict::Stale);
            std::future::pending().boxed()
        }
        DaemonFault::PlanLost => std::future::pending().boxed(),
        DaemonFault::LogDown => ready(Err(OperatorError::RetryLater(
            ResultCode::LogUnavailable,
            "no answer".to_owned(),
            TimeSpan::from_secs(1),
        ))),
    }
}

fn history(log: &FakeLog, query: HistoryQuery) -> HistoryAnswer {
    let limit = query.limit.unwrap_or(u32::MAX) as usize;
    let matches_query =
        |entry: &HistoryEntry| query.record.is_none_or(|record| record == entry.record);
    HistoryAnswer {
        entries: log
            .entries()
            .into_iter()
            .rev()
            .filter(matches_query)
            .take(limit)
            .collect(),
        complete: true,
    }
}

fn status(log: &FakeLog, fault: DaemonFault, address: SocketAddr) -> PlanStatusAnswer {
    let accepted = log.current();
    let early = log.count_status_call() <= SLOW_STATUS_CALLS;
    let second_adopted = match fault {
        DaemonFault::NotAdopted => Some(PlanRevision(0)),
        DaemonFault::SlowAdoption if early => None,
        _ => Some(accepted),
    };
    let loading = fault == DaemonFault::SlowAdoption && early;
    let daemon = |name: &str, adopted| DaemonItem {
        daemon: name.parse().unwrap(),
        zone: "vic".parse().unwrap(),
        callers: address,
        operators: address,
        applied: Some(LogOffset(1)),
        adopted,
        silent: TimeSpan::ZERO,
    };
    let rows = log.plan(accepted).unwrap().rows;
    PlanStatusAnswer {
        accepted,
        adopted: accepted,
        daemons: vec![
            daemon("entry-1", Some(accepted)),
            daemon("entry-2", second_adopted),
        ],
        rows: rows
            .iter()
            .map(|row| RowStatus {
                target: row.target.clone(),
                replicas: row.replicas,
                wanted: row.ready,
                ready: if loading { 0 } else { row.ready },
                loading: 0,
                phase: if loading && row.ready > 0 {
                    RowPhase::Short
                } else {
                    RowPhase::Ready
                },
                reason: loading.then_some(ShortReason::StoreBusy),
            })
            .collect(),
    }
}

fn ready<T: Send + 'static>(answer: Result<T, OperatorError>) -> CallFuture<T> {
    std::future::ready(answer).boxed()
}

/// Output and exit code of the program.
#[derive(Debug)]
pub(crate) struct ProgramExit {
    /// Exit code.
    pub(crate) code: i32,
    /// Standard output.
    pub(crate) output: String,
    /// Standard error.
    pub(crate) errors: String,
}

/// Runs the program from the root of the repository.
pub(crate) async fn run_program(arguments: &[&str]) -> ProgramExit {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let output = Command::new(env!("CARGO_BIN_EXE_persimmon"))
        .args(arguments)
        .current_dir(root)
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .output()
        .await
        .unwrap();
    ProgramExit {
        code: output.status.code().unwrap(),
        output: String::from_utf8(output.stdout).unwrap(),
        errors: String::from_utf8(output.stderr).unwrap(),
    }
}
