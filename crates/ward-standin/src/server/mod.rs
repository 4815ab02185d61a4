//! The HTTP server below every stand-in.
//!
//! The accept loop belongs to this crate and not to `viz::serve`, because a
//! stand-in must be able to die: drop every connection at once, refuse new
//! ones for a time, and come back at the same address.

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
