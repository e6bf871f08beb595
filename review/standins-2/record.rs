//! The record of a run: one line for each thing that was sent, answered or done.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A file with one line per event and the time since the start of the run.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            started: Instant::now(),
        })
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            // A record that can't be written doesn't change the outcome.
            let _ = writeln!(file, "{at:8.3} {text}");
        }
    }
}
