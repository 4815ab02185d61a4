//! Control routes of every stand-in, and handlers that share its state.

use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::future::BoxFuture;
use serde::Serialize;
use serde::de::DeserializeOwned;
use viz::{Request, Response, Router, StatusCode};

use super::answer::{Answer, json_answer, read_json, status_answer};

/// Locks a mutex and ignores poisoning: stand-in data has no invariants that a panic can break.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Turns a function of the shared state and a request into a Viz handler.
pub(crate) fn handler<S, F, R>(
    state: &Arc<S>,
    function: F,
) -> impl Fn(Request) -> BoxFuture<'static, viz::Result<Response>> + Clone + Send + Sync + 'static
where
    S: Send + Sync + 'static,
    F: Fn(Arc<S>, Request) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Answer> + Send + 'static,
{
    let state = state.clone();
    move |request| {
        let answer = function(state.clone(), request);
        Box::pin(async move { Ok(answer.await.unwrap_or_else(|refusal| *refusal)) })
    }
}

/// Adds the routes `/faults`, `/history` and `/healthz`.
pub(crate) fn control_routes<S, F, H>(
    router: Router,
    state: &Arc<S>,
    faults: fn(&S) -> &Mutex<F>,
    history: fn(&S) -> H,
) -> Router
where
    S: Send + Sync + 'static,
    F: Clone + Serialize + DeserializeOwned + Send + 'static,
    H: Serialize + 'static,
{
    router
        .get(
            "/healthz",
            handler(state, |_, _| async { Ok(status_answer(StatusCode::OK)) }),
        )
        .get(
            "/history",
            handler(state, move |state, _| async move {
                Ok(json_answer(StatusCode::OK, &history(&state)))
            }),
        )
        .get(
            "/faults",
            handler(state, move |state, _| async move {
                let current = lock(faults(&state)).clone();
                Ok(json_answer(StatusCode::OK, &current))
            }),
        )
        .post(
            "/faults",
            handler(state, move |state, request| async move {
                let posted: F = read_json(request).await?;
                *lock(faults(&state)) = posted;
                Ok(status_answer(StatusCode::NO_CONTENT))
            }),
        )
}
