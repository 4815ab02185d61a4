//! Handlers of the operator API, which read the control state and the log.

mod calls;
mod fleet;
mod history;
mod status;
mod submit;

pub(crate) use calls::RequestLister;
pub use calls::{OperatorParts, operator_calls};
