//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    shared: Arc<Mutex<(File, Vec<(u64, String)>)>>,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            started: Instant::now(),
            shared: Arc::new(Mutex::new((file, Vec::new()))),
        }
    }

    /// Returns the milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let mut shared = self.shared.lock().expect("no thread panics");
        let now = self.now();
        writeln!(shared.0, "{:3}.{:03} {text}", now / 1_000, now % 1_000).expect("the record can be written");
        shared.1.push((now, text.to_owned()));
    }

    /// Returns the times in milliseconds of the lines that `wanted` accepts.
    pub fn times(&self, wanted: impl Fn(&str) -> bool) -> Vec<u64> {
        let shared = self.shared.lock().expect("no thread panics");
        shared
            .1
            .iter()
            .filter(|(_, text)| wanted(text))
            .map(|(at, _)| *at)
            .collect()
    }

    /// Returns the lines between two times that `wanted` accepts.
    pub fn matching(&self, wanted: impl Fn(&str) -> bool, from: u64, to: u64) -> Vec<String> {
        let shared = self.shared.lock().expect("no thread panics");
        let lines = shared
            .1
            .iter()
            .filter(|(at, text)| (from..to).contains(at) && wanted(text));
        lines.map(|(_, text)| text.clone()).collect()
    }
}
