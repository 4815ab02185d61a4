//! The calls of the operators' API, as this daemon answers them.

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

/// Longest wait for another daemon's level.
pub(super) const LEVEL_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);

/// Lists the requests of this daemon.
pub(crate) type RequestLister = Arc<dyn Fn() -> RequestsAnswer + Send + Sync>;

/// What the operators' calls are answered with.
#[derive(Clone)]
pub struct OperatorParts {
    /// This daemon.
    pub daemon: DaemonId,
    /// The control thread.
    pub control: ControlHandle,
    /// The log service.
    pub log: LogClient,
    /// The newest records read.
    pub rings: SharedRings,
    /// Keys for other daemons.
    pub keys: PeerKeys,
    /// Requests of this daemon.
    pub requests: RequestLister,
    /// Where lines go.
    pub logger: Logger,
}

/// The calls of the operators' API, as this daemon answers them.
#[must_use]
pub fn operator_calls(parts: &OperatorParts) -> OperatorCalls {
    let control = parts.control.clone();
    let requests = Arc::clone(&parts.requests);
    OperatorCalls {
        submit: bind(parts, submit::submit),
        plan: bind(parts, plan),
        history: bind(parts, history::history),
        status: bind_without_input(parts, status::status),
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
    /// Looks at the control state.
    pub(super) async fn query<T: Send + 'static>(
        &self,
        read: impl FnOnce(&mut ControlCore) -> T + Send + 'static,
    ) -> Result<T, OperatorError> {
        self.control.query(read).await.ok_or_else(|| {
            OperatorError::refused(ResultCode::Stopping, "the control thread has ended")
        })
    }

    /// How far each member is, as it says itself.
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

/// A member and how far it says it is.
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
        at: info.map(|info| info.at).unwrap_or_default(),
        rows: content.values().cloned().collect(),
    })
}
