//! Whether waiting can still help a request.

use ward_protocol::{
    LoadEstimate, ReplicaKey, ResultCode, RoutingView, RowTarget, TimeSpan, ViewMode, WallTime,
};

use super::slots::ready_backends;
use crate::problem::ProblemReport;

/// What a request without a slot should do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outlook {
    /// A slot or a replica may come in time.
    Wait,
    /// It is known that none comes in time.
    Refuse(ProblemReport),
}

/// What the view says about a request that has no slot yet.
#[must_use]
pub fn outlook_for(
    view: &RoutingView,
    target: &RowTarget,
    deadline: WallTime,
    now: WallTime,
) -> Outlook {
    if view.mode == ViewMode::Starting {
        return refuse(
            ResultCode::StateMissing,
            "this daemon has not read the log yet",
        );
    }
    if ready_backends(view, target).next().is_some() {
        return Outlook::Wait;
    }
    match target {
        RowTarget::Service(name) => {
            let detail = format!("no backend server answers {name}");
            refuse(ResultCode::NoBackend, &detail)
        }
        RowTarget::Replica(key) => cold_outlook(view, key, deadline, now),
    }
}

fn cold_outlook(
    view: &RoutingView,
    key: &ReplicaKey,
    deadline: WallTime,
    now: WallTime,
) -> Outlook {
    if let Some(expected) = loading_until(view, key) {
        return start_outlook(key, expected, deadline, now, None);
    }
    if view.mode == ViewMode::RoutingOnly {
        let detail = format!("{key} is not loaded, and nothing can be loaded now");
        return refuse(ResultCode::LogUnavailable, &detail);
    }
    let Some(estimate) = view.estimates.get(key) else {
        return Outlook::Wait;
    };
    if estimate.blocked {
        return blocked(key, estimate);
    }
    let expected = now + estimate.start;
    start_outlook(key, expected, deadline, now, Some(estimate.retry_after))
}

fn loading_until(view: &RoutingView, key: &ReplicaKey) -> Option<WallTime> {
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

fn start_outlook(
    key: &ReplicaKey,
    expected: WallTime,
    deadline: WallTime,
    now: WallTime,
    retry: Option<TimeSpan>,
) -> Outlook {
    if expected <= deadline {
        return Outlook::Wait;
    }
    let start = expected.since(now);
    let detail = format!("{key} should be ready in {start}, after the time limit");
    let report = ProblemReport::refused(ResultCode::TooLate, detail);
    Outlook::Refuse(report.after(retry.unwrap_or(start)))
}

fn blocked(key: &ReplicaKey, estimate: &LoadEstimate) -> Outlook {
    let detail = format!("no engine has room for {key} now");
    let report = ProblemReport::refused(ResultCode::NoCapacity, detail);
    Outlook::Refuse(report.after(estimate.retry_after))
}

fn refuse(code: ResultCode, detail: &str) -> Outlook {
    Outlook::Refuse(ProblemReport::refused(code, detail))
}
