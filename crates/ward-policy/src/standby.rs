//! When an engine without replicas rests, and when it comes back.

use ward_protocol::{EngineRole, PolicyValues, TimeSpan};

/// An engine as the standby decision sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StandbyView {
    /// Its role.
    pub role: EngineRole,
    /// Time since its last reservation ended; nothing while it holds one.
    pub empty_for: Option<TimeSpan>,
    /// Time until a replica that the sheet wants on it must answer.
    pub needed_in: Option<TimeSpan>,
    /// Load time of that replica.
    pub load_time: TimeSpan,
}

/// What to do about an engine's role.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandbyChoice {
    /// Leave it as it is.
    Stay,
    /// Send it to standby.
    EnterStandby,
    /// Bring it back.
    Wake,
}

/// Decides whether an engine changes into or out of standby.
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
    // A rest shorter than the threshold would not pay for the way back.
    let needed_soon = view
        .needed_in
        .is_some_and(|need| need <= lead + values.standby_after);
    if idle_long_enough && !needed_soon {
        StandbyChoice::EnterStandby
    } else {
        StandbyChoice::Stay
    }
}
