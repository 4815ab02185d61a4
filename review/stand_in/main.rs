//! Stand-ins for the cases of the review: the platform's store, engines and requesters,
//! by the users' pages, and the cases that play them against the daemons.
//!
//! `stand-in engine KEY=VALUE...` is an engine; `stand-in CASE FOLDER` plays a case,
//! writes `record.txt` there and exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case could not run. The environment variable `TROUBLE=0` leaves the disruption
//! out.

mod client;
mod engine;
mod http;
mod link;
mod plain_answers;
mod store;
mod streams;
mod world;

use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

/// Time between two entries of an engine, in milliseconds.
pub const HEARTBEAT_MS: u64 = 1_200;
/// Length of the body of a plain answer, in bytes.
const BODY_BYTES: usize = 800;

pub fn now_ms() -> f64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    elapsed.as_secs_f64() * 1_000.0
}

/// The whole body of the answer to a request that is no stream.
pub fn body_of(id: &str) -> String {
    let mut text = format!("{id}|").repeat(BODY_BYTES / (id.len() + 1) + 1);
    text.truncate(BODY_BYTES);
    text
}

/// Ends the case as one that could not run; the processes that it started end with it.
pub fn cannot_run(why: &str) -> ! {
    panic!("the case cannot run: {why}");
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let name = arguments.first().map_or("", String::as_str);
    if name == "engine" {
        engine::run(&arguments[1..]);
    }
    let Some(folder) = arguments.get(1).map(PathBuf::from) else { cannot_run("no folder is given") };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = folder.join("record.txt");
    let result = std::panic::catch_unwind(|| match name {
        "cut_answer" => plain_answers::cut_answer(&record, trouble),
        "second_copy" => plain_answers::second_copy(&record, trouble),
        "endless_head" => plain_answers::endless_head(&record, trouble),
        "moved_stream" => streams::moved_stream(&record, trouble),
        "lost_stream" => streams::lost_stream(&record, trouble),
        "all_dark" => streams::all_dark(&record, trouble),
        "taken_up" => streams::taken_up(&record, trouble),
        _ => cannot_run("unknown case"),
    });
    std::process::exit(result.map_or(2, i32::from));
}
