//! Connections to endpoints: taken from the pool or opened, and returned to it.

use std::rc::Rc;
use std::time::Duration;

use metrics::counter;
use sw_http::{CallError, Exchange, Reuse};
use sw_relay::EndpointEntry;
use sw_unit::Millis;

use crate::ResponseHead;
use crate::state::ProxyState;

/// Period in which idle connections are checked. It is less than what remains of the shortest keep-alive timeout, one
/// second, when the time to keep the connection ends.
const CHECK_PERIOD: Millis = Millis(100);

/// Returns a connection to an endpoint: an idle one if it may be reused, or else a new one.
///
/// # Errors
///
/// Returns [`CallError::Connect`] if no connection can be established in time.
pub(crate) async fn connect<D, F>(
    state: &ProxyState<D, F>,
    endpoint: &EndpointEntry,
    reuse: Reuse,
) -> Result<Exchange, CallError> {
    let idle = state.connector.take(endpoint.address, reuse);
    let kind = if idle.is_some() { "reused" } else { "new" };
    let exchange = if let Some(exchange) = idle {
        on_taken(state, endpoint);
        exchange
    } else {
        make_room(state, endpoint);
        state.connector.open(endpoint.address).await?
    };
    let service = endpoint.service.as_str().to_owned();
    counter!("shallotwing_endpoint_connections_total", "service" => service, "kind" => kind).increment(1);
    Ok(exchange)
}

/// Returns a connection to the pool, unless the endpoint closes it or this VM's share of its connections is used up.
pub(crate) fn keep<D, F>(state: &ProxyState<D, F>, endpoint: &EndpointEntry, exchange: Exchange, head: &ResponseHead) {
    let mut relay = state.relay.borrow_mut();
    let now = state.now();
    let keep_for = relay.keep_time(endpoint, head.keep_alive, now);
    let Some(keep_for) = keep_for.filter(|_| !head.closes_connection) else {
        return;
    };
    exchange.give_back_for(Duration::from_millis(keep_for.0));
    if relay.reuses_connections() {
        relay.on_connection_kept(endpoint, keep_for, now);
        relay.on_idle_count(endpoint.address, state.connector.idle_count(endpoint.address));
        state.connection_kept.notify_one();
    }
}

/// Closes connections that have been idle for long enough, or exceed this VM's share, until the process ends.
pub(crate) async fn run<D, F>(state: Rc<ProxyState<D, F>>) {
    loop {
        state.connection_kept.notified().await;
        let mut ticks = state.timer.subscribe(CHECK_PERIOD);
        while state.relay.borrow().has_idle_connections() {
            ticks.tick().await;
            state.connector.prune();
            close_excess(&state);
        }
    }
}

/// Records that an idle connection was taken from the pool.
fn on_taken<D, F>(state: &ProxyState<D, F>, endpoint: &EndpointEntry) {
    let mut relay = state.relay.borrow_mut();
    relay.on_connection_taken(endpoint.address);
    // The pool may have dropped others that the endpoint closed.
    relay.on_idle_count(endpoint.address, state.connector.idle_count(endpoint.address));
}

/// Closes idle connections that, with a new one, would exceed this VM's share of the endpoint's connections.
///
/// An idle connection is not always reused: it may have been idle for too long for the request.
fn make_room<D, F>(state: &ProxyState<D, F>, endpoint: &EndpointEntry) {
    let mut relay = state.relay.borrow_mut();
    if let Some(max) = relay.max_idle(&endpoint.id, &endpoint.service, state.now()) {
        state.connector.truncate_idle(endpoint.address, max);
    }
    relay.on_idle_count(endpoint.address, state.connector.idle_count(endpoint.address));
}

/// Closes idle connections that exceed this VM's share, which shrinks when VMs join.
fn close_excess<D, F>(state: &ProxyState<D, F>) {
    let mut relay = state.relay.borrow_mut();
    for (address, max) in relay.idle_limits(state.now()) {
        state.connector.truncate_idle(address, max);
        relay.on_idle_count(address, state.connector.idle_count(address));
    }
}
