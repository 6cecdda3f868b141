//! Tests of the table of error responses.

use strum::IntoEnumIterator as _;
use sw_error::{Kind, Phase, Ran, Refusal};

#[test]
fn the_table_is_as_documented() {
    let row = |kind: Kind| {
        let response = kind.response();
        format!(
            "{kind}: {} ran={} retry={} {}",
            response.status, response.ran, response.retry, response.error_type
        )
    };
    insta::assert_snapshot!(Kind::iter().map(row).collect::<Vec<_>>().join("\n"));
}

#[test]
fn no_refusal_after_dispatch_claims_that_the_request_did_not_run() {
    for kind in Kind::iter() {
        for phase in [Phase::Dispatched, Phase::Completed] {
            assert_ne!(
                Refusal::new(kind).for_phase(phase).kind.response().ran,
                Ran::No,
                "{kind} in {phase}"
            );
        }
        assert_eq!(Refusal::new(kind).for_phase(Phase::Admitted).kind, kind);
    }
}
