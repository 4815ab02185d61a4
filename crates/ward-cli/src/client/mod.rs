//! Client of the operators' API.

mod daemon;
mod exchange;
mod submit;

pub use daemon::DaemonClient;
pub use exchange::{ApiMethod, ApiReply, ApiRequest, ExchangeError};
pub use submit::{SubmitCall, SubmitResolution};
