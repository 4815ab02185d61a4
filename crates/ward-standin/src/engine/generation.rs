//! Generation of one answer, independent of the connection that requested it.
//!
//! A generation outlives its connection, so that a cut stream can be resumed;
//! only a cancellation or a crash ends it early.

use std::future;
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use ward_protocol::{PriorityLevel, ReplicaKey, RequestId};

use super::state::EngineState;
use crate::server::lock;

/// Generations that remain after pruning, which starts at twice this number.
const KEPT_GENERATIONS: usize = 4_096;

/// API whose JSON format an answer has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum AnswerForm {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// A request's input and progress; the JSON body of an export or import.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct GenerationTask {
    pub(super) key: ReplicaKey,
    pub(super) prompt: String,
    pub(super) total: u64,
    pub(super) position: u64,
    pub(super) form: AnswerForm,
    pub(super) priority: PriorityLevel,
}

/// A request that was admitted, and the incarnation of the engine that admitted it.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestAdmission {
    pub(super) request: RequestId,
    pub(super) boot: u64,
}

/// How a generation started on this engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GenerationStart {
    /// From a prompt.
    Run,
    /// From a prompt that crashes the engine.
    Crash,
    /// From the KV cache of another engine.
    Import,
}

/// Why a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GenerationEnd {
    Finished,
    Cancelled,
}

/// Tokens generated so far, and why the generation ended, if it did.
#[derive(Debug, Clone, Copy)]
pub(super) struct GenerationProgress {
    pub(super) position: u64,
    pub(super) end: Option<GenerationEnd>,
}

/// The generation of one answer.
#[derive(Debug)]
pub(super) struct Generation {
    pub(super) request: RequestId,
    pub(super) task: GenerationTask,
    progress: watch::Sender<GenerationProgress>,
    worker: Mutex<Option<AbortHandle>>,
}

impl Generation {
    /// Starts the generation of an admitted request.
    pub(super) fn start(
        state: &Arc<EngineState>,
        admission: RequestAdmission,
        task: GenerationTask,
        start: GenerationStart,
    ) -> Arc<Self> {
        let (progress, _) = watch::channel(GenerationProgress {
            position: task.position,
            end: None,
        });
        let generation = Arc::new(Self {
            request: admission.request,
            task,
            progress,
            worker: Mutex::default(),
        });
        keep_for_resume(state, &generation);
        let guard = ReplicaGuard {
            state: state.clone(),
            boot: admission.boot,
            key: generation.task.key.clone(),
        };
        let worker_task = run_generation(state.clone(), generation.clone(), start, guard);
        *lock(&generation.worker) = Some(tokio::spawn(worker_task).abort_handle());
        generation
    }

    /// Subscribes to the progress.
    pub(super) fn subscribe(&self) -> watch::Receiver<GenerationProgress> {
        self.progress.subscribe()
    }

    /// Returns the task with the current position, for an export.
    pub(super) fn snapshot(&self) -> GenerationTask {
        let mut task = self.task.clone();
        task.position = self.progress.borrow().position;
        task
    }

    /// Cancels the generation; returns false if it had already ended.
    pub(super) fn cancel(&self) -> bool {
        self.abort();
        self.progress.send_if_modified(|progress| {
            let was_running = progress.end.is_none();
            progress.end = progress.end.or(Some(GenerationEnd::Cancelled));
            was_running
        })
    }

    /// Aborts the worker without notifying subscribers.
    pub(super) fn abort(&self) {
        if let Some(worker) = lock(&self.worker).take() {
            worker.abort();
        }
    }
}

/// Counts a request as running on its replica until dropped.
struct ReplicaGuard {
    state: Arc<EngineState>,
    boot: u64,
    key: ReplicaKey,
}

impl Drop for ReplicaGuard {
    fn drop(&mut self) {
        let mut holding = lock(&self.state.holding);
        if holding.boot == self.boot {
            holding.end_request(&self.key);
        }
        drop(holding);
        self.state.record_counts();
    }
}

/// Keeps a generation for resumes; removes the oldest ones if there are too many.
fn keep_for_resume(state: &EngineState, generation: &Arc<Generation>) {
    let mut requests = lock(&state.requests);
    if requests.len() >= 2 * KEPT_GENERATIONS {
        requests.drain(..KEPT_GENERATIONS);
    }
    requests.insert(generation.request, generation.clone());
}

async fn run_generation(
    state: Arc<EngineState>,
    generation: Arc<Generation>,
    start: GenerationStart,
    _guard: ReplicaGuard,
) {
    let granted = state.batch.request_slot(generation.task.priority);
    state.record_counts();
    let Ok(slot) = granted.await else {
        return;
    };
    state.record_counts();
    record_start(&state, &generation, start);
    if start == GenerationStart::Crash {
        state.crash();
        return future::pending().await;
    }
    if start == GenerationStart::Run {
        prefill(&state, &generation.task).await;
    }
    produce_tokens(&state, &generation).await;
    drop(slot);
    let key = &generation.task.key;
    lock(&state.holding)
        .run_entry(generation.request, key)
        .finished += 1;
    generation.progress.send_modify(|progress| {
        progress.end = Some(GenerationEnd::Finished);
    });
}

fn record_start(state: &EngineState, generation: &Generation, start: GenerationStart) {
    let mut holding = lock(&state.holding);
    let entry = holding.run_entry(generation.request, &generation.task.key);
    match start {
        GenerationStart::Run | GenerationStart::Crash => entry.runs += 1,
        GenerationStart::Import => entry.imports += 1,
    }
}

/// Waits for the prefill time of the prompt's blocks that are not cached.
async fn prefill(state: &EngineState, task: &GenerationTask) {
    let computed = lock(&state.holding).prefixes.admit(&task.key, &task.prompt);
    let prefill_time = state.settings.prefill_time.duration() * computed;
    tokio::time::sleep(prefill_time).await;
}

async fn produce_tokens(state: &EngineState, generation: &Generation) {
    let token_time = state.settings.token_time.duration();
    let mut next_token_at = Instant::now();
    for position in generation.task.position..generation.task.total {
        next_token_at += token_time;
        tokio::time::sleep_until(next_token_at).await;
        generation
            .progress
            .send_modify(|progress| progress.position = position + 1);
    }
}
