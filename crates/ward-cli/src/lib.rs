//! The operators' command line, `persimmon`.
//!
//! Each command is one file that describes the command in a [`CommandEntry`]:
//! its words, a summary, its arguments, examples and the function that runs it.
//! The parser, the help texts and the tests of the examples are all built from
//! those entries, so a command cannot be left out of one of them.
//!
//! Commands that only read try one daemon after another until one answers. A plan
//! is sent to a second daemon only if the first certainly did not append it to the
//! log. In every other case its record id is looked up in the history. A retry
//! would be simpler, but a plan that is accepted twice could undo a change that
//! another operator made in between.

pub mod app;
pub mod argument;
pub mod client;
pub mod command;
pub mod completions;
pub mod context;
pub mod dump;
pub mod error;
pub mod exit;
pub mod hosts;
pub mod models;
pub mod output;
pub mod plan;
pub mod requests;

pub use app::{command_line, run};
pub use command::{ALL_COMMANDS, CommandEntry, CommandExample};
pub use error::CliError;
pub use exit::ExitStatus;
