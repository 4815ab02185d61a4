//! HTTP server shared by all stand-ins.
//!
//! This crate has its own accept loop and doesn't use `viz::serve`, because a
//! stand-in must be able to simulate a crash: drop every connection at once,
//! refuse new ones for a time, and listen again at the same address.

mod answer;
mod listener;
mod routes;

pub(crate) use answer::{
    Answer, Refusal, cut_answer, cut_error, json_answer, read_bytes, read_json, refusal,
    status_answer, truncated_answer,
};
pub use listener::RunningStandin;
pub(crate) use listener::{CloseRule, CrashSwitch, bind, crash_switch, serve};
pub(crate) use routes::{control_routes, handler, lock};
