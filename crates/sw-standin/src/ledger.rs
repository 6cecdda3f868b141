//! What endpoints ran.

use std::sync::{Arc, Mutex, PoisonError};

/// One execution of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The endpoint.
    pub endpoint: String,
    /// Its region.
    pub region: String,
    /// The id that the request came with.
    pub request: String,
    /// The VM that it came from.
    pub vm: String,
    /// The body.
    pub body: Vec<u8>,
}

/// A shared record of executions, in order.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Ledger {
    /// Records an execution.
    pub fn record(&self, run: Run) {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
    }

    /// All executions so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Executions whose body contains `text`.
    pub fn runs_containing(&self, text: &str) -> Vec<Run> {
        let contains = |run: &Run| {
            run.body
                .windows(text.len().max(1))
                .any(|window| window == text.as_bytes())
        };
        self.runs().into_iter().filter(contains).collect()
    }
}
