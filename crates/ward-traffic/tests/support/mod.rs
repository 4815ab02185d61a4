//! Fakes for the tests: backend servers, routing views and the log of calls.

#![allow(
    dead_code,
    unreachable_pub,
    unused_imports,
    clippy::unwrap_used,
    clippy::expect_used
)]

mod backend;
mod caller;
mod once;
mod view;

pub use backend::{FakeBackend, FakeRequest, Step, complete_steps, engine_reply, stream_steps};
pub use caller::{CallerAnswer, TestServer, call, chat_body, post};
pub use once::FakeOnce;
pub use view::ViewBuilder;
