//! Handlers of the operator API and the state that they share.

use std::sync::Arc;

use futures::future::join_all;
use futures::{Future, FutureExt};
use slog::Logger;
use ward_control::ControlCore;
use ward_operator::{CallFuture, OperatorCalls, OperatorError, PlanAnswer, RequestsAnswer};
use ward_peer::{LevelReport, PeerKeys, fetch_level};
use ward_platform::LogClient;
use ward_protocol::{DaemonId, MemberInfo, PlanRevision, ResultCode, TimeSpan};

use super::{fleet, history, status, submit};
use crate::control::ControlHandle;
use crate::control::ring::SharedRings;

/// Timeout for another daemon's report of its applied offset and plan revision.
pub(super) const LEVEL_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);

/// Lists the requests that this daemon is processing.
pub(crate) type RequestLister = Arc<dyn Fn() -> RequestsAnswer + Send + Sync>;

/// State that the handlers of the operator API share.
#[derive(Clone)]
pub struct OperatorParts {
    /// Id of this daemon.
    pub daemon: DaemonId,
    /// Queries the control thread.
    pub control: ControlHandle,
    /// Reads and appends the plan stream.
    pub log: LogClient,
    /// Newest records read from the log, which include rejected plans.
    pub rings: SharedRings,
    /// Keys that authenticate queries to other daemons.
    pub keys: PeerKeys,
    /// Lists the requests that this daemon is processing.
    pub requests: RequestLister,
    /// Logger of the operator API.
    pub logger: Logger,
}

/// The handlers of the operator API, bound to their shared state.
#[must_use]
pub fn operator_calls(parts: &OperatorParts) -> OperatorCalls {
    let control = parts.control.clone();
    let requests = Arc::clone(&parts.requests);
    OperatorCalls {
        submit: bind(parts, submit::submit),
        plan: bind(parts, plan),
        history: bind(parts, history::history),
        plan_status: bind_without_input(parts, status::status),
        hosts: bind_without_input(parts, fleet::hosts),
        models: bind_without_input(parts, fleet::models),
        requests: Arc::new(move || {
            let answer = requests();
            async move { Ok(answer) }.boxed()
        }),
        dump: bind_without_input(parts, fleet::dump),
        mode: Arc::new(move || control.view().mode),
    }
}

fn bind<I, T, F>(
    parts: &OperatorParts,
    call: impl Fn(OperatorParts, I) -> F + Send + Sync + 'static,
) -> Arc<dyn Fn(I) -> CallFuture<T> + Send + Sync>
where
    F: Future<Output = Result<T, OperatorError>> + Send + 'static,
{
    let parts = parts.clone();
    Arc::new(move |input| call(parts.clone(), input).boxed())
}

fn bind_without_input<T, F>(
    parts: &OperatorParts,
    call: impl Fn(OperatorParts) -> F + Send + Sync + 'static,
) -> Arc<dyn Fn() -> CallFuture<T> + Send + Sync>
where
    F: Future<Output = Result<T, OperatorError>> + Send + 'static,
{
    let parts = parts.clone();
    Arc::new(move || call(parts.clone()).boxed())
}

impl OperatorParts {
    /// Runs `read` on the core in the control thread.
    pub(super) async fn query<T: Send + 'static>(
        &self,
        read: impl FnOnce(&mut ControlCore) -> T + Send + 'static,
    ) -> Result<T, OperatorError> {
        self.control.query(read).await.ok_or_else(|| {
            OperatorError::refused(ResultCode::Stopping, "the control thread has ended")
        })
    }

    /// Queries every member for its applied offset and plan revision.
    pub(super) async fn levels(&self) -> Result<Vec<MemberLevel>, OperatorError> {
        let members = self
            .query(|core| {
                let members = core.state().members().values();
                members
                    .map(|member| member.info.clone())
                    .collect::<Vec<_>>()
            })
            .await?;
        Ok(join_all(members.into_iter().map(|member| self.level(member))).await)
    }

    async fn level(&self, member: MemberInfo) -> MemberLevel {
        let report = fetch_level(member.peers, &self.keys, LEVEL_TIMEOUT.duration()).await;
        MemberLevel {
            member,
            report: report.ok(),
        }
    }
}

/// A member and its own report; `None` when it gave no valid answer in time.
pub(super) struct MemberLevel {
    pub(super) member: MemberInfo,
    pub(super) report: Option<LevelReport>,
}

async fn plan(
    parts: OperatorParts,
    requested: Option<PlanRevision>,
) -> Result<PlanAnswer, OperatorError> {
    let found = parts
        .query(move |core| plan_answer(core, requested))
        .await?;
    found.ok_or_else(|| {
        let detail = format!("revision {} is not kept", requested.unwrap_or_default());
        OperatorError::refused(ResultCode::UnknownRevision, detail)
    })
}

fn plan_answer(core: &ControlCore, requested: Option<PlanRevision>) -> Option<PlanAnswer> {
    let plans = core.state().plans();
    let revision = requested.unwrap_or_else(|| plans.head());
    let content = plans.content_at(revision)?;
    let info = plans.revisions().find(|info| info.revision == revision);
    Some(PlanAnswer {
        revision,
        author: info.map(|info| info.author.clone()),
        submitted_at: info.map(|info| info.submitted_at).unwrap_or_default(),
        rows: content.values().cloned().collect(),
    })
}
