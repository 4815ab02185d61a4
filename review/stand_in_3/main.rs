//! Cases of the third review that are no days: each starts daemons of the project before
//! stand-ins of the platform, the engines and the requesters. `cases NAME FOLDER` plays one;
//! it exits with 1 if its rule was broken, 0 if it held and 2 if it couldn't run.

mod client;
mod daemon;
mod engine;
mod http;
mod manifests;
mod plain;
mod record;
mod restarted;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use record::Journal;

/// How a case ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// What a case is played with.
pub struct Stage {
    pub journal: Journal,
    /// Folder for settings and logs of daemons.
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, name, folder, record] = words.as_slice() else {
        eprintln!("usage: cases NAME FOLDER RECORD");
        return ExitCode::from(2);
    };
    let stage = Stage {
        journal: Journal::create(record),
        folder: PathBuf::from(folder),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    stage.journal.line(&format!("case {name}, disruption: {}", stage.has_trouble));
    let verdict = match name.as_str() {
        "manifests" => manifests::play(&stage),
        "restarted" => restarted::play(&stage),
        _ => Verdict::NotRun,
    };
    stage.journal.line(&format!("verdict: {verdict:?}"));
    println!("{name}: {verdict:?}");
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::NotRun => 2,
    })
}
