//! The ledger of the requests that endpoints ran.

use std::sync::{Arc, Mutex, PoisonError};

/// One execution of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// The endpoint that ran the request.
    pub endpoint: String,
    /// The region of the endpoint.
    pub region: String,
    /// The request id, from the header of the request.
    pub request: String,
    /// The VM that sent it to the endpoint.
    pub vm: String,
    /// The body of the request.
    pub body: Vec<u8>,
}

/// A record of executions in order; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Ledger {
    /// Records an execution.
    pub fn record(&self, run: Run) {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
    }

    /// Returns all executions so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the executions whose body contains `text`.
    pub fn runs_containing(&self, text: &str) -> Vec<Run> {
        let contains = |run: &Run| {
            run.body
                .windows(text.len().max(1))
                .any(|window| window == text.as_bytes())
        };
        self.runs().into_iter().filter(contains).collect()
    }
}
