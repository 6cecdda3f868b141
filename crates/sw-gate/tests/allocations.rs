//! Target selection allocates no more among many endpoints than among few.

mod support;

use allocation_counter::measure;
use sw_gate::{CallerHeaders, RoutingInput};
use sw_unit::{Bytes, Time};

/// The copies of the candidate's id and of the VM's row in the decision.
const MAX_ALLOCATIONS: u64 = 2;

#[test]
fn target_selection_barely_allocates() {
    let mut gate = support::gate(0, 1, sw_once::Options::default());
    gate.install(support::version(1, 7, "a"));
    let headers = CallerHeaders {
        api_key: Some(support::KEY),
        route: Some("all"),
        deadline: None,
    };
    let admitted = gate.admit(&headers, Time(1_000)).unwrap();
    let input = RoutingInput {
        len: Bytes(2_000),
        ..RoutingInput::default()
    };
    gate.choose_target(&admitted, &input, Time(1_000)).unwrap();
    let measured = measure(|| {
        gate.choose_target(&admitted, &input, Time(1_000)).unwrap();
    });
    assert!(
        measured.count_total <= MAX_ALLOCATIONS,
        "{} allocations",
        measured.count_total
    );
}
