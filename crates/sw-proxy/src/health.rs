//! Health checks of endpoints that may be cold.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use sw_http::{CallError, Reuse, read_body};
use sw_relay::{AdmittedRequest, HealthCheck};
use sw_unit::Millis;

use crate::state::ProxyState;
use crate::{Dialect, connections, paths, telemetry};

/// Timeout of a health check; it waits for a slot of the endpoint as other requests do.
const CHECK_TIMEOUT: Duration = Duration::from_millis(450);
/// Period in which due checks are looked for while endpoints may be cold.
const TICK_PERIOD: Millis = Millis(100);
/// Maximum length of the body of a response in bytes.
const MAX_BODY: u64 = 64 << 10;

/// Checks endpoints that may be cold until the process ends.
pub(crate) async fn run<D: Dialect, F: 'static>(state: Rc<ProxyState<D, F>>) {
    loop {
        state.cold_suspected.notified().await;
        let mut ticks = state.timer.subscribe(TICK_PERIOD);
        while state.relay.borrow().has_cold_suspects() {
            let due = state.relay.borrow_mut().due_health_checks(state.now());
            for check in due {
                let state = Rc::clone(&state);
                tokio::task::spawn_local(async move { run_check(&state, &check).await });
            }
            tokio::select! {
                () = state.cold_suspected.notified() => {}
                _ = ticks.tick() => {}
            }
        }
    }
}

/// Begins the checks that are due, if endpoints may be cold.
pub(crate) fn wake<D, F>(state: &ProxyState<D, F>) {
    if state.relay.borrow().has_cold_suspects() {
        state.cold_suspected.notify_one();
    }
}

/// Waits a moment for the answer to a health check, and returns whether there was one to wait for.
pub(crate) async fn wait_answer<D, F>(state: &ProxyState<D, F>, admitted: &AdmittedRequest) -> bool {
    let answered = state.health_answered.notified();
    let wait = state.relay.borrow().health_answer_wait(&admitted.service, state.now());
    let Some(wait) = wait else {
        return false;
    };
    // The caller checks the current state in either case.
    let _late = tokio::time::timeout(Duration::from_millis(wait.0), answered).await;
    true
}

/// Asks an endpoint for its health, and records its answer.
async fn run_check<D: Dialect, F: 'static>(state: &Rc<ProxyState<D, F>>, check: &HealthCheck) {
    let answer = tokio::time::timeout(CHECK_TIMEOUT, ask(state, check)).await;
    let now = state.now();
    let cold_for = match answer {
        Ok(Ok(cold_for)) => cold_for,
        Ok(Err(CallError::Connect)) => {
            paths::check(state, &check.endpoint);
            None
        }
        Ok(Err(_)) | Err(_) => None,
    };
    telemetry::log_health_check(check, cold_for, now);
    if let Some(cold_for) = cold_for {
        state.relay.borrow_mut().on_health_answer(check, cold_for, now);
        state.health_answered.notify_waiters();
    }
}

/// Sends a health request on an idle connection, or on a new one if there is none that works, and returns how much longer the
/// endpoint is cold; `None` if another one answered.
async fn ask<D: Dialect, F>(state: &ProxyState<D, F>, check: &HealthCheck) -> Result<Option<Millis>, CallError> {
    match ask_on(state, check, Reuse::Allowed).await {
        Err(CallError::Unsent | CallError::Broken) => ask_on(state, check, Reuse::Never).await,
        answer => answer,
    }
}

async fn ask_on<D: Dialect, F>(
    state: &ProxyState<D, F>,
    check: &HealthCheck,
    reuse: Reuse,
) -> Result<Option<Millis>, CallError> {
    let mut exchange = connections::connect(state, &check.endpoint, reuse).await?;
    let request = Request::get(&*check.path).header(HOST, check.endpoint.address.to_string());
    let request = request
        .body(Full::new(Bytes::new()))
        .map_err(|_bad_path| CallError::Unsent)?;
    let response = exchange.send(request, CHECK_TIMEOUT).await?;
    let (head, body) = response.into_parts();
    let answer = state.dialect.health_answer(&head.headers);
    let answer = answer.filter(|answer| answer.endpoint == check.endpoint.id);
    let is_read = read_body(body, MAX_BODY, CHECK_TIMEOUT).await.is_ok();
    let head = state.dialect.response_head(head.status, &head.headers);
    if answer.is_some() && is_read {
        if state.relay.borrow().reuses_connections() {
            connections::keep(state, &check.endpoint, exchange, &head);
        } else if !head.closes_connection {
            exchange.give_back();
        }
    }
    Ok(answer.map(|answer| answer.cold_for))
}
