//! Compares what endpoints ran with what callers were told.
//!
//! It knows nothing of the gateway: only the ledger of the endpoints and the notes of the callers.

use crate::{Ledger, Run};

/// What a caller was told about one sending of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Said {
    /// The answer, whole; whether its content is right.
    Answer {
        /// Whether it answers this request.
        right: bool,
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
pub struct Heard {
    /// The id that the answer gave, if there was one.
    pub request: String,
    /// What was said.
    pub said: Said,
}

/// A request with all its sendings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Asked {
    /// A text that occurs in the body of this request only.
    pub marker: String,
    /// Regions that it may be processed in.
    pub regions: Vec<String>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Its sendings.
    pub heard: Vec<Heard>,
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Breach {
    /// It ran outside its regions.
    Region(Run),
    /// It may run once and ran more often.
    Repeated(String, usize),
    /// A sending that was said not to have run did run.
    FalseRefusal(String),
    /// It was said to have run, or was answered, and did not run.
    FalseAnswer(String),
    /// It was answered with something else.
    WrongAnswer(String),
    /// A sending was never answered.
    Unanswered(String),
}

/// All breaches in what was asked, given what endpoints ran.
pub fn check(ledger: &Ledger, asked: &[Asked]) -> Vec<Breach> {
    asked
        .iter()
        .flat_map(|asked| check_one(&ledger.runs_with(&asked.marker), asked))
        .collect()
}

fn check_one(runs: &[Run], asked: &Asked) -> Vec<Breach> {
    let marker = || asked.marker.clone();
    let mut breaches = Vec::new();
    let outside = runs.iter().filter(|run| !asked.regions.contains(&run.region));
    breaches.extend(outside.cloned().map(Breach::Region));
    if !asked.idempotent && runs.len() > 1 {
        breaches.push(Breach::Repeated(marker(), runs.len()));
    }
    if asked.heard.is_empty() {
        breaches.push(Breach::Unanswered(marker()));
    }
    for heard in &asked.heard {
        let ran = runs.iter().any(|run| run.request == heard.request);
        match heard.said {
            Said::NotRun if ran => breaches.push(Breach::FalseRefusal(marker())),
            Said::Answer { right: false } => breaches.push(Breach::WrongAnswer(marker())),
            Said::Answer { right: true } | Said::Ran if runs.is_empty() => breaches.push(Breach::FalseAnswer(marker())),
            _ => {}
        }
    }
    breaches
}
