//! Draining: which requests a VM still takes after its stop signal, and when the last ones are answered.

use std::time::Duration;

use sw_error::{Kind, Refusal};
use sw_relay::{AdmittedRequest, AttemptHistory};
use sw_unit::{Millis, Time};

use crate::state::{Lifecycle, ProxyState};

/// Time before the end of the stop grace at which the remaining requests are cut.
pub(crate) const STOP_MARGIN: Millis = Millis(350);
/// Time before that at which requests without a response are answered, so that the answer is delivered.
const ANSWER_MARGIN: Millis = Millis(250);
/// Share of the stop grace after which new streams are refused, because they may not finish before the process ends.
const REFUSE_STREAMS_AFTER_SHARE: f64 = 0.35;
/// Time that a request of a plain service is expected to take at most, as a multiple of its route's objective.
const EXPECTED_OBJECTIVES: u64 = 2;
/// Retry delay for callers of a draining VM; they should connect to another VM.
const DRAINING_RETRY_AFTER: Millis = Millis(50);

/// Returns when the last requests are answered; `None` if this VM is not draining.
fn last_answers_at<D, F>(state: &ProxyState<D, F>) -> Option<Time> {
    let Lifecycle::Draining(since) = state.lifecycle.get() else {
        return None;
    };
    Some(since + (state.options().stop_grace - STOP_MARGIN - ANSWER_MARGIN))
}

/// Returns until when a request may be sent; `None` if this VM is not draining.
fn last_send_at<D, F>(state: &ProxyState<D, F>, admitted: &AdmittedRequest) -> Option<Time> {
    let Lifecycle::Draining(since) = state.lifecycle.get() else {
        return None;
    };
    if admitted.route.kind.is_streaming() {
        let refuse_after = state.options().stop_grace.0 as f64 * REFUSE_STREAMS_AFTER_SHARE;
        return Some(since + Millis(refuse_after as u64));
    }
    let expected = Millis(admitted.route.objective.0 * EXPECTED_OBJECTIVES);
    Some(last_answers_at(state)? - expected.min(admitted.route.timeout))
}

/// Returns whether a request may not end before the process does; one that may run only once must end in any case.
fn is_late<D, F>(state: &ProxyState<D, F>, admitted: &AdmittedRequest) -> bool {
    let kind = admitted.route.kind;
    let is_expected_late = last_send_at(state, admitted).is_some_and(|last| state.now() > last);
    let must_end = !kind.is_streaming() && !kind.is_repeatable();
    is_expected_late || must_end && last_answers_at(state).is_some_and(|last| admitted.due > last)
}

fn stopping() -> Refusal {
    Refusal::with_retry_after(Kind::Stopping, DRAINING_RETRY_AFTER)
}

/// Refuses a request that may not end before the process does.
///
/// # Errors
///
/// Returns [`Kind::Stopping`].
pub(crate) fn check<D, F>(state: &ProxyState<D, F>, admitted: &AdmittedRequest) -> Result<(), Refusal> {
    if is_late(state, admitted) {
        return Err(stopping());
    }
    Ok(())
}

/// Makes the response to a request due before the process ends; returns the request as it was if that is sooner.
pub(crate) fn limit<D, F>(state: &ProxyState<D, F>, admitted: &mut AdmittedRequest) -> Option<AdmittedRequest> {
    let last = last_answers_at(state).filter(|last| *last < admitted.due)?;
    let unlimited = admitted.clone();
    admitted.due = last;
    Some(unlimited)
}

/// Returns the refusal of a limited request: another VM can serve it if this one could, had it more time.
pub(crate) fn refusal<D, F>(state: &ProxyState<D, F>, unlimited: &AdmittedRequest, refusal: Refusal) -> Refusal {
    if refusal.kind != Kind::DeadlineUnreachable {
        return refusal;
    }
    let choice = state
        .relay
        .borrow_mut()
        .choose(unlimited, &AttemptHistory::default(), state.now());
    choice.map_or(refusal, |_elsewhere| stopping())
}

/// Waits until a request may no longer be sent, because it may not end before the process does.
pub(crate) async fn wait_late<D, F>(state: &ProxyState<D, F>, admitted: &AdmittedRequest) -> Refusal {
    wait_until(state, || last_send_at(state, admitted)).await;
    stopping()
}

/// Waits until the last requests are answered; what they wait for comes too late.
pub(crate) async fn wait_last_answers<D, F>(state: &ProxyState<D, F>) {
    wait_until(state, || last_answers_at(state)).await;
}

/// Waits until the time that `at` returns once this VM is draining.
async fn wait_until<D, F>(state: &ProxyState<D, F>, at: impl Fn() -> Option<Time>) {
    loop {
        let drain_started = state.drain_started.notified();
        let Some(at) = at() else {
            drain_started.await;
            continue;
        };
        let left = at.since(state.now());
        if left == Millis(0) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(left.0)).await;
    }
}
