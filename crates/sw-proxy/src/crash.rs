//! Finds out whether an endpoint crashed, and spreads the news of crashes.

use std::rc::Rc;
use std::time::Duration;

use sw_relay::{EndpointEntry, QuarantineChange};

use crate::state::ProxyState;
use crate::{Dialect, heartbeat, paths, telemetry};

/// Timeout of a connection that only checks whether an endpoint listens.
const CHECK_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause before the second check; an endpoint may still listen for a moment while it ends.
const CHECK_PAUSE: Duration = Duration::from_millis(200);

/// Checks whether an endpoint whose connection broke has crashed: it refuses connections then, and this VM reaches other
/// endpoints. A VM that reaches none has lost its paths.
pub(crate) fn check_endpoint<D: Dialect, F: 'static>(state: &Rc<ProxyState<D, F>>, endpoint: &EndpointEntry) {
    let (state, endpoint) = (Rc::clone(state), endpoint.clone());
    tokio::task::spawn_local(async move {
        let mut refused = sw_http::is_refused(endpoint.address, CHECK_TIMEOUT).await;
        if !refused {
            tokio::time::sleep(CHECK_PAUSE).await;
            refused = sw_http::is_refused(endpoint.address, CHECK_TIMEOUT).await;
        }
        let has_crashed = refused && paths::reaches_another(&state, &endpoint).await;
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

/// Logs changes of the quarantine, wakes the requests that wait for a response, and sends news of crashes to other VMs.
pub(crate) fn on_evidence<D: Dialect, F: 'static>(state: &Rc<ProxyState<D, F>>) {
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
