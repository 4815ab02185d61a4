//! Client of the operators' API.

mod daemon;
mod exchange;
mod submit;

pub use daemon::DaemonClient;
pub use exchange::{ApiExchange, ApiMethod, ApiReply, ExchangeError};
pub use submit::{SubmitCall, SubmitResolution};
