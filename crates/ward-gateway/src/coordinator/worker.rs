//! Carries out a planned task at an engine: sends its orders one after another and
//! records their outcomes.
//!
//! Each order names the sequence number at which the engine may carry it out. An
//! order whose answer was lost can therefore be sent again: at most one of the two
//! takes effect, however late the first one arrives.
//!
//! Before the first order of an incarnation that number is zero, as it is after a restart
//! under the same id. So the first order counts only once the engine has reported that it
//! is the incarnation that the order was meant for.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use ward_adapter::{OrderAnswer, OrderCall, OrderFailure, send_order};
use ward_fleet::placement::{
    AdapterLoadTask, LoadSource, ModelLoadTask, PlacedEngine, PlannedTask, TaskTarget,
};
use ward_fleet::{EngineOrder, HeldModel, OrderSequence};
use ward_http::UnpooledClient;
use ward_protocol::{ModelName, TimeSpan};

use super::active::ActiveCoordinator;
use crate::clock;
use crate::gateway::Gateway;

const ORDER_TIMEOUT: TimeSpan = TimeSpan::from_millis(400);
/// Delay before an order is sent again; doubles with each attempt.
const MIN_ORDER_BACKOFF: Duration = Duration::from_millis(25);
const MAX_ORDER_BACKOFF: Duration = Duration::from_millis(400);
const MAX_ORDER_ATTEMPTS: u32 = 9;
/// Number of failed attempts between two queries for the engine's sequence number.
const SEQUENCE_CHECK_ATTEMPTS: u32 = 4;
/// Time that an adapter takes to load after its order was accepted.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(8);
/// Time without tasks for an engine after a failed task or an audit that found it busy.
pub(super) const FAILURE_BACKOFF: TimeSpan = TimeSpan::from_millis(300);
/// Maximum time for which an unload is expected to wait for running requests that use
/// the model.
const MAX_RUN_TIME: TimeSpan = TimeSpan::from_secs(3);
/// Time that the unload of an idle model takes.
const MODEL_UNLOAD_TIME: Duration = Duration::from_millis(55);

/// Why a task failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TaskFailure {
    /// The term has ended or the lease does not allow orders now.
    NoLease,
    /// The engine is gone or has restarted.
    EngineGone,
    /// The engine answered that the order is invalid.
    Refused,
    /// All attempts failed: the engine was busy or unreachable, or a load was never
    /// reported as complete.
    Unreachable,
    /// The engine's sequence number is unknown, or higher than expected because it
    /// accepted an order whose answer was lost.
    Changed,
    /// The engine took its first order, but did not report that it is the incarnation that
    /// the order was meant for.
    Unconfirmed,
}

/// Time between queries whether a load has completed.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Queries after which a load is abandoned.
const MAX_LOAD_POLLS: u32 = 300;

pub(super) struct Worker {
    pub(super) gateway: Rc<Gateway>,
    pub(super) coordinator: Rc<ActiveCoordinator>,
    pub(super) client: UnpooledClient,
    pub(super) target: TaskTarget,
}

/// Spawns a task; its outcome is recorded in the coordinator's state.
pub(super) fn spawn_task(
    gateway: &Rc<Gateway>,
    coordinator: &Rc<ActiveCoordinator>,
    task: PlannedTask,
) {
    let worker = Worker {
        gateway: Rc::clone(gateway),
        coordinator: Rc::clone(coordinator),
        client: UnpooledClient::new(),
        target: task.target().clone(),
    };
    tokio::task::spawn_local(async move {
        match task {
            PlannedTask::Model(task) => worker.run_model_task(task).await,
            PlannedTask::Adapter(task) => worker.run_adapter_task(task).await,
            PlannedTask::Audit(_) => worker.run_audit().await,
        }
        worker.coordinator.plan_requested.notify_one();
    });
}

impl Worker {
    async fn run_model_task(&self, task: ModelLoadTask) {
        let start = clock::now();
        if task.source == LoadSource::Store {
            let limit = self
                .coordinator
                .state
                .borrow()
                .load_limiter
                .concurrency_limit();
            info!(
                self.gateway.logger, "placement: fetch begins"; "engine" => %self.target.engine,
                "model" => %task.model, "reason" => ?task.reason, "together" => task.concurrent_loads,
                "at_once" => limit, "load_millis" => task.load_time.millis(),
            );
        }
        let result = self.swap_models(&task).await;
        info!(
            self.gateway.logger, "placement: model"; "engine" => %self.target.engine,
            "model" => %task.model, "unloaded" => task.unload.len(),
            "source" => ?task.source, "reason" => ?task.reason,
            "millis" => clock::now().since(start).millis(),
            "failed" => result.err().map(|failure| format!("{failure:?}")),
        );
        self.update_engine(|engine| {
            engine.task = None;
            if result.is_ok() {
                engine.record_model_loaded(&task.model, clock::now());
            } else {
                engine.record_task_failure(clock::now(), FAILURE_BACKOFF);
            }
        });
    }

    /// Updates the state of the engine, unless it is gone or has restarted.
    pub(super) fn update_engine(&self, change: impl FnOnce(&mut PlacedEngine)) {
        let mut state = self.coordinator.state.borrow_mut();
        if let Some(engine) = state.engine_mut(&self.target) {
            change(engine);
        }
    }

    /// Whether the incarnation of the engine for which the task was planned is still
    /// known.
    fn is_known(&self) -> bool {
        let mut state = self.coordinator.state.borrow_mut();
        state.engine_mut(&self.target).is_some()
    }

    async fn swap_models(&self, task: &ModelLoadTask) -> Result<(), TaskFailure> {
        for victim in &task.unload {
            let answer = self
                .execute_order(EngineOrder::UnloadModel(victim.clone()))
                .await?;
            if answer == OrderAnswer::Accepted {
                self.wait_for_unload(victim).await;
            }
            self.update_engine(|engine| engine.record_model_unloaded(victim));
        }
        let answer = self
            .execute_order(EngineOrder::LoadModel(task.model.clone()))
            .await?;
        if answer == OrderAnswer::Accepted {
            let start = clock::now();
            tokio::time::sleep(task.load_time.duration()).await;
            if task.source == LoadSource::Store {
                self.wait_for_load(task).await?;
                let elapsed = clock::now().since(start);
                let mut state = self.coordinator.state.borrow_mut();
                state
                    .load_limiter
                    .record_load_end(task.load_time, elapsed, task.concurrent_loads);
            }
        }
        Ok(())
    }

    /// Waits until an unload should be complete: the engine begins it when the last
    /// request that uses the model has ended, which the daemons report.
    async fn wait_for_unload(&self, victim: &ModelName) {
        let start = clock::now();
        while self.is_in_use(victim) && clock::now().since(start) < MAX_RUN_TIME {
            tokio::time::sleep(MODEL_UNLOAD_TIME).await;
        }
        tokio::time::sleep(MODEL_UNLOAD_TIME).await;
    }

    /// Whether running requests use this model of the engine.
    fn is_in_use(&self, model: &ModelName) -> bool {
        let mut state = self.coordinator.state.borrow_mut();
        let engine = state.engine_mut(&self.target);
        let held = engine.and_then(|engine| engine.held.get(model));
        held.is_some_and(|held| held.running > 0)
    }

    /// Waits until the engine reports that it holds a model from the weight store,
    /// which slows down under load. The order is not sent again: an engine that
    /// receives it during the load fetches the model a second time.
    async fn wait_for_load(&self, task: &ModelLoadTask) -> Result<(), TaskFailure> {
        for _ in 0..MAX_LOAD_POLLS {
            let report = self.query_report().await;
            let holds = |held: &HeldModel| held.model == task.model;
            if report.is_some_and(|report| report.models.iter().any(holds)) {
                return Ok(());
            }
            if !self.is_known() {
                return Err(TaskFailure::EngineGone);
            }
            if self.coordinator.is_ended() {
                return Err(TaskFailure::NoLease);
            }
            tokio::time::sleep(LOAD_POLL_INTERVAL).await;
        }
        Err(TaskFailure::Unreachable)
    }

    async fn run_adapter_task(&self, task: AdapterLoadTask) {
        let result = self.swap_adapter(&task).await;
        info!(
            self.gateway.logger, "placement: adapter"; "engine" => %self.target.engine,
            "model" => %task.model, "adapter" => %task.adapter,
            "failed" => result.err().map(|failure| format!("{failure:?}")),
        );
        self.update_engine(|engine| {
            engine.adapter_busy = false;
            if result.is_ok() {
                engine.record_adapter_loaded(&task.model, &task.adapter, clock::now());
            } else {
                engine.record_adapter_unloaded(&task.model, &task.adapter);
                engine.record_task_failure(clock::now(), FAILURE_BACKOFF);
            }
        });
    }

    async fn swap_adapter(&self, task: &AdapterLoadTask) -> Result<(), TaskFailure> {
        if let Some((model, adapter)) = &task.unload {
            let order = EngineOrder::UnloadAdapter(model.clone(), adapter.clone());
            self.execute_order(order).await?;
            self.update_engine(|engine| engine.record_adapter_unloaded(model, adapter));
        }
        let order = EngineOrder::LoadAdapter(task.model.clone(), task.adapter.clone());
        if self.execute_order(order).await? == OrderAnswer::Accepted {
            tokio::time::sleep(ADAPTER_LOAD_TIME).await;
        }
        Ok(())
    }

    /// Sends an order until the engine accepts it or answers that its goal is already
    /// reached; fails if the engine rejects it or after `MAX_ORDER_ATTEMPTS`.
    async fn execute_order(&self, order: EngineOrder) -> Result<OrderAnswer, TaskFailure> {
        for attempt in 1..=MAX_ORDER_ATTEMPTS {
            let answer = self.send_order_once(&order).await?;
            match answer {
                Some(answer @ (OrderAnswer::Accepted | OrderAnswer::AlreadyDone)) => {
                    return Ok(answer);
                }
                Some(OrderAnswer::Fenced) => {
                    self.coordinator
                        .end("an engine knows a higher fencing number");
                    return Err(TaskFailure::NoLease);
                }
                Some(OrderAnswer::OtherEngine) => return Err(TaskFailure::EngineGone),
                Some(OrderAnswer::Invalid) => return Err(TaskFailure::Refused),
                Some(OrderAnswer::Busy) | None => {}
            }
            let backoff = MIN_ORDER_BACKOFF * 2_u32.pow(attempt - 1);
            tokio::time::sleep(backoff.min(MAX_ORDER_BACKOFF)).await;
            if attempt % SEQUENCE_CHECK_ATTEMPTS == 0 {
                self.check_sequence().await?;
            }
        }
        Err(TaskFailure::Unreachable)
    }

    /// Sends an order once; returns `None` when no valid answer arrived.
    async fn send_order_once(
        &self,
        order: &EngineOrder,
    ) -> Result<Option<OrderAnswer>, TaskFailure> {
        if !self.coordinator.may_order() {
            return Err(TaskFailure::NoLease);
        }
        let (address, expect) = {
            let mut state = self.coordinator.state.borrow_mut();
            let engine = state.engine_mut(&self.target);
            let engine = engine.ok_or(TaskFailure::EngineGone)?;
            (engine.info.address, engine.sequence)
        };
        let expect = expect.ok_or(TaskFailure::Changed)?;
        let holder = self.gateway.settings().daemon.clone();
        let call = OrderCall {
            address,
            engine: &self.target.engine,
            order,
            expect,
            holder: &holder,
            fence: self.coordinator.fence(),
        };
        let reply = send_order(&self.client, &call, ORDER_TIMEOUT).await;
        if reply.as_ref().is_ok_and(|reply| reply.leaving) {
            self.record_leaving();
        }
        let answer = reply.map(|reply| reply.answer);
        self.record_answer(order, &answer);
        // `record_answer` has logged the cause of a failure.
        let answer = answer.ok();
        if expect == OrderSequence::default() && answer.is_some_and(OrderAnswer::is_success) {
            self.confirm_incarnation().await?;
        }
        Ok(answer)
    }

    fn record_answer(&self, order: &EngineOrder, answer: &Result<OrderAnswer, OrderFailure>) {
        let label = match answer {
            Ok(OrderAnswer::Accepted) => "accepted",
            Ok(OrderAnswer::AlreadyDone) => "holds",
            Ok(OrderAnswer::Busy) => "busy",
            Ok(OrderAnswer::Fenced) => "fenced",
            Ok(OrderAnswer::Invalid) => "invalid",
            Ok(OrderAnswer::OtherEngine) => "other_engine",
            Err(_) => "unknown",
        };
        self.gateway
            .metrics
            .orders
            .with_label_values(&[label])
            .inc();
        // An engine unloads an adapter that no request uses before it answers, so the
        // answer says that the goal is already reached; the engine's sequence number
        // still rises.
        let is_instant_unload = label == "holds" && matches!(order, EngineOrder::UnloadAdapter(..));
        if label == "accepted" || is_instant_unload {
            self.update_engine(|engine| engine.record_accepted_order(clock::now()));
            return;
        }
        warn!(
            self.gateway.logger, "order: not accepted"; "engine" => %self.target.engine,
            "order" => %order, "answer" => label,
            "cause" => answer.as_ref().err().map(ToString::to_string),
        );
    }
}
