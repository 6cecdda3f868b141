//! Finds out whether an endpoint crashed, and spreads the news of crashes.

use std::rc::Rc;
use std::time::Duration;

use sw_relay::{EndpointEntry, QuarantineChange};
use sw_unit::Time;

use crate::state::ProxyState;
use crate::{Dialect, health, heartbeat, paths, telemetry};

/// Timeout of a connection that only checks whether an endpoint listens.
const CHECK_TIMEOUT: Duration = Duration::from_millis(600);
/// Pauses before further checks; an endpoint may still listen for a moment while it ends.
const CHECK_PAUSES: [Duration; 3] = [
    Duration::from_millis(10),
    Duration::from_millis(40),
    Duration::from_millis(150),
];

/// Checks whether an endpoint whose connection broke just now has crashed: it refuses connections then, and this VM reaches
/// other endpoints, or has reached one since. A VM that reaches none has lost its paths.
pub(crate) fn check_endpoint<D: Dialect, F: 'static>(state: &Rc<ProxyState<D, F>>, endpoint: &EndpointEntry) {
    let (state, endpoint) = (Rc::clone(state), endpoint.clone());
    let broken_at = state.now();
    tokio::task::spawn_local(async move {
        let refused = refuses_connections(&endpoint).await;
        let has_crashed = refused && reaches_another(&state, &endpoint, broken_at).await;
        telemetry::log_crash_check(&endpoint, refused, has_crashed);
        if has_crashed {
            let now = state.now();
            state
                .relay
                .borrow_mut()
                .on_endpoint_ended(&endpoint.id, endpoint.incarnation, now);
            on_evidence(&state);
        }
    });
}

async fn refuses_connections(endpoint: &EndpointEntry) -> bool {
    for pause in CHECK_PAUSES {
        if sw_http::is_refused(endpoint.address, CHECK_TIMEOUT).await {
            return true;
        }
        tokio::time::sleep(pause).await;
    }
    sw_http::is_refused(endpoint.address, CHECK_TIMEOUT).await
}

/// Returns whether this VM reaches an endpoint other than `endpoint`, or has reached one since `broken_at`: the others may
/// have crashed meanwhile as well, by the retry of the same request.
async fn reaches_another<D: Dialect, F: 'static>(
    state: &Rc<ProxyState<D, F>>,
    endpoint: &EndpointEntry,
    broken_at: Time,
) -> bool {
    if paths::reaches_another(state, endpoint).await {
        return true;
    }
    // Asked last: a response that was received during the probes counts as well.
    state.relay.borrow().has_reached_another(&endpoint.id, broken_at)
}

/// Logs changes of the quarantine, wakes the requests that wait for a response, and sends news of crashes to other VMs.
pub(crate) fn on_evidence<D: Dialect, F: 'static>(state: &Rc<ProxyState<D, F>>) {
    health::wake(state);
    let (changes, news) = {
        let mut relay = state.relay.borrow_mut();
        (relay.take_quarantine_changes(), relay.take_crash_news())
    };
    if !changes.is_empty() {
        telemetry::log_quarantine_changes(state, &changes);
        state.quarantine_changed.notify_waiters();
    }
    if let Some(scope) = news {
        let is_verdict = changes.iter().any(QuarantineChange::is_new);
        heartbeat::announce_crash(state, scope, is_verdict);
    }
}
