//! Short JSON calls over HTTP/1.1 to the platform and to backend servers.
//!
//! A caller of this crate learns whether a failed call can have had an effect:
//! [`CallError::NotSent`] says that no connection came about, every other
//! error leaves it open. Calls are never repeated here, and answers are bounded
//! in size and time. A request cancelled on a reused connection counts as sent:
//! hyper can tell the two apart only sometimes, and a wrong "not sent" would
//! run a call twice where a wrong "lost" only costs a look at the log.

mod call;
mod error;
mod reply;

pub use call::{CallBounds, HttpClient, json_request};
pub use error::{CallCause, CallError};
pub use reply::{HttpReply, ReplyError};
