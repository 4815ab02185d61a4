//! Decides whether the run of a silent stream has ended, so that the stream may go on at
//! another engine.
//!
//! Load pattern: engines that slow down, or preempt runs when their memory is short, write
//! no event for seconds and then go on. A stream that is moved meanwhile runs twice, and
//! counts as failed once its attempts are used up. Others never go on: the engine has lost
//! the run, its host has failed, or it can't be reached. Silence alone doesn't tell these
//! apart; the engine's own report of its runs does.

use std::rc::Rc;

/// What an engine reports of its runs.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct EngineRuns {
    /// Ids of the requests that run; `None` if the report doesn't say.
    pub running: Option<Vec<String>>,
    /// Number of requests that wait, which includes preempted runs; `None` if the report
    /// doesn't say.
    pub waiting: Option<u64>,
}

/// What is learned when an engine is asked for its runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunInquiry {
    /// The engine reports its runs.
    Runs(Rc<EngineRuns>),
    /// It accepts connections, but gives no report.
    NoReport,
    /// No connection to its address can be established.
    Unreachable,
    /// Nothing listens at its address, or another engine does.
    Gone,
}

impl RunInquiry {
    /// Why the run of the request with this id is over for its sender; `None` if it may go
    /// on. `may_be_held_up` is whether the run had begun, and its engine is known, so that it
    /// may have been preempted, or the engine held up.
    #[must_use]
    pub fn run_end(&self, id: &str, may_be_held_up: bool) -> Option<&'static str> {
        match self {
            Self::Runs(runs) => runs
                .exclude(id, may_be_held_up)
                .then_some("its engine no longer runs it"),
            Self::Gone => Some("its engine has ended"),
            Self::Unreachable => Some("its engine is out of reach"),
            Self::NoReport => (!may_be_held_up).then_some("its engine gives no report"),
        }
    }
}

impl EngineRuns {
    /// Whether a request does not run, and, if it may have been preempted, does not wait
    /// either. Reports don't name the requests that wait.
    fn exclude(&self, id: &str, may_be_preempted: bool) -> bool {
        let runs = self.running.as_ref();
        let is_running = runs.is_none_or(|running| running.iter().any(|run| run == id));
        !is_running && (!may_be_preempted || self.waiting == Some(0))
    }
}
