//! A log of calls whose answers a test chooses.

use std::sync::{Arc, Mutex};

use futures::FutureExt;
use ward_traffic::{BeginAnswer, DoneAnswer, OnceCalls};

/// A log of calls.
#[derive(Clone, Default)]
pub struct FakeOnce {
    /// What `begin` says next; `Send` when empty.
    pub answer: Arc<Mutex<Option<BeginAnswer>>>,
    /// What was recorded, in order.
    pub history: Arc<Mutex<Vec<String>>>,
    /// Answers recorded.
    pub done: Arc<Mutex<Vec<DoneAnswer>>>,
}

impl FakeOnce {
    pub fn set_begin_answer(&self, answer: BeginAnswer) {
        *self.answer.lock().unwrap() = Some(answer);
    }

    pub fn history(&self) -> Vec<String> {
        self.history.lock().unwrap().clone()
    }

    pub fn calls(&self) -> OnceCalls {
        let recorder = |word: &'static str, fake: &Self| {
            let history = Arc::clone(&fake.history);
            move |key: &dyn std::fmt::Display| {
                history.lock().unwrap().push(format!("{word} {key}"));
            }
        };
        let (begin, abort, doubt, done) = (
            recorder("begin", self),
            recorder("abort", self),
            recorder("doubt", self),
            recorder("done", self),
        );
        let answer = Arc::clone(&self.answer);
        let answers = Arc::clone(&self.done);
        OnceCalls {
            begin: Arc::new(move |key, _, _| {
                begin(&key);
                let answer = answer.lock().unwrap().clone();
                async move { answer.unwrap_or(BeginAnswer::Send) }.boxed()
            }),
            done: Arc::new(move |key, answer| {
                done(&key);
                answers.lock().unwrap().push(answer);
                async {}.boxed()
            }),
            abort: Arc::new(move |key| {
                abort(&key);
                async {}.boxed()
            }),
            doubt: Arc::new(move |key| {
                doubt(&key);
                async {}.boxed()
            }),
        }
    }
}
