//! What a case has sent, got and seen, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines to a file; clones share it.
#[derive(Clone)]
pub struct Journal {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Journal {
    /// Begins a new file.
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let seconds = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no panic holds it");
        writeln!(file, "{seconds:8.3} s  {text}").expect("the record can be written");
    }
}
