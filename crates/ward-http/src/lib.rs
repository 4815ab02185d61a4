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
//!
//! A server may send bytes faster than they can be read, and without end. [`FairStream`]
//! keeps such a connection from holding up all other tasks of its thread.
//!
//! An answer on a kept connection belongs to a call only because it is the next one
//! there. That holds for the platform's services, which return nothing further on a
//! connection on which an answer was lost; [`HttpClient`] closes the connection of a call
//! that is given up. Backend servers may write an answer once more, late, and their
//! answers to orders and queries don't name what they answer: these calls take an
//! [`UnpooledClient`].

mod call;
mod connector;
mod error;
mod fair;
mod reply;

pub use call::{AnswerPace, AnswerProgress, CallBounds, HttpClient, UnpooledClient, json_request};
pub use error::{CallCause, CallError};
pub use fair::{FairStream, HeadLimit, UnwrittenMark};
pub use reply::{HttpReply, ReplyError};
