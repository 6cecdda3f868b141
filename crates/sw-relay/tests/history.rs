//! What an attempt history implies about whether a request has run.

use proptest::prelude::*;
use sw_error::{Kind, Ran, Refusal};
use sw_relay::{AttemptHistory, AttemptOutcome};
use sw_unit::{EndpointId, VmId};

fn endpoint() -> EndpointId {
    "e-1".parse().expect("a valid id")
}

fn vm() -> VmId {
    "vm-1".parse().expect("a valid id")
}

#[test]
fn an_unknown_outcome_counts_as_a_possible_run() {
    for kind in [Kind::OutcomeUnknown, Kind::EndpointTimeout, Kind::AnswerIncomplete] {
        let outcome = AttemptOutcome::from_refusal(kind.into());
        assert!(!outcome.not_run(), "{kind}");
        let mut history = AttemptHistory::default();
        history.record_vm(&vm(), 1, Some(outcome));
        assert!(history.may_have_run(), "{kind}");
    }
}

#[test]
fn a_refusal_before_dispatch_counts_as_not_run() {
    for kind in [
        Kind::Overloaded,
        Kind::NoEndpoint,
        Kind::Stopping,
        Kind::NoConfiguration,
    ] {
        assert!(AttemptOutcome::from_refusal(kind.into()).not_run(), "{kind}");
    }
}

/// A configuration reaches the VM of another region a second later than this one, and a caller uses a new route in the
/// meantime.
#[test]
fn a_vm_with_an_older_configuration_does_not_deny_a_route() {
    let region = "south".parse().expect("a valid id");
    for kind in [
        Kind::UnknownRoute,
        Kind::WrongRegion,
        Kind::NoConfiguration,
        Kind::BadRequest,
    ] {
        let mut history = AttemptHistory::default();
        history.record_vm_refusal(&vm(), &region, kind.into());
        assert_eq!(history.final_refusal(None).kind.response().status, 503, "{kind}");
        assert!(!history.may_have_run(), "{kind}");
    }
    let mut history = AttemptHistory::default();
    history.record_vm_refusal(&vm(), &region, Kind::Overloaded.into());
    assert_eq!(history.final_refusal(None).kind, Kind::Overloaded);
}

/// The other VM retries a failed request by itself, so the entry VM must not retry it as well.
#[test]
fn endpoints_used_by_a_peer_count_as_possible_runs() {
    let mut history = AttemptHistory::default();
    history.record_vm(&vm(), 2, None);
    assert_eq!(history.possible_runs(), 2);
    let mut history = AttemptHistory::default();
    history.record_vm(&vm(), 2, Some(AttemptOutcome::Rejected));
    assert_eq!(history.possible_runs(), 0);
}

fn any_outcome() -> impl Strategy<Value = Option<AttemptOutcome>> {
    prop::sample::select(vec![
        None,
        Some(AttemptOutcome::Failed),
        Some(AttemptOutcome::Rejected),
        Some(AttemptOutcome::WrongEndpoint),
        Some(AttemptOutcome::Unreachable),
        Some(AttemptOutcome::Unsent),
        Some(AttemptOutcome::Declined),
        Some(AttemptOutcome::Broken),
        Some(AttemptOutcome::Timeout),
    ])
}

proptest! {
    /// For any history, `Ran::No` is returned only if no send can have run the request.
    #[test]
    fn a_refusal_that_says_not_run_is_true(sends in prop::collection::vec((any::<bool>(), any_outcome()), 0..6)) {
        let mut history = AttemptHistory::default();
        for (remote, outcome) in &sends {
            if *remote {
                history.record_vm(&vm(), 2, *outcome);
            } else {
                history.record_endpoint(&endpoint(), *outcome);
            }
        }
        let ran = sends.iter().any(|(_, outcome)| !outcome.is_some_and(AttemptOutcome::not_run));
        for reason in [None, Some(Refusal::new(Kind::Overloaded))] {
            let reported = history.final_refusal(reason).kind.response().ran;
            prop_assert_eq!(reported == Ran::No, !ran);
        }
    }
}
