//! One answer in the making, apart from the connection that asked for it.
//!
//! A generation outlives its connection, so that a cut stream can be resumed;
//! only a cancel or a crash ends it early.

use std::future;
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use ward_protocol::{PriorityLevel, ReplicaKey, RequestId};

use super::state::EngineState;
use crate::server::lock;

const MOST_KEPT: usize = 4_096;

/// Shape of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum AnswerForm {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// What is asked for, and how far it has come.
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

/// A request that its replica has admitted.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestAdmission {
    pub(super) request: RequestId,
    pub(super) boot: u64,
}

/// How a generation came here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GenerationStart {
    /// From a prompt.
    Run,
    /// From a prompt that crashes the engine.
    Crash,
    /// From another engine's cache.
    Import,
}

/// Why a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GenerationEnd {
    Finished,
    Cancelled,
}

/// How far a generation has come.
#[derive(Debug, Clone, Copy)]
pub(super) struct GenerationProgress {
    pub(super) position: u64,
    pub(super) end: Option<GenerationEnd>,
}

/// One answer in the making.
#[derive(Debug)]
pub(super) struct Generation {
    pub(super) request: RequestId,
    pub(super) task: GenerationTask,
    progress: watch::Sender<GenerationProgress>,
    worker: Mutex<Option<AbortHandle>>,
}

impl Generation {
    /// Starts a generation whose replica has admitted it.
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
        keep(state, &generation);
        let hold = ReplicaHold {
            state: state.clone(),
            boot: admission.boot,
            key: generation.task.key.clone(),
        };
        let work = work(state.clone(), generation.clone(), start, hold);
        *lock(&generation.worker) = Some(tokio::spawn(work).abort_handle());
        generation
    }

    /// Follows the progress.
    pub(super) fn watch(&self) -> watch::Receiver<GenerationProgress> {
        self.progress.subscribe()
    }

    /// The task as far as it has come.
    pub(super) fn snapshot(&self) -> GenerationTask {
        let mut task = self.task.clone();
        task.position = self.progress.borrow().position;
        task
    }

    /// Ends it before its end; false when it has ended already.
    pub(super) fn cancel(&self) -> bool {
        self.abort();
        self.progress.send_if_modified(|progress| {
            let open = progress.end.is_none();
            progress.end = progress.end.or(Some(GenerationEnd::Cancelled));
            open
        })
    }

    /// Stops the work without telling those who follow.
    pub(super) fn abort(&self) {
        if let Some(worker) = lock(&self.worker).take() {
            worker.abort();
        }
    }
}

/// Counts a request on its replica until dropped.
struct ReplicaHold {
    state: Arc<EngineState>,
    boot: u64,
    key: ReplicaKey,
}

impl Drop for ReplicaHold {
    fn drop(&mut self) {
        let mut holding = lock(&self.state.holding);
        if holding.boot == self.boot {
            holding.discharge(&self.key);
        }
        drop(holding);
        self.state.sample();
    }
}

/// Keeps a generation for resumes; the oldest go first.
fn keep(state: &EngineState, generation: &Arc<Generation>) {
    let mut requests = lock(&state.requests);
    if requests.len() >= 2 * MOST_KEPT {
        requests.drain(..MOST_KEPT);
    }
    requests.insert(generation.request, generation.clone());
}

async fn work(
    state: Arc<EngineState>,
    generation: Arc<Generation>,
    start: GenerationStart,
    _hold: ReplicaHold,
) {
    let turn = state.batch.enter(generation.task.priority);
    state.sample();
    let Ok(slot) = turn.await else {
        return;
    };
    state.sample();
    note_start(&state, &generation, start);
    if start == GenerationStart::Crash {
        state.crash();
        return future::pending().await;
    }
    if start == GenerationStart::Run {
        prefill(&state, &generation.task).await;
    }
    produce(&state, &generation).await;
    drop(slot);
    let key = &generation.task.key;
    lock(&state.holding).run(generation.request, key).finished += 1;
    generation.progress.send_modify(|progress| {
        progress.end = Some(GenerationEnd::Finished);
    });
}

fn note_start(state: &EngineState, generation: &Generation, start: GenerationStart) {
    let mut holding = lock(&state.holding);
    let run = holding.run(generation.request, &generation.task.key);
    match start {
        GenerationStart::Run | GenerationStart::Crash => run.runs += 1,
        GenerationStart::Import => run.imports += 1,
    }
}

/// Takes the time of the prompt's blocks that are not cached.
async fn prefill(state: &EngineState, task: &GenerationTask) {
    let computed = lock(&state.holding).prefixes.admit(&task.key, &task.prompt);
    let span = state.settings.prefill_time.duration() * computed;
    tokio::time::sleep(span).await;
}

async fn produce(state: &EngineState, generation: &Generation) {
    let pace = state.settings.token_time.duration();
    let mut due = Instant::now();
    for position in generation.task.position..generation.task.total {
        due += pace;
        tokio::time::sleep_until(due).await;
        generation
            .progress
            .send_modify(|progress| progress.position = position + 1);
    }
}
