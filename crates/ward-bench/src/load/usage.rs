//! Processor time of another process on this machine, by the name of its threads.

use std::fs;
use std::io;

const MICROS_PER_TICK: f64 = 10_000.0;
/// Indices of the times in user and system mode among the fields of `stat` that follow the
/// thread's name.
const USER_FIELD: usize = 11;
const SYSTEM_FIELD: usize = 12;

/// Microseconds of processor time that a process's threads of one name have used.
///
/// # Errors
///
/// When the process's threads cannot be listed, for example because it has ended.
pub fn thread_cpu_micros(process: u32, name: &str) -> io::Result<f64> {
    let mut ticks = 0.0;
    for thread in fs::read_dir(format!("/proc/{process}/task"))? {
        // A thread may end after it was listed and before its file is read.
        let Ok(stat) = fs::read_to_string(thread?.path().join("stat")) else {
            continue;
        };
        ticks += thread_ticks(&stat, name).unwrap_or(0.0);
    }
    Ok(ticks * MICROS_PER_TICK)
}

fn thread_ticks(stat: &str, name: &str) -> Option<f64> {
    let (head, rest) = stat.rsplit_once(") ")?;
    let (_, thread) = head.split_once('(')?;
    if thread != name {
        return None;
    }
    let fields: Vec<&str> = rest.split(' ').collect();
    let field = |index: usize| fields.get(index)?.parse::<f64>().ok();
    Some(field(USER_FIELD)? + field(SYSTEM_FIELD)?)
}
