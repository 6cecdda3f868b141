//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fmt;
use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Writes lines to `record.txt`; clones share the file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    /// Creates the file, or exits with 2 if that is not possible.
    pub fn create(path: &Path) -> Self {
        let Ok(file) = File::create(path) else {
            eprintln!("{}: cannot be written", path.display());
            std::process::exit(2);
        };
        Self {
            file: Arc::new(Mutex::new(file)),
            started_at: Instant::now(),
        }
    }

    /// Adds a line.
    pub fn add(&self, line: impl fmt::Display) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let seconds = self.started_at.elapsed().as_secs_f64();
        let _full = writeln!(file, "{seconds:8.3} {line}");
    }
}
