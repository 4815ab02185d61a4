//! Routes that show, check and change the plan.

use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, StatusCode};
use slog::info;
use tokio::time::{Instant, sleep};
use viz::Request;
use ward_plan::{PlanSheet, SheetDifference};
use ward_protocol::{OperatorName, PlanChange, PlanRevision, RecordId, ResultCode, TimeSpan};

use super::RouteResult;
use super::query::{read_body, read_query};
use super::reply::{json_reply, typed_reply};
use crate::answer::{PlanAnswer, RowPhase, SubmitAnswer, SubmitOutcome};
use crate::calls::{SubmitRequest, SubmitResult};
use crate::error::OperatorError;
use crate::query::{
    DiffQuery, HistoryQuery, PlanFormat, PlanQuery, PlanStatusQuery, RetreatQuery, RowFilter,
    SubmitQuery,
};
use crate::server::OperatorServer;
use crate::warning::{SheetWarning, sheet_warnings};

/// Longest wait until this daemon has read the base from the log.
const BASE_TIMEOUT: Duration = Duration::from_secs(2);
const BASE_POLL_INTERVAL: Duration = Duration::from_millis(50);
const BASE_RETRY_AFTER: TimeSpan = TimeSpan::from_secs(1);
const CSV: HeaderValue = HeaderValue::from_static("text/csv; charset=utf-8");

/// Checks a sheet against the newest accepted plan.
pub(super) async fn check(server: Arc<OperatorServer>, request: Request) -> RouteResult {
    let _permit = server.acquire_upload_permit().await?;
    let sheet = PlanSheet::read(&read_body(request).await?)?;
    let current = (server.calls.plan)(None).await?;
    dry_run_reply(&server, &current, &sheet).await
}

/// Appends a sheet to the log as the next plan.
pub(super) async fn submit(server: Arc<OperatorServer>, request: Request) -> RouteResult {
    let query: SubmitQuery = read_query(&request)?;
    let _permit = server.acquire_upload_permit().await?;
    let sheet = PlanSheet::read(&read_body(request).await?)?;
    let current = current_plan(&server, query.base).await?;
    if query.dry_run {
        return dry_run_reply(&server, &current, &sheet).await;
    }
    let proposal = PlanProposal {
        record: query.record,
        author: query.author,
        change: sheet.change_from(&current.sheet()),
    };
    append(&server, proposal, &current, &sheet).await
}

/// Appends a record that restores the content of an earlier revision.
pub(super) async fn retreat(server: Arc<OperatorServer>, request: Request) -> RouteResult {
    let query: RetreatQuery = read_query(&request)?;
    let current = current_plan(&server, query.base).await?;
    let sheet = (server.calls.plan)(Some(query.to)).await?.sheet();
    if query.dry_run {
        return dry_run_reply(&server, &current, &sheet).await;
    }
    let proposal = PlanProposal {
        record: query.record,
        author: query.author,
        change: PlanChange::Retreat { to: query.to },
    };
    append(&server, proposal, &current, &sheet).await
}

/// A change of the current plan that is to be appended to the log.
struct PlanProposal {
    record: Option<RecordId>,
    author: OperatorName,
    change: PlanChange,
}

async fn append(
    server: &OperatorServer,
    proposal: PlanProposal,
    current: &PlanAnswer,
    sheet: &PlanSheet,
) -> RouteResult {
    let record = proposal.record.unwrap_or_else(RecordId::random);
    info!(
        server.logger, "operators: plan submitted";
        "record" => %record, "author" => %proposal.author, "base" => %current.revision,
    );
    let request = SubmitRequest {
        record,
        author: proposal.author,
        base: current.revision,
        change: proposal.change,
    };
    let (status, outcome) = match (server.calls.submit)(request).await? {
        SubmitResult::Accepted { revision } => {
            (StatusCode::OK, SubmitOutcome::Accepted { revision })
        }
        SubmitResult::Stale { current: newer } => return Err(stale_base(current.revision, newer)),
        SubmitResult::Unknown => (StatusCode::ACCEPTED, SubmitOutcome::Unknown),
    };
    let answer = SubmitAnswer {
        record: Some(record),
        outcome,
        difference: SheetDifference::between(&current.sheet(), sheet),
        warnings: host_warnings(server, sheet).await,
    };
    json_reply(status, &answer)
}

async fn dry_run_reply(
    server: &OperatorServer,
    current: &PlanAnswer,
    sheet: &PlanSheet,
) -> RouteResult {
    let answer = SubmitAnswer {
        record: None,
        outcome: SubmitOutcome::Checked {
            base: current.revision,
        },
        difference: SheetDifference::between(&current.sheet(), sheet),
        warnings: host_warnings(server, sheet).await,
    };
    json_reply(StatusCode::OK, &answer)
}

/// Compares the sheet with the known hosts; no warnings if the daemon cannot list them.
async fn host_warnings(server: &OperatorServer, sheet: &PlanSheet) -> Vec<SheetWarning> {
    match (server.calls.hosts)().await {
        Ok(hosts) => sheet_warnings(sheet, &hosts),
        Err(_) => Vec::new(),
    }
}

/// Returns the newest accepted plan if its revision is the base.
///
/// Waits for a base that this daemon has not read yet: another daemon may have
/// accepted it a moment ago, so it is not stale.
async fn current_plan(
    server: &OperatorServer,
    base: PlanRevision,
) -> Result<PlanAnswer, OperatorError> {
    let end = Instant::now() + BASE_TIMEOUT;
    loop {
        let current = (server.calls.plan)(None).await?;
        match current.revision.cmp(&base) {
            Ordering::Equal => return Ok(current),
            Ordering::Greater => return Err(stale_base(base, current.revision)),
            Ordering::Less if Instant::now() >= end => return Err(behind(base, current.revision)),
            Ordering::Less => sleep(BASE_POLL_INTERVAL).await,
        }
    }
}

fn behind(base: PlanRevision, current: PlanRevision) -> OperatorError {
    let detail = format!("the base is revision {base}, this daemon has read up to {current}");
    OperatorError::RetryLater(ResultCode::StateMissing, detail, BASE_RETRY_AFTER)
}

fn stale_base(base: PlanRevision, current: PlanRevision) -> OperatorError {
    let detail = format!("the base is revision {base}, in force is revision {current}");
    OperatorError::refused(ResultCode::StaleBase, detail)
}

/// Returns a plan as JSON or as a sheet.
pub(super) async fn show(server: Arc<OperatorServer>, request: Request) -> RouteResult {
    let query: PlanQuery = read_query(&request)?;
    let plan = (server.calls.plan)(query.revision).await?;
    match query.format {
        PlanFormat::Json => json_reply(StatusCode::OK, &plan),
        PlanFormat::Csv => Ok(typed_reply(StatusCode::OK, CSV, plan.sheet().to_csv())),
    }
}

/// Lists plan records with their outcomes.
pub(super) async fn history(server: Arc<OperatorServer>, request: Request) -> RouteResult {
    let query: HistoryQuery = read_query(&request)?;
    json_reply(StatusCode::OK, &(server.calls.history)(query).await?)
}

/// Shows the revision that each daemon has in force, and the replicas of each row.
pub(super) async fn status(server: Arc<OperatorServer>, request: Request) -> RouteResult {
    let query: PlanStatusQuery = read_query(&request)?;
    let mut status = (server.calls.plan_status)().await?;
    match query.rows {
        RowFilter::All => {}
        RowFilter::Open => status.rows.retain(|row| row.phase != RowPhase::Ready),
    }
    json_reply(StatusCode::OK, &status)
}

/// Lists the differences between two revisions.
pub(super) async fn diff(server: Arc<OperatorServer>, request: Request) -> RouteResult {
    let query: DiffQuery = read_query(&request)?;
    let from = (server.calls.plan)(Some(query.from)).await?;
    let to = (server.calls.plan)(query.to).await?;
    let difference = SheetDifference::between(&from.sheet(), &to.sheet());
    json_reply(StatusCode::OK, &difference)
}
