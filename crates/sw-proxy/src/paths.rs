//! Checks and probes of the paths to endpoints.
//!
//! A probe is a connection without a request. A path is checked when a connection fails or an endpoint is silent for a
//! while, and probed from time to time while it is lost, so that no request has to find out that it is back.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sw_http::ProbeError;
use sw_relay::{EndpointEntry, PathChange, PathFailure};
use sw_unit::Millis;

use crate::state::ProxyState;
use crate::{Dialect, telemetry};

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Period in which due probes are looked for while paths are lost.
const TICK_PERIOD: Millis = Millis(100);
/// An endpoint that was heard of within this time is not checked.
const HEARD_RECENTLY: Millis = Millis(300);
/// Time without an established connection after which a path is checked.
pub(crate) const CONNECT_SILENCE: Duration = Duration::from_millis(120);
/// Time without a received byte after which a path is checked.
pub(crate) const RESPONSE_SILENCE: Duration = Duration::from_millis(400);

/// Probes lost paths until the process ends.
pub(crate) async fn run<D: Dialect, F: 'static>(state: Rc<ProxyState<D, F>>) {
    loop {
        state.path_lost.notified().await;
        let mut ticks = state.timer.subscribe(TICK_PERIOD);
        while state.relay.borrow().has_paths_to_probe() {
            ticks.tick().await;
            let due = state.relay.borrow_mut().due_path_probes(state.now());
            for endpoint in due {
                let state = Rc::clone(&state);
                tokio::task::spawn_local(async move { probe(&state, &endpoint).await });
            }
            on_changes(&state);
        }
    }
}

/// Checks the path to an endpoint to which no connection could be made, and a sample of the other paths.
pub(crate) fn check<D: Dialect, F: 'static>(state: &Rc<ProxyState<D, F>>, endpoint: &EndpointEntry) {
    let (state, endpoint) = (Rc::clone(state), endpoint.clone());
    tokio::task::spawn_local(async move { check_now(&state, &endpoint).await });
}

/// Waits until the path to an endpoint that stays silent is lost; the path is checked each time that `silence` has passed.
pub(crate) async fn wait_lost<D: Dialect, F: 'static>(
    state: &Rc<ProxyState<D, F>>,
    endpoint: &EndpointEntry,
    silence: Duration,
) {
    loop {
        tokio::time::sleep(silence).await;
        let is_heard = state
            .relay
            .borrow()
            .has_heard(&endpoint.id, HEARD_RECENTLY, state.now());
        if is_heard {
            continue;
        }
        if state.relay.borrow().has_path(&endpoint.id) {
            check_now(state, endpoint).await;
        }
        if !state.relay.borrow().has_path(&endpoint.id) {
            return;
        }
    }
}

/// Returns whether this VM has a path to an endpoint other than `endpoint`, or knows no other one.
pub(crate) async fn reaches_another<D: Dialect, F: 'static>(
    state: &Rc<ProxyState<D, F>>,
    endpoint: &EndpointEntry,
) -> bool {
    let others = state.relay.borrow_mut().other_endpoints(&endpoint.id);
    if others.is_empty() {
        return true;
    }
    let probes = others.iter().map(|other| Box::pin(probe(state, other)));
    match futures::future::select_ok(probes).await {
        Ok(((), _running)) => true,
        Err(_failure) => false,
    }
}

async fn check_now<D: Dialect, F: 'static>(state: &Rc<ProxyState<D, F>>, endpoint: &EndpointEntry) {
    if !state.checked_paths.borrow_mut().insert(endpoint.address) {
        // Another request waits for the same check.
        tokio::time::sleep(PROBE_TIMEOUT).await;
        return;
    }
    let sample = state.relay.borrow_mut().path_sample(endpoint);
    let probes = sample.into_iter().map(async |endpoint| {
        let outcome = connect(endpoint.address).await;
        (endpoint, outcome)
    });
    let probes = futures::future::join_all(probes).await;
    let was_cut_off = state.relay.borrow().lost_paths().1;
    state.relay.borrow_mut().on_path_sample(&probes, state.now());
    state.checked_paths.borrow_mut().swap_remove(&endpoint.address);
    on_changes(state);
    if state.relay.borrow().lost_paths().1 > was_cut_off {
        let others = state.relay.borrow().endpoints_of_other_services(&endpoint.service);
        for other in others {
            check(state, &other);
        }
    }
}

/// Probes the path to an endpoint.
async fn probe<D: Dialect, F: 'static>(
    state: &Rc<ProxyState<D, F>>,
    endpoint: &EndpointEntry,
) -> Result<(), PathFailure> {
    let outcome = connect(endpoint.address).await;
    match outcome {
        Ok(()) => state.relay.borrow_mut().on_path_open(endpoint, state.now()),
        Err(failure) => state.relay.borrow_mut().on_path_lost(endpoint, failure, state.now()),
    }
    on_changes(state);
    outcome
}

async fn connect(address: SocketAddr) -> Result<(), PathFailure> {
    sw_http::probe(address, PROBE_TIMEOUT)
        .await
        .map_err(|error| match error {
            ProbeError::Refused => PathFailure::Refused,
            ProbeError::Reset => PathFailure::Reset,
            ProbeError::Timeout => PathFailure::Timeout,
        })
}

/// Logs changes of the paths, closes idle connections to endpoints that cannot be reached, and starts their probes.
pub(crate) fn on_changes<D: Dialect, F: 'static>(state: &Rc<ProxyState<D, F>>) {
    let changes = state.relay.borrow_mut().take_path_changes();
    if changes.is_empty() {
        return;
    }
    telemetry::log_path_changes(state, &changes);
    for change in &changes {
        if let PathChange::Lost { address, .. } = change {
            state.connector.forget(*address);
        }
    }
    state.path_lost.notify_one();
}
