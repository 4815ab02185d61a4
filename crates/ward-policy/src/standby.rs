//! When an engine without replicas enters standby, and when it returns.

use ward_protocol::{EngineRole, PolicyValues, TimeSpan};

/// The state of an engine on which the standby decision depends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StandbyView {
    /// Present role of the engine.
    pub role: EngineRole,
    /// Time since the engine's last reservation ended; `None` while it has one.
    pub empty_for: Option<TimeSpan>,
    /// Time until a replica that the plan requires on the engine must answer; `None` without
    /// such a replica.
    pub needed_in: Option<TimeSpan>,
    /// Load time of the replica that `needed_in` refers to.
    pub load_time: TimeSpan,
}

/// How to change an engine's role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandbyChoice {
    /// Keep the present role.
    Stay,
    /// Put the engine into standby.
    EnterStandby,
    /// Bring the engine back from standby.
    Wake,
}

/// Decides whether an engine enters or leaves standby.
#[must_use]
pub fn standby_choice(view: &StandbyView, values: &PolicyValues) -> StandbyChoice {
    let lead = values.standby_back + view.load_time + values.ahead_slack;
    let must_wake = view.needed_in.is_some_and(|need| need <= lead);
    if view.role == EngineRole::Standby {
        return if must_wake {
            StandbyChoice::Wake
        } else {
            StandbyChoice::Stay
        };
    }
    let idle_long_enough = view
        .empty_for
        .is_some_and(|empty| empty >= values.standby_after);
    // A standby shorter than `standby_after` would save less than the return from it costs.
    let needed_soon = view
        .needed_in
        .is_some_and(|need| need <= lead + values.standby_after);
    if idle_long_enough && !needed_soon {
        StandbyChoice::EnterStandby
    } else {
        StandbyChoice::Stay
    }
}
