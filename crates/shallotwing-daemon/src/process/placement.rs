//! Model placement: orders to load and unload models, sent to engines by the one VM of a failure domain that holds the
//! lease.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::Method;
use serde::de::IgnoredAny;
use serde_json::json;
use spdlog::prelude::*;
use sw_http::JsonError;
use sw_place::{LeaseTerm, Order};
use sw_store::{Lease, Store as _, acquire_lease};
use sw_time::Clock as _;
use sw_unit::{Millis, Time};

use super::Gateway;

const PERIOD: Millis = Millis(1_000);
const LEASE: Millis = Millis(10_000);
/// Last part of the lease, in which no order is sent; longer than an order can take to arrive.
const MARGIN: Millis = Millis(3_000);
const RENEW_AFTER: Millis = Millis(3_000);
const KEY_PREFIX: &str = "shallotwing/place/";
const CONFLICT: u16 = 409;

/// The lease on giving orders, held by this VM.
struct Held {
    hold: Lease,
    tenure: LeaseTerm,
    renewed: Time,
}

/// Sends orders while this VM holds the domain's lease.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut ticks = gateway.timers.subscribe(PERIOD);
    let mut held = None;
    loop {
        ticks.tick().await;
        held = keep(&gateway, held).await;
        if let Some(current) = &held
            && !give_order(&gateway, current.tenure).await
        {
            release(&gateway, held.take()).await;
        }
    }
}

/// Acquires, renews or releases the lease.
///
/// Only the chosen VM of the domain tries to acquire it, but any holder renews it, so the return of the chosen VM does
/// not move the lease.
async fn keep(gateway: &Gateway, held: Option<Held>) -> Option<Held> {
    let step = |gate: &mut sw_gate::Gate, now| {
        let may_hold = gate.has_ordered_endpoints() && !gate.members().local().leaving;
        (may_hold, gate.is_chosen("place", 1, now))
    };
    match (gateway.core.run(step).await, held) {
        (Ok((true, _)), Some(held)) => renew(gateway, held).await,
        (Ok((true, true)), None) => take(gateway).await,
        (Ok((true, false)), None) => None,
        (_, held) => {
            release(gateway, held).await;
            None
        }
    }
}

async fn take(gateway: &Gateway) -> Option<Held> {
    let asked_at = gateway.timers.clock().now();
    let settings = &gateway.settings;
    let key = format!("{KEY_PREFIX}{}", settings.domain);
    let owner = format!("{}~{}", settings.vm, gateway.incarnation);
    let hold = acquire_lease(&gateway.store, &key, &owner, LEASE).await.ok()??;
    info!("holds the lease for orders", kv: { domain = settings.domain.as_str(), fence = hold.fence.0 });
    let tenure = LeaseTerm::new(hold.fence, asked_at, LEASE, MARGIN);
    Some(Held {
        hold,
        tenure,
        renewed: asked_at,
    })
}

async fn renew(gateway: &Gateway, mut held: Held) -> Option<Held> {
    let asked_at = gateway.timers.clock().now();
    if held.tenure.is_expired(asked_at) {
        return None;
    }
    if asked_at.since(held.renewed) >= RENEW_AFTER {
        match gateway.store.keep_alive(held.hold.id).await {
            Ok(true) => {
                held.tenure.on_renewed(asked_at, LEASE);
                held.renewed = asked_at;
            }
            Ok(false) => return None,
            // The renewal can be retried until the lease expires by this VM's clock.
            Err(_no_answer) => {}
        }
    }
    Some(held)
}

async fn release(gateway: &Gateway, held: Option<Held>) {
    if let Some(held) = held {
        // A lease that is not revoked expires by its TTL.
        let _revoked = gateway.store.revoke(held.hold.id).await;
    }
}

/// Sends the next order if one is due, and returns whether this VM may send further orders.
async fn give_order(gateway: &Gateway, tenure: LeaseTerm) -> bool {
    let step = move |gate: &mut sw_gate::Gate, now| gate.next_order(tenure.fence(now)?, now);
    let Ok(Some((order, address))) = gateway.core.run(step).await else {
        return true;
    };
    send(gateway, tenure, &order, address).await
}

async fn send(gateway: &Gateway, tenure: LeaseTerm, order: &Order, address: SocketAddr) -> bool {
    if tenure.fence(gateway.timers.clock().now()).is_none() {
        return false;
    }
    let (action, endpoint, model) = (order.action.to_string(), order.endpoint.as_str(), order.model.as_str());
    let body = json!({ "fence": order.fence.0, "action": action, "model": model }).to_string();
    let call = gateway
        .control
        .call::<IgnoredAny>(address, Method::POST, "/orders", body.into());
    let sent = call.await;
    let result = match &sent {
        Ok(_) => "accepted",
        Err(JsonError::Status(CONFLICT)) => "old fencing number",
        Err(_) => "failed",
    };
    info!("ordered", kv: { endpoint, action = action.as_str(), model, fence = order.fence.0, result });
    if sent.is_err() {
        gateway.core.post(|gate, _| gate.on_order_rejected());
    }
    !matches!(sent, Err(JsonError::Status(CONFLICT)))
}
