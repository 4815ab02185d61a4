//! The record of a case, with the time of each line.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    begun: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self { begun: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn elapsed(&self) -> Duration {
        self.begun.elapsed()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        drop(writeln!(file, "{:7.3} {text}", self.elapsed().as_secs_f64()));
    }
}
