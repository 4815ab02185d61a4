//! A fake log of calls whose answers a test chooses.

use std::sync::{Arc, Mutex};

use futures::FutureExt;
use ward_traffic::{BeginAnswer, DoneAnswer, OnceCalls};

/// A fake log of calls that may not be repeated.
#[derive(Clone, Default)]
pub struct FakeOnce {
    /// Answer of every `begin`; `Send` if `None`.
    pub answer: Arc<Mutex<Option<BeginAnswer>>>,
    /// Calls to the log in order, such as `begin k-1`.
    pub history: Arc<Mutex<Vec<String>>>,
    /// Answers recorded by `done`.
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
