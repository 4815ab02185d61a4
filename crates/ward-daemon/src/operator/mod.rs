//! Answers to operators, from the control state and the log.

mod calls;
mod fleet;
mod history;
mod status;
mod submit;

pub use calls::{OperatorParts, operator_calls};
