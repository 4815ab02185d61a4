//! Short JSON calls over HTTP/1.1 to the platform and to backend servers.
//!
//! [`CallError::is_unsent`] says whether a failed call certainly had no effect:
//! either the request could not be built or no connection was established. After
//! every other error it is unknown. This crate never retries a call, and it limits
//! the size of an answer and the time until it is complete.
//!
//! A request that is cancelled on a reused connection counts as sent, since hyper
//! cannot always tell whether it was: an error wrongly reported as "not sent" would
//! make a call run twice, while one wrongly reported as "lost" only costs a read of
//! the log.

mod call;
mod error;
mod reply;

pub use call::{CallBounds, HttpClient, json_request};
pub use error::{CallCause, CallError};
pub use reply::{HttpReply, ReplyError};
