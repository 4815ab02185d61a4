//! `plan submit`: submits a sheet as the next plan.

use std::path::PathBuf;

use clap::{Arg, ArgMatches};
use futures::FutureExt;
use ward_operator::{
    PlanStatusAnswer, PlanStatusQuery, RowFilter, SubmitAnswer, SubmitOutcome, SubmitQuery,
};
use ward_protocol::{OperatorName, PlanRevision, RecordId};

use super::show::{SheetFile, answer_text};
use super::wait::wait_in_force;
use crate::argument::{BaseChoice, SubmitOptions, required, sheet_argument, submit_arguments};
use crate::client::{ApiRequest, SubmitCall, SubmitResolution};
use crate::command::{CommandEntry, CommandExample};
use crate::context::CommandContext;
use crate::error::CliError;

/// The `plan submit` command.
pub const ENTRY: CommandEntry = CommandEntry {
    words: &["plan", "submit"],
    about: "Puts a sheet into force",
    arguments,
    examples: &[
        CommandExample {
            line: "persimmon plan submit examples/ljubljana.csv --base current --author ana \
                   --dry-run --daemon 127.0.0.1:7003",
            about: "Shows what would change",
        },
        CommandExample {
            line: "persimmon plan submit examples/ljubljana.csv --base current --author ana \
                   --wait --daemon 127.0.0.1:7003",
            about: "Submits the sheet and waits until it is in force",
        },
    ],
    run: |context, matches| run(context, matches).boxed(),
};

fn arguments() -> Vec<Arg> {
    let mut arguments = vec![sheet_argument()];
    arguments.extend(submit_arguments());
    arguments
}

async fn run(context: CommandContext, mut matches: ArgMatches) -> Result<(), CliError> {
    let path: PathBuf = required(&mut matches, "sheet")?;
    let options = SubmitOptions::from_matches(&mut matches)?;
    let file = SheetFile::read(&path)?;
    submit_plan(&context, &options, |parameters| {
        let query = SubmitQuery {
            base: parameters.base,
            author: parameters.author,
            record: parameters.record,
            dry_run: parameters.dry_run,
        };
        ApiRequest::post("/plan/submit", &query, file.bytes)
    })
    .await
}

/// Query parameters that `plan submit` and `plan retreat` share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmitParameters {
    /// The revision that the plan is based on.
    pub base: PlanRevision,
    /// Name of the operator for the history.
    pub author: OperatorName,
    /// Id of the record to append; `None` for a dry run.
    pub record: Option<RecordId>,
    /// Only show what would change.
    pub dry_run: bool,
}

/// Submits a plan, prints its outcome, and waits until it is in force if the options say so.
///
/// # Errors
/// Fails when the plan is refused, when no daemon answers, when the outcome is unknown, or
/// when the plan does not come into force in time.
pub async fn submit_plan(
    context: &CommandContext,
    options: &SubmitOptions,
    build_request: impl FnOnce(SubmitParameters) -> Result<ApiRequest, CliError>,
) -> Result<(), CliError> {
    let parameters = SubmitParameters {
        base: find_base(context, options.base).await?,
        author: options.author.clone(),
        record: (!options.dry_run).then(RecordId::random),
        dry_run: options.dry_run,
    };
    let record = parameters.record;
    let request = build_request(parameters)?;
    let Some(record) = record else {
        let answer: SubmitAnswer = context.client.read(&request).await?;
        print_answer(context, &answer);
        return Ok(());
    };
    let resolution = context
        .client
        .submit(&SubmitCall { record, request })
        .await?;
    let revision = print_resolution(context, record, &resolution);
    match (options.wait, revision) {
        (Some(limit), Some(revision)) => wait_in_force(&context.client, revision, limit).await,
        _ => Ok(()),
    }
}

/// Creates the request for the revisions in force and the rows that are not ready.
///
/// # Errors
/// Fails when the query cannot be encoded.
pub fn open_rows_request() -> Result<ApiRequest, CliError> {
    let rows = RowFilter::Open;
    ApiRequest::get_with("/plan/status", &PlanStatusQuery { rows })
}

async fn find_base(context: &CommandContext, base: BaseChoice) -> Result<PlanRevision, CliError> {
    match base {
        BaseChoice::Revision(revision) => Ok(revision),
        BaseChoice::Current => {
            let request = open_rows_request()?;
            let status: PlanStatusAnswer = context.client.read(&request).await?;
            Ok(status.accepted)
        }
    }
}

fn print_resolution(
    context: &CommandContext,
    record: RecordId,
    resolution: &SubmitResolution,
) -> Option<PlanRevision> {
    match resolution {
        SubmitResolution::Answered(answer) => {
            print_answer(context, answer);
            match answer.outcome {
                SubmitOutcome::Accepted { revision } => Some(revision),
                SubmitOutcome::Checked { .. } | SubmitOutcome::Unknown => None,
            }
        }
        SubmitResolution::Found(revision) => {
            let answer = FoundRecord {
                record,
                revision: *revision,
            };
            context.format.print(&answer, || {
                format!("accepted as revision {revision}, as the history shows\n")
            });
            Some(*revision)
        }
    }
}

/// Printed for a plan whose answer was lost and that the history shows as accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
struct FoundRecord {
    record: RecordId,
    revision: PlanRevision,
}

fn print_answer(context: &CommandContext, answer: &SubmitAnswer) {
    context.format.print(answer, || {
        let changes = answer_text(answer);
        match answer.outcome {
            SubmitOutcome::Checked { base } => {
                format!("{changes}nothing submitted; in force is revision {base}\n")
            }
            SubmitOutcome::Accepted { revision } => {
                format!("{changes}accepted as revision {revision}\n")
            }
            SubmitOutcome::Unknown => changes,
        }
    });
}
