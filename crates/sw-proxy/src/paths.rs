//! Checks and probes of the paths to endpoints.
//!
//! A probe is a connection without a request. A path is checked when a connection fails or an endpoint is silent for a
//! while, and probed from time to time while it is lost, so that no request has to find out that it is back.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use sw_http::ProbeError;
use sw_relay::{EndpointEntry, PathChange, PathFailure, Silence};
use sw_unit::{Millis, Time};

use crate::state::ProxyState;
use crate::{Dialect, health, telemetry};

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Period in which due probes are looked for while paths are lost.
const TICK_PERIOD: Millis = Millis(100);
/// Time after which an endpoint that has not accepted a probe may be out of reach, so that others are probed too.
const SAMPLE_DELAY: Duration = Duration::from_millis(60);
/// Time without an established connection after which a path may be checked.
const CONNECT_SILENCE: Millis = Millis(120);
/// Time without a received byte after which a path may be checked.
const RESPONSE_SILENCE: Millis = Millis(400);
/// Multiple of the expected time until a response begins after which it is overdue.
const OVERDUE_FACTOR: f64 = 2.0;

/// What a request waits for at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Awaited {
    /// A connection.
    Connection,
    /// The head of a response, expected after this number of milliseconds.
    Head(f64),
    /// More of a response.
    Event,
}

impl Awaited {
    /// Returns the time after which the path may be checked, again and again.
    fn period(self) -> Millis {
        match self {
            Self::Connection => CONNECT_SILENCE,
            Self::Head(_) | Self::Event => RESPONSE_SILENCE,
        }
    }

    /// Returns what is missing after a time.
    fn missing_after(self, time: Millis) -> Silence {
        let overdue_after = match self {
            Self::Connection => return Silence::Connection,
            Self::Head(expected_ms) => RESPONSE_SILENCE + Millis((expected_ms * OVERDUE_FACTOR) as u64),
            Self::Event => RESPONSE_SILENCE + RESPONSE_SILENCE,
        };
        if time < overdue_after {
            Silence::Response
        } else {
            Silence::OverdueResponse
        }
    }
}

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

/// Checks the path to an endpoint to which no connection could be made, or that broke one off.
pub(crate) fn check<D: Dialect, F: 'static>(state: &Rc<ProxyState<D, F>>, endpoint: &EndpointEntry) {
    let (state, endpoint) = (Rc::clone(state), endpoint.clone());
    tokio::task::spawn_local(async move { check_now(&state, &endpoint).await });
}

/// Waits until the path to an endpoint is lost that does not send what is awaited; checks the path from time to time.
pub(crate) async fn wait_lost<D: Dialect, F: 'static>(
    state: &Rc<ProxyState<D, F>>,
    endpoint: &EndpointEntry,
    awaited: Awaited,
) {
    let silent_since: Time = state.now();
    loop {
        tokio::time::sleep(Duration::from_millis(awaited.period().0)).await;
        let now = state.now();
        let missing = awaited.missing_after(now.since(silent_since));
        let is_checked = state.checked_paths.borrow().contains(&endpoint.address);
        if is_checked || state.relay.borrow_mut().begin_path_check(endpoint, missing, now) {
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
    let begun_at = state.now();
    let probes = probe_sample(state, endpoint).await;
    let was_cut_off = state.relay.borrow().lost_paths().1;
    let now = state.now();
    state.relay.borrow_mut().on_path_sample(&probes, begun_at, now);
    state.checked_paths.borrow_mut().swap_remove(&endpoint.address);
    on_changes(state);
    if state.relay.borrow().lost_paths().1 > was_cut_off {
        let others = state.relay.borrow().endpoints_of_other_services(&endpoint.service);
        for other in others {
            check(state, &other);
        }
    }
}

/// Probes the path to an endpoint, and to some others of its service unless it soon accepts the probe.
async fn probe_sample<D: Dialect, F: 'static>(
    state: &Rc<ProxyState<D, F>>,
    endpoint: &EndpointEntry,
) -> Vec<(EndpointEntry, Result<(), PathFailure>)> {
    let mut first = pin!(connect(endpoint.address));
    let soon = tokio::time::timeout(SAMPLE_DELAY, &mut first).await;
    if soon == Ok(Ok(())) {
        return vec![(endpoint.clone(), Ok(()))];
    }
    let sample = state.relay.borrow_mut().path_sample(endpoint);
    let others = futures::future::join_all(sample.iter().skip(1).map(|other| connect(other.address)));
    let first = async {
        match soon {
            Ok(outcome) => outcome,
            Err(_elapsed) => first.await,
        }
    };
    let (first, others) = futures::future::join(first, others).await;
    let outcomes = std::iter::once(first).chain(others);
    sample.into_iter().zip(outcomes).collect()
}

/// Probes the path to an endpoint.
async fn probe<D: Dialect, F: 'static>(
    state: &Rc<ProxyState<D, F>>,
    endpoint: &EndpointEntry,
) -> Result<(), PathFailure> {
    let begun_at = state.now();
    let outcome = connect(endpoint.address).await;
    let now = state.now();
    match outcome {
        Ok(()) => state.relay.borrow_mut().on_path_open(endpoint, now),
        Err(failure) => state.relay.borrow_mut().on_path_lost(endpoint, failure, begun_at, now),
    }
    on_changes(state);
    outcome
}

async fn connect(address: SocketAddr) -> Result<(), PathFailure> {
    let failure = match sw_http::probe(address, PROBE_TIMEOUT).await {
        Ok(()) => return Ok(()),
        Err(ProbeError::Refused) => PathFailure::Refused,
        Err(ProbeError::Reset) => PathFailure::Reset,
        Err(ProbeError::Timeout) => PathFailure::Timeout,
    };
    // If this thread was late, what the endpoints sent meanwhile is read before the probe is judged.
    tokio::task::yield_now().await;
    Err(failure)
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
            state.relay.borrow_mut().on_idle_count(*address, 0);
        }
    }
    state.path_lost.notify_one();
    health::wake(state);
}
