//! Compares what endpoints ran with what callers were told.
//!
//! It knows nothing of the gateway: only the ledger of the endpoints and the notes of the callers.

use crate::{Ledger, Run};

/// What a caller was told about one sending of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerOutcome {
    /// The answer, whole; whether its content is right.
    Complete {
        /// Whether it answers this request.
        correct: bool,
    },
    /// A refusal that says that the request did not run.
    NotRun,
    /// A refusal that says that the request ran.
    Ran,
    /// A refusal that leaves it open, or a connection that broke in a way that can be told from an end.
    Unknown,
}

/// One sending of a request and what came of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerResponse {
    /// The id that the answer gave, if there was one.
    pub request: String,
    /// What was said.
    pub outcome: CallerOutcome,
}

/// A request with all its sendings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRecord {
    /// A text that occurs in the body of this request only.
    pub marker: String,
    /// Regions that it may be processed in.
    pub regions: Vec<String>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Its sendings.
    pub responses: Vec<CallerResponse>,
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// It ran outside its regions.
    ForbiddenRegion(Run),
    /// It may run once and ran more often.
    RepeatedExecution(String, usize),
    /// A sending that was said not to have run did run.
    FalseRefusal(String),
    /// It was said to have run, or was answered, and did not run.
    FalseExecution(String),
    /// It was answered with something else.
    WrongResponse(String),
    /// A sending was never answered.
    NoResponse(String),
}

/// All breaches in what was asked, given what endpoints ran.
pub fn check(ledger: &Ledger, asked: &[RequestRecord]) -> Vec<Violation> {
    asked
        .iter()
        .flat_map(|asked| check_one(&ledger.runs_containing(&asked.marker), asked))
        .collect()
}

fn check_one(runs: &[Run], asked: &RequestRecord) -> Vec<Violation> {
    let marker = || asked.marker.clone();
    let mut breaches = Vec::new();
    let outside = runs.iter().filter(|run| !asked.regions.contains(&run.region));
    breaches.extend(outside.cloned().map(Violation::ForbiddenRegion));
    if !asked.idempotent && runs.len() > 1 {
        breaches.push(Violation::RepeatedExecution(marker(), runs.len()));
    }
    if asked.responses.is_empty() {
        breaches.push(Violation::NoResponse(marker()));
    }
    for heard in &asked.responses {
        let ran = runs.iter().any(|run| run.request == heard.request);
        match heard.outcome {
            CallerOutcome::NotRun if ran => breaches.push(Violation::FalseRefusal(marker())),
            CallerOutcome::Complete { correct: false } => breaches.push(Violation::WrongResponse(marker())),
            CallerOutcome::Complete { correct: true } | CallerOutcome::Ran if runs.is_empty() => {
                breaches.push(Violation::FalseExecution(marker()))
            }
            _ => {}
        }
    }
    breaches
}
