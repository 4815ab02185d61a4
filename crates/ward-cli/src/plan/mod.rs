//! The `plan` commands: check, submit, restore and show plans.

pub mod check;
pub mod diff;
pub mod history;
pub mod retreat;
pub mod show;
pub mod status;
pub mod submit;
pub mod wait;
