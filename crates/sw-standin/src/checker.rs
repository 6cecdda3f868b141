//! Compares the requests that endpoints ran with the responses that callers got.
//!
//! The only inputs are the endpoints' ledger and the callers' records; state of the gateway itself is not used.

use crate::{Ledger, Run};

/// Outcome of one send of a request, as its caller observes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerOutcome {
    /// A complete response.
    Complete {
        /// Whether its content belongs to this request.
        correct: bool,
    },
    /// An error that states that the request did not run.
    NotRun,
    /// An error that states that the request ran.
    Ran,
    /// An error that states neither, or a connection that visibly broke off before the end of the response.
    Unknown,
}

/// The response to one send of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerResponse {
    /// The request id in the response, if there was one.
    pub request: String,
    /// The outcome that the response shows.
    pub outcome: CallerOutcome,
}

/// A request, and the responses to all times that the caller sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestRecord {
    /// A text that occurs in the body of this request only.
    pub marker: String,
    /// Regions that it may be processed in.
    pub regions: Vec<String>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// One entry for each send.
    pub responses: Vec<CallerResponse>,
}

/// A guarantee of the gateway that was violated. Texts are the marker of the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// The request ran outside its permitted regions.
    ForbiddenRegion(Run),
    /// A non-idempotent request ran this many times.
    RepeatedExecution(String, usize),
    /// A send of the request ran although its response states that it did not.
    FalseRefusal(String),
    /// The request never ran although it got a correct response or one that states that it ran.
    FalseExecution(String),
    /// The request got the response to another one.
    WrongResponse(String),
    /// The record has no response at all.
    NoResponse(String),
}

/// Returns all violations in the callers' `records`, given what endpoints ran.
pub fn check(ledger: &Ledger, records: &[RequestRecord]) -> Vec<Violation> {
    records
        .iter()
        .flat_map(|record| check_one(&ledger.runs_containing(&record.marker), record))
        .collect()
}

fn check_one(runs: &[Run], record: &RequestRecord) -> Vec<Violation> {
    let marker = || record.marker.clone();
    let mut violations = Vec::new();
    let outside = runs.iter().filter(|run| !record.regions.contains(&run.region));
    violations.extend(outside.cloned().map(Violation::ForbiddenRegion));
    if !record.idempotent && runs.len() > 1 {
        violations.push(Violation::RepeatedExecution(marker(), runs.len()));
    }
    if record.responses.is_empty() {
        violations.push(Violation::NoResponse(marker()));
    }
    for response in &record.responses {
        let ran = runs.iter().any(|run| run.request == response.request);
        match response.outcome {
            CallerOutcome::NotRun if ran => violations.push(Violation::FalseRefusal(marker())),
            CallerOutcome::Complete { correct: false } => violations.push(Violation::WrongResponse(marker())),
            CallerOutcome::Complete { correct: true } | CallerOutcome::Ran if runs.is_empty() => {
                violations.push(Violation::FalseExecution(marker()));
            }
            _ => {}
        }
    }
    violations
}
