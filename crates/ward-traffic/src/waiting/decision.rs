//! Decides whether a request without a slot may still start in time.

use ward_protocol::{
    LoadEstimate, ReplicaKey, ResultCode, RoutingView, RowTarget, TimeSpan, ViewMode, WallTime,
};

use super::slots::ready_backends;
use crate::problem::ProblemReport;

/// Whether a request without a slot waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WaitDecision {
    /// A slot or a new replica may become available in time.
    Wait,
    /// No slot or replica is expected to be available in time, or this daemon has not
    /// read the log yet.
    Refuse(ProblemReport),
}

/// Decides from the view whether a request without a slot waits until `deadline`.
#[must_use]
pub fn decide_wait(
    view: &RoutingView,
    target: &RowTarget,
    deadline: WallTime,
    now: WallTime,
) -> WaitDecision {
    if view.mode == ViewMode::Starting {
        return refuse(
            ResultCode::StateMissing,
            "this daemon has not read the log yet",
        );
    }
    if ready_backends(view, target).next().is_some() {
        return WaitDecision::Wait;
    }
    match target {
        RowTarget::Service(name) => {
            let detail = format!("no backend server answers {name}");
            refuse(ResultCode::NoBackend, &detail)
        }
        RowTarget::Replica(key) => decide_cold_wait(view, key, deadline, now),
    }
}

fn decide_cold_wait(
    view: &RoutingView,
    key: &ReplicaKey,
    deadline: WallTime,
    now: WallTime,
) -> WaitDecision {
    if let Some(expected) = earliest_ready(view, key) {
        return decide_start(key, expected, deadline, now, None);
    }
    if view.mode == ViewMode::RoutingOnly {
        let detail = format!("{key} is not loaded, and nothing can be loaded now");
        return refuse(ResultCode::LogUnavailable, &detail);
    }
    let Some(estimate) = view.estimates.get(key) else {
        return WaitDecision::Wait;
    };
    if estimate.blocked {
        return refuse_blocked(key, estimate);
    }
    let expected = now + estimate.start;
    decide_start(key, expected, deadline, now, Some(estimate.retry_after))
}

fn earliest_ready(view: &RoutingView, key: &ReplicaKey) -> Option<WallTime> {
    let replicas = view.loading.get(key)?;
    replicas
        .iter()
        .filter(|replica| {
            view.backends
                .get(&replica.backend)
                .is_some_and(|route| !route.leaving)
        })
        .map(|replica| replica.expected)
        .min()
}

fn decide_start(
    key: &ReplicaKey,
    expected: WallTime,
    deadline: WallTime,
    now: WallTime,
    retry_after: Option<TimeSpan>,
) -> WaitDecision {
    if expected <= deadline {
        return WaitDecision::Wait;
    }
    let start = expected.since(now);
    let detail = format!("{key} should be ready in {start}, after the time limit");
    let report = ProblemReport::refused(ResultCode::TooLate, detail);
    WaitDecision::Refuse(report.with_retry_after(retry_after.unwrap_or(start)))
}

fn refuse_blocked(key: &ReplicaKey, estimate: &LoadEstimate) -> WaitDecision {
    let detail = format!("no engine has room for {key} now");
    let report = ProblemReport::refused(ResultCode::NoCapacity, detail);
    WaitDecision::Refuse(report.with_retry_after(estimate.retry_after))
}

fn refuse(code: ResultCode, detail: &str) -> WaitDecision {
    WaitDecision::Refuse(ProblemReport::refused(code, detail))
}
