//! The session that every cell runs.
//!
//! A plan is submitted; requests arrive for a second model, then for a third; a
//! second plan removes one model and adds another; a daemon joins, one leaves,
//! and the operators return to the first plan. A model that is requested until
//! the end must be ready at the end.

use ward_protocol::{PlanChange, PlanRow, PriorityLevel, ReplicaKey, RowTarget};

use crate::promise::gib;

/// A step of the script.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ScriptStep {
    /// Operators submit the first plan.
    FirstPlan,
    /// Operators submit the second plan.
    SecondPlan,
    /// A further daemon starts.
    Join,
    /// A daemon is stopped in an orderly way.
    Stop,
    /// Operators return to the first plan.
    Retreat,
}

/// Times of the steps in seconds.
pub const SCRIPT: &[(u64, ScriptStep)] = &[
    (1, ScriptStep::FirstPlan),
    (16, ScriptStep::SecondPlan),
    (20, ScriptStep::Join),
    (24, ScriptStep::Stop),
    (29, ScriptStep::Retreat),
];

/// Requests at every daemon: first second, end (exclusive) and requested key.
pub const TRAFFIC: &[(u64, u64, &str)] = &[
    (3, 9, "quotes@1"),
    (9, 15, "contracts@1"),
    (14, 24, "colours@1"),
    (17, 28, "fitters@1"),
    (29, u64::MAX, "contracts@1"),
    (31, u64::MAX, "quotes:riga@1"),
];

/// Time by which all faults have ended, in seconds.
pub const FAULTS_END: u64 = 45;

/// A row of the script's plans.
#[must_use]
pub fn row(target: &str, replicas: u16, ready: u16, memory: u64) -> Option<PlanRow> {
    let key: ReplicaKey = target.parse().ok()?;
    Some(PlanRow {
        target: RowTarget::Replica(key),
        zones: Vec::new(),
        roles: Vec::new(),
        replicas,
        ready,
        ready_from: None,
        priority: PriorityLevel::default(),
        memory: gib(memory),
        repeatable: true,
    })
}

/// Rows of the first plan.
#[must_use]
pub fn first_plan() -> PlanChange {
    let rows = [
        row("colours@1", 1, 1, 10),
        row("quotes@1", 2, 0, 10),
        row("quotes:riga@1", 1, 0, 1),
        row("contracts@1", 1, 0, 12),
    ];
    PlanChange::Whole {
        rows: rows.into_iter().flatten().collect(),
    }
}

/// Changes of the second plan: one model is removed, one lowered, one added.
#[must_use]
pub fn second_plan() -> PlanChange {
    let upserts = [row("quotes@1", 1, 0, 10), row("fitters@1", 1, 0, 10)];
    let removals = "contracts@1".parse().ok().into_iter().collect();
    PlanChange::Rows {
        upserts: upserts.into_iter().flatten().collect(),
        removals,
    }
}

/// Plan that another operator submits concurrently on the same base.
#[must_use]
pub fn competing_plan() -> PlanChange {
    let rows = [row("colours@1", 1, 0, 10), row("contracts@1", 1, 1, 12)];
    PlanChange::Whole {
        rows: rows.into_iter().flatten().collect(),
    }
}
