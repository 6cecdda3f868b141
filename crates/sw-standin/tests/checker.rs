//! The checker reports each kind of violation, and nothing for records that agree with the ledger.

use sw_standin::{CallerOutcome, CallerResponse, Ledger, RequestRecord, Run, Violation, check};

fn run(region: &str, request: &str) -> Run {
    let (endpoint, vm, body) = ("e".to_owned(), "v".to_owned(), b"m-1;".to_vec());
    Run {
        endpoint,
        region: region.to_owned(),
        request: request.to_owned(),
        vm,
        body,
    }
}

fn records(responses: &[(&str, CallerOutcome)]) -> Vec<RequestRecord> {
    let responses = responses.iter().map(|(request, outcome)| CallerResponse {
        request: (*request).to_owned(),
        outcome: outcome.clone(),
    });
    let regions = vec!["lahore".to_owned()];
    vec![RequestRecord {
        marker: "m-1;".to_owned(),
        regions,
        idempotent: false,
        responses: responses.collect(),
    }]
}

fn violations(runs: &[Run], responses: &[(&str, CallerOutcome)]) -> Vec<Violation> {
    let ledger = Ledger::default();
    runs.iter().cloned().for_each(|run| ledger.record(run));
    check(&ledger, &records(responses))
}

#[test]
fn consistent_records_have_no_violations() {
    let complete = CallerOutcome::Complete { correct: true };
    assert_eq!(violations(&[run("lahore", "a")], &[("a", complete.clone())]), []);
    assert_eq!(violations(&[], &[("a", CallerOutcome::NotRun)]), []);
    assert_eq!(
        violations(&[run("lahore", "b")], &[("a", CallerOutcome::NotRun), ("b", complete)]),
        []
    );
    assert_eq!(violations(&[run("lahore", "a")], &[("a", CallerOutcome::Unknown)]), []);
}

#[test]
fn each_violation_is_found() {
    let marker = || "m-1;".to_owned();
    let complete = |right| ("a", CallerOutcome::Complete { correct: right });
    let outside = run("multan", "a");
    assert_eq!(
        violations(std::slice::from_ref(&outside), &[complete(true)]),
        [Violation::ForbiddenRegion(outside)]
    );
    let twice = [run("lahore", "a"), run("lahore", "b")];
    assert_eq!(
        violations(&twice, &[complete(true)]),
        [Violation::RepeatedExecution(marker(), 2)]
    );
    let once = [run("lahore", "a")];
    assert_eq!(
        violations(&once, &[("a", CallerOutcome::NotRun)]),
        [Violation::FalseRefusal(marker())]
    );
    assert_eq!(
        violations(&once, &[complete(false)]),
        [Violation::WrongResponse(marker())]
    );
    assert_eq!(
        violations(&[], &[complete(true)]),
        [Violation::FalseExecution(marker())]
    );
    assert_eq!(
        violations(&[], &[("a", CallerOutcome::Ran)]),
        [Violation::FalseExecution(marker())]
    );
    assert_eq!(violations(&once, &[]), [Violation::NoResponse(marker())]);
}
