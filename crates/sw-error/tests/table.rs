//! The table from kind to answer.

use strum::IntoEnumIterator as _;
use sw_error::{Kind, Phase, Ran, Refusal};

#[test]
fn the_table_is_as_documented() {
    let row = |kind: Kind| {
        let answer = kind.response();
        format!(
            "{kind}: {} ran={} retry={} {}",
            answer.status, answer.ran, answer.retry, answer.error_type
        )
    };
    insta::assert_snapshot!(Kind::iter().map(row).collect::<Vec<_>>().join("\n"));
}

#[test]
fn after_the_hand_over_nothing_is_said_not_to_have_run() {
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
