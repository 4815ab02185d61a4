//! Routes of plans.

use std::sync::Arc;

use http::{HeaderValue, StatusCode};
use slog::info;
use viz::Request;
use ward_plan::{PlanSheet, SheetDifference};
use ward_protocol::{OperatorName, PlanChange, PlanRevision, RecordId, ResultCode};

use super::RouteResult;
use super::query::{read_body, read_query};
use super::reply::{json_reply, typed_reply};
use crate::answer::{PlanAnswer, SubmitAnswer, SubmitOutcome};
use crate::calls::{SubmitRequest, SubmitResult};
use crate::error::OperatorError;
use crate::query::{DiffQuery, HistoryQuery, PlanFormat, PlanQuery, RetreatQuery, SubmitQuery};
use crate::server::OperatorServer;

const CSV: HeaderValue = HeaderValue::from_static("text/csv; charset=utf-8");

/// Checks a sheet against the newest accepted plan.
pub(super) async fn check(server: Arc<OperatorServer>, request: Request) -> RouteResult {
    let sheet = PlanSheet::read(&read_body(request).await?)?;
    let current = (server.calls.plan)(None).await?;
    checked(&current, &sheet)
}

/// Submits a sheet.
pub(super) async fn submit(server: Arc<OperatorServer>, request: Request) -> RouteResult {
    let query: SubmitQuery = read_query(&request)?;
    let sheet = PlanSheet::read(&read_body(request).await?)?;
    let current = (server.calls.plan)(None).await?;
    require_base(query.base, current.revision)?;
    if query.dry_run {
        return checked(&current, &sheet);
    }
    let order = SubmitOrder {
        record: query.record,
        author: query.author,
        change: sheet.change_from(&current.sheet()),
    };
    append(&server, order, &current, &sheet).await
}

/// Brings back the content of an earlier revision.
pub(super) async fn retreat(server: Arc<OperatorServer>, request: Request) -> RouteResult {
    let query: RetreatQuery = read_query(&request)?;
    let earlier = (server.calls.plan)(Some(query.to)).await?;
    let current = (server.calls.plan)(None).await?;
    require_base(query.base, current.revision)?;
    let sheet = earlier.sheet();
    if query.dry_run {
        return checked(&current, &sheet);
    }
    let order = SubmitOrder {
        record: query.record,
        author: query.author,
        change: PlanChange::Retreat { to: query.to },
    };
    append(&server, order, &current, &sheet).await
}

/// What to append on top of the current plan.
struct SubmitOrder {
    record: Option<RecordId>,
    author: OperatorName,
    change: PlanChange,
}

async fn append(
    server: &OperatorServer,
    order: SubmitOrder,
    current: &PlanAnswer,
    sheet: &PlanSheet,
) -> RouteResult {
    let record = order.record.unwrap_or_else(RecordId::random);
    info!(
        server.log, "operators: plan submitted";
        "record" => %record, "author" => %order.author, "base" => %current.revision,
    );
    let request = SubmitRequest {
        record,
        author: order.author,
        base: current.revision,
        change: order.change,
    };
    let (status, outcome) = match (server.calls.submit)(request).await? {
        SubmitResult::Accepted { revision } => {
            (StatusCode::OK, SubmitOutcome::Accepted { revision })
        }
        SubmitResult::Stale { current: newer } => return Err(stale(current.revision, newer)),
        SubmitResult::Unknown => (StatusCode::ACCEPTED, SubmitOutcome::Unknown),
    };
    let answer = SubmitAnswer {
        record: Some(record),
        outcome,
        difference: SheetDifference::between(&current.sheet(), sheet),
    };
    json_reply(status, &answer)
}

fn checked(current: &PlanAnswer, sheet: &PlanSheet) -> RouteResult {
    let answer = SubmitAnswer {
        record: None,
        outcome: SubmitOutcome::Checked {
            base: current.revision,
        },
        difference: SheetDifference::between(&current.sheet(), sheet),
    };
    json_reply(StatusCode::OK, &answer)
}

fn require_base(base: PlanRevision, current: PlanRevision) -> Result<(), OperatorError> {
    if base == current {
        return Ok(());
    }
    Err(stale(base, current))
}

fn stale(base: PlanRevision, current: PlanRevision) -> OperatorError {
    let detail = format!("the base is revision {base}, in force is revision {current}");
    OperatorError::refused(ResultCode::StaleBase, detail)
}

/// Shows a plan.
pub(super) async fn show(server: Arc<OperatorServer>, request: Request) -> RouteResult {
    let query: PlanQuery = read_query(&request)?;
    let plan = (server.calls.plan)(query.revision).await?;
    match query.format {
        PlanFormat::Json => json_reply(StatusCode::OK, &plan),
        PlanFormat::Csv => Ok(typed_reply(StatusCode::OK, CSV, plan.sheet().to_csv())),
    }
}

/// Lists plan records.
pub(super) async fn history(server: Arc<OperatorServer>, request: Request) -> RouteResult {
    let query: HistoryQuery = read_query(&request)?;
    json_reply(StatusCode::OK, &(server.calls.history)(query).await?)
}

/// Tells how far the plan has come.
pub(super) async fn status(server: Arc<OperatorServer>, _request: Request) -> RouteResult {
    json_reply(StatusCode::OK, &(server.calls.status)().await?)
}

/// Compares two revisions.
pub(super) async fn diff(server: Arc<OperatorServer>, request: Request) -> RouteResult {
    let query: DiffQuery = read_query(&request)?;
    let from = (server.calls.plan)(Some(query.from)).await?;
    let to = (server.calls.plan)(query.to).await?;
    let difference = SheetDifference::between(&from.sheet(), &to.sheet());
    json_reply(StatusCode::OK, &difference)
}
