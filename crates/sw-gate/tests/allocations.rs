//! A plan among many endpoints allocates no more than one among few.

mod support;

use allocation_counter::measure;
use sw_gate::{CallerHeaders, RoutingInput};
use sw_unit::{Bytes, Time};

/// The plan's own copies of the candidate's id and of the VM's row.
const MAX_ALLOCATIONS: u64 = 2;

#[test]
fn a_plan_hardly_allocates() {
    let mut gate = support::gate(0, 1, sw_once::Options::default());
    gate.install(support::version(1, 7, "a"));
    let head = CallerHeaders {
        api_key: Some(support::KEY),
        route: Some("all"),
        deadline: None,
    };
    let admitted = gate.admit(&head, Time(1_000)).unwrap();
    let request = RoutingInput {
        len: Bytes(2_000),
        ..RoutingInput::default()
    };
    gate.choose_target(&admitted, &request, Time(1_000)).unwrap();
    let measured = measure(|| {
        gate.choose_target(&admitted, &request, Time(1_000)).unwrap();
    });
    assert!(
        measured.count_total <= MAX_ALLOCATIONS,
        "{} allocations",
        measured.count_total
    );
}
