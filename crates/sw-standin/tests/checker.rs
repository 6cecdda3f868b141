//! The checker finds each breach that it is fed, and none where there is none.

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

fn asked(heard: &[(&str, CallerOutcome)]) -> Vec<RequestRecord> {
    let heard = heard.iter().map(|(request, said)| CallerResponse {
        request: (*request).to_owned(),
        outcome: said.clone(),
    });
    let regions = vec!["lahore".to_owned()];
    vec![RequestRecord {
        marker: "m-1;".to_owned(),
        regions,
        idempotent: false,
        responses: heard.collect(),
    }]
}

fn breaches(runs: &[Run], heard: &[(&str, CallerOutcome)]) -> Vec<Violation> {
    let ledger = Ledger::default();
    runs.iter().cloned().for_each(|run| ledger.record(run));
    check(&ledger, &asked(heard))
}

#[test]
fn kept_promises_are_no_breach() {
    let answer = CallerOutcome::Complete { correct: true };
    assert_eq!(breaches(&[run("lahore", "a")], &[("a", answer.clone())]), []);
    assert_eq!(breaches(&[], &[("a", CallerOutcome::NotRun)]), []);
    assert_eq!(
        breaches(&[run("lahore", "b")], &[("a", CallerOutcome::NotRun), ("b", answer)]),
        []
    );
    assert_eq!(breaches(&[run("lahore", "a")], &[("a", CallerOutcome::Unknown)]), []);
}

#[test]
fn each_breach_is_found() {
    let marker = || "m-1;".to_owned();
    let answer = |right| ("a", CallerOutcome::Complete { correct: right });
    let outside = run("multan", "a");
    assert_eq!(
        breaches(std::slice::from_ref(&outside), &[answer(true)]),
        [Violation::ForbiddenRegion(outside)]
    );
    let twice = [run("lahore", "a"), run("lahore", "b")];
    assert_eq!(
        breaches(&twice, &[answer(true)]),
        [Violation::RepeatedExecution(marker(), 2)]
    );
    let once = [run("lahore", "a")];
    assert_eq!(
        breaches(&once, &[("a", CallerOutcome::NotRun)]),
        [Violation::FalseRefusal(marker())]
    );
    assert_eq!(breaches(&once, &[answer(false)]), [Violation::WrongResponse(marker())]);
    assert_eq!(breaches(&[], &[answer(true)]), [Violation::FalseExecution(marker())]);
    assert_eq!(
        breaches(&[], &[("a", CallerOutcome::Ran)]),
        [Violation::FalseExecution(marker())]
    );
    assert_eq!(breaches(&once, &[]), [Violation::NoResponse(marker())]);
}
