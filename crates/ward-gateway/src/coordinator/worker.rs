//! Work on an engine: orders, one after another, with their outcomes.
//!
//! Each order names the sequence number at which it may be carried out, so an
//! order whose answer was lost can be sent again: at most one of the two takes
//! effect, however late the first one is.

use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn};
use ward_adapter::{EngineReport, OrderAnswer, OrderCall, OrderFailure, fetch_report, send_order};
use ward_fleet::placement::{
    AdapterTask, LoadSource, ModelTask, PlacedEngine, PlannedTask, TaskTarget,
};
use ward_fleet::{EngineIncarnation, EngineOrder, HeldModel};
use ward_http::HttpClient;
use ward_protocol::{ModelName, TimeSpan};

use super::active::ActiveCoordinator;
use crate::clock;
use crate::gateway::Gateway;
use crate::leaving::record_leaving;

const ORDER_TIMEOUT: TimeSpan = TimeSpan::from_millis(400);
const REPORT_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);
/// Pause before an order is tried again; doubles with each try.
const MIN_ORDER_BACKOFF: Duration = Duration::from_millis(25);
const MAX_ORDER_BACKOFF: Duration = Duration::from_millis(400);
const MAX_ORDER_ATTEMPTS: u32 = 9;
/// Tries after which the engine is asked for its sequence number.
const SEQUENCE_CHECK_ATTEMPTS: u32 = 4;
/// Time that an adapter takes to load once its order was accepted.
const ADAPTER_LOAD_TIME: Duration = Duration::from_millis(8);
/// Pause for an engine after work that failed.
const FAILURE_BACKOFF: TimeSpan = TimeSpan::from_millis(300);
/// Pause for an engine that did not report.
const NO_REPORT_BACKOFF: TimeSpan = TimeSpan::from_millis(1_500);
/// Longest time that requests are expected to keep a model from being unloaded.
const MAX_RUN_TIME: TimeSpan = TimeSpan::from_secs(3);
/// Time that an unload of an idle model takes.
const MODEL_UNLOAD_TIME: Duration = Duration::from_millis(55);

/// Why an order was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WorkFailure {
    /// The term is over or not certain.
    NoLease,
    /// The engine is gone or has restarted.
    EngineGone,
    /// The engine keeps refusing.
    Refused,
    /// The engine does not answer.
    Unreachable,
    /// The engine has accepted an order whose answer was lost.
    Changed,
}

/// Pause between questions whether a load is done.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Questions after which a load is given up.
const MAX_LOAD_POLLS: u32 = 300;

struct Worker {
    gateway: Rc<Gateway>,
    coordinator: Rc<ActiveCoordinator>,
    /// For this work only: a connection that rested since earlier work may have
    /// been forgotten by the other side, which would cost the timeout.
    client: HttpClient,
    target: TaskTarget,
}

/// Starts work; its outcome shows in the coordinator's state.
pub(super) fn spawn_work(
    gateway: &Rc<Gateway>,
    coordinator: &Rc<ActiveCoordinator>,
    work: PlannedTask,
) {
    let worker = Worker {
        gateway: Rc::clone(gateway),
        coordinator: Rc::clone(coordinator),
        client: HttpClient::new(),
        target: work.target().clone(),
    };
    tokio::task::spawn_local(async move {
        match work {
            PlannedTask::Model(work) => worker.run_model_work(work).await,
            PlannedTask::Adapter(work) => worker.run_adapter_work(work).await,
            PlannedTask::Audit(_) => worker.run_audit().await,
        }
        worker.coordinator.plan_requested.notify_one();
    });
}

impl Worker {
    async fn run_model_work(&self, work: ModelTask) {
        let start = clock::now();
        if work.source == LoadSource::Store {
            let at_once = self.coordinator.state.borrow().ceiling.concurrency_limit();
            info!(
                self.gateway.logger, "placement: fetch begins"; "engine" => %self.target.engine,
                "model" => %work.model, "reason" => ?work.reason, "together" => work.concurrent_loads,
                "at_once" => at_once, "load_millis" => work.load_time.millis(),
            );
        }
        let result = self.swap_models(&work).await;
        info!(
            self.gateway.logger, "placement: model"; "engine" => %self.target.engine,
            "model" => %work.model, "unloaded" => work.unload.len(),
            "source" => ?work.source, "reason" => ?work.reason,
            "millis" => clock::now().since(start).millis(),
            "failed" => result.err().map(|stop| format!("{stop:?}")),
        );
        self.update_engine(|engine| {
            engine.task = None;
            if result.is_ok() {
                engine.record_loaded(&work.model, clock::now());
            } else {
                engine.record_failure(clock::now(), FAILURE_BACKOFF);
            }
        });
    }

    /// Changes what is known of the engine, if it is still in the same life.
    fn update_engine(&self, change: impl FnOnce(&mut PlacedEngine)) {
        let mut state = self.coordinator.state.borrow_mut();
        if let Some(engine) = state.engine_mut(&self.target) {
            change(engine);
        }
    }

    /// Whether the engine is still known in the life for which work was planned.
    fn is_known(&self) -> bool {
        let mut state = self.coordinator.state.borrow_mut();
        state.engine_mut(&self.target).is_some()
    }

    async fn swap_models(&self, work: &ModelTask) -> Result<(), WorkFailure> {
        for victim in &work.unload {
            let answer = self
                .execute_order(EngineOrder::UnloadModel(victim.clone()))
                .await?;
            if answer == OrderAnswer::Accepted {
                self.wait_for_unload(victim).await;
            }
            self.update_engine(|engine| engine.record_unloaded(victim));
        }
        let answer = self
            .execute_order(EngineOrder::LoadModel(work.model.clone()))
            .await?;
        if answer == OrderAnswer::Accepted {
            let start = clock::now();
            tokio::time::sleep(work.load_time.duration()).await;
            if work.source == LoadSource::Store {
                self.wait_for_load(work).await?;
                let elapsed = clock::now().since(start);
                let mut state = self.coordinator.state.borrow_mut();
                state
                    .ceiling
                    .record_done(work.load_time, elapsed, work.concurrent_loads);
            }
        }
        Ok(())
    }

    /// Waits until an unload should be done: it begins when the last request that
    /// uses the model has ended, as the daemons report.
    async fn wait_for_unload(&self, victim: &ModelName) {
        let start = clock::now();
        while self.is_in_use(victim) && clock::now().since(start) < MAX_RUN_TIME {
            tokio::time::sleep(MODEL_UNLOAD_TIME).await;
        }
        tokio::time::sleep(MODEL_UNLOAD_TIME).await;
    }

    /// Whether requests use a model of the engine.
    fn is_in_use(&self, model: &ModelName) -> bool {
        let mut state = self.coordinator.state.borrow_mut();
        let engine = state.engine_mut(&self.target);
        let held = engine.and_then(|engine| engine.held.get(model));
        held.is_some_and(|held| held.running > 0)
    }

    /// Waits until the engine reports a model that comes from the weight store,
    /// which slows down under load. The order itself is not sent again: an engine
    /// that gets it during the load fetches the model anew.
    async fn wait_for_load(&self, work: &ModelTask) -> Result<(), WorkFailure> {
        for _ in 0..MAX_LOAD_POLLS {
            let report = self.query_report().await;
            let holds = |held: &HeldModel| held.model == work.model;
            if report.is_some_and(|report| report.models.iter().any(holds)) {
                return Ok(());
            }
            if !self.is_known() {
                return Err(WorkFailure::EngineGone);
            }
            if self.coordinator.is_ended() {
                return Err(WorkFailure::NoLease);
            }
            tokio::time::sleep(LOAD_POLL_INTERVAL).await;
        }
        Err(WorkFailure::Unreachable)
    }

    async fn run_adapter_work(&self, work: AdapterTask) {
        let result = self.swap_adapter(&work).await;
        info!(
            self.gateway.logger, "placement: adapter"; "engine" => %self.target.engine,
            "model" => %work.model, "adapter" => %work.adapter,
            "failed" => result.err().map(|stop| format!("{stop:?}")),
        );
        self.update_engine(|engine| {
            engine.adapter_busy = false;
            if result.is_ok() {
                engine.record_adapter_loaded(&work.model, &work.adapter, clock::now());
            } else {
                engine.record_adapter_unloaded(&work.model, &work.adapter);
                engine.record_failure(clock::now(), FAILURE_BACKOFF);
            }
        });
    }

    async fn swap_adapter(&self, work: &AdapterTask) -> Result<(), WorkFailure> {
        if let Some((model, adapter)) = &work.unload {
            let order = EngineOrder::UnloadAdapter(model.clone(), adapter.clone());
            self.execute_order(order).await?;
            self.update_engine(|engine| engine.record_adapter_unloaded(model, adapter));
        }
        let order = EngineOrder::LoadAdapter(work.model.clone(), work.adapter.clone());
        if self.execute_order(order).await? == OrderAnswer::Accepted {
            tokio::time::sleep(ADAPTER_LOAD_TIME).await;
        }
        Ok(())
    }

    /// Gives an order until the engine accepts it or says that it holds.
    async fn execute_order(&self, order: EngineOrder) -> Result<OrderAnswer, WorkFailure> {
        for attempt in 1..=MAX_ORDER_ATTEMPTS {
            let answer = self.send_order_once(&order).await?;
            match answer {
                Some(OrderAnswer::Accepted | OrderAnswer::AlreadyDone) => {
                    return Ok(answer.unwrap_or(OrderAnswer::AlreadyDone));
                }
                Some(OrderAnswer::Fenced) => {
                    self.coordinator
                        .end("an engine knows a higher fencing number");
                    return Err(WorkFailure::NoLease);
                }
                Some(OrderAnswer::OtherEngine) => return Err(WorkFailure::EngineGone),
                Some(OrderAnswer::Invalid) => return Err(WorkFailure::Refused),
                Some(OrderAnswer::Busy) | None => {}
            }
            let backoff = MIN_ORDER_BACKOFF * 2_u32.pow(attempt - 1);
            tokio::time::sleep(backoff.min(MAX_ORDER_BACKOFF)).await;
            if attempt % SEQUENCE_CHECK_ATTEMPTS == 0 {
                self.check_sequence().await?;
            }
        }
        Err(WorkFailure::Unreachable)
    }

    /// Sends an order once; nothing when its outcome is not known.
    async fn send_order_once(
        &self,
        order: &EngineOrder,
    ) -> Result<Option<OrderAnswer>, WorkFailure> {
        if !self.coordinator.may_order() {
            return Err(WorkFailure::NoLease);
        }
        let (address, expect) = {
            let mut state = self.coordinator.state.borrow_mut();
            let engine = state.engine_mut(&self.target);
            let engine = engine.ok_or(WorkFailure::EngineGone)?;
            (engine.info.address, engine.sequence)
        };
        let expect = expect.ok_or(WorkFailure::Changed)?;
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
        Ok(answer.ok())
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
        // An adapter that no request uses is unloaded at once: the answer is that
        // of an order that holds already, and the engine counts it all the same.
        let is_instant_unload = label == "holds" && matches!(order, EngineOrder::UnloadAdapter(..));
        if label == "accepted" || is_instant_unload {
            self.update_engine(|engine| engine.record_accepted(clock::now()));
            return;
        }
        warn!(
            self.gateway.logger, "order: not accepted"; "engine" => %self.target.engine,
            "order" => %order, "answer" => label,
            "cause" => answer.as_ref().err().map(ToString::to_string),
        );
    }

    fn record_leaving(&self) {
        let life = EngineIncarnation {
            engine: self.target.engine.clone(),
            birth: self.target.birth,
        };
        record_leaving(&self.gateway, &life);
    }

    /// Whether the engine has accepted an order that we do not know of. A report
    /// may be older than our newest orders, so a lower number says nothing.
    async fn check_sequence(&self) -> Result<(), WorkFailure> {
        let Some(report) = self.query_report().await else {
            return Ok(());
        };
        let mut state = self.coordinator.state.borrow_mut();
        let engine = state.engine_mut(&self.target);
        let engine = engine.ok_or(WorkFailure::EngineGone)?;
        if Some(report.sequence) > engine.sequence {
            return Err(WorkFailure::Changed);
        }
        Ok(())
    }

    /// Takes over what the engine says that it holds.
    async fn run_audit(&self) {
        let report = self.query_report().await;
        self.update_engine(|engine| match report {
            Some(report) if !report.busy => engine.apply_report(report.sequence, &report.models),
            Some(_) => engine.record_failure(clock::now(), FAILURE_BACKOFF),
            None => engine.record_failure(clock::now(), NO_REPORT_BACKOFF),
        });
    }

    /// What the engine says of itself, if it answers.
    async fn query_report(&self) -> Option<EngineReport> {
        let address = {
            let mut state = self.coordinator.state.borrow_mut();
            let engine = state.engine_mut(&self.target)?;
            engine.info.address
        };
        match fetch_report(&self.client, address, REPORT_TIMEOUT).await {
            Ok(report) => {
                info!(
                    self.gateway.logger, "order: engine asked"; "engine" => %self.target.engine,
                    "sequence" => report.sequence.0, "busy" => report.busy,
                    "models" => report.models.len(),
                );
                if report.leaving {
                    self.record_leaving();
                }
                Some(report)
            }
            Err(cause) => {
                warn!(
                    self.gateway.logger, "order: engine does not report";
                    "engine" => %self.target.engine, "cause" => %cause,
                );
                None
            }
        }
    }
}
