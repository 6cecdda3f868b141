//! The checker finds each breach that it is fed, and none where there is none.

use sw_standin::{Asked, Breach, Heard, Ledger, Run, Said, check};

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

fn asked(heard: &[(&str, Said)]) -> Vec<Asked> {
    let heard = heard.iter().map(|(request, said)| Heard {
        request: (*request).to_owned(),
        said: said.clone(),
    });
    let regions = vec!["lahore".to_owned()];
    vec![Asked {
        marker: "m-1;".to_owned(),
        regions,
        idempotent: false,
        heard: heard.collect(),
    }]
}

fn breaches(runs: &[Run], heard: &[(&str, Said)]) -> Vec<Breach> {
    let ledger = Ledger::default();
    runs.iter().cloned().for_each(|run| ledger.record(run));
    check(&ledger, &asked(heard))
}

#[test]
fn kept_promises_are_no_breach() {
    let answer = Said::Answer { right: true };
    assert_eq!(breaches(&[run("lahore", "a")], &[("a", answer.clone())]), []);
    assert_eq!(breaches(&[], &[("a", Said::NotRun)]), []);
    assert_eq!(
        breaches(&[run("lahore", "b")], &[("a", Said::NotRun), ("b", answer)]),
        []
    );
    assert_eq!(breaches(&[run("lahore", "a")], &[("a", Said::Unknown)]), []);
}

#[test]
fn each_breach_is_found() {
    let marker = || "m-1;".to_owned();
    let answer = |right| ("a", Said::Answer { right });
    let outside = run("multan", "a");
    assert_eq!(
        breaches(std::slice::from_ref(&outside), &[answer(true)]),
        [Breach::Region(outside)]
    );
    let twice = [run("lahore", "a"), run("lahore", "b")];
    assert_eq!(breaches(&twice, &[answer(true)]), [Breach::Repeated(marker(), 2)]);
    let once = [run("lahore", "a")];
    assert_eq!(
        breaches(&once, &[("a", Said::NotRun)]),
        [Breach::FalseRefusal(marker())]
    );
    assert_eq!(breaches(&once, &[answer(false)]), [Breach::WrongAnswer(marker())]);
    assert_eq!(breaches(&[], &[answer(true)]), [Breach::FalseAnswer(marker())]);
    assert_eq!(breaches(&[], &[("a", Said::Ran)]), [Breach::FalseAnswer(marker())]);
    assert_eq!(breaches(&once, &[]), [Breach::Unanswered(marker())]);
}
