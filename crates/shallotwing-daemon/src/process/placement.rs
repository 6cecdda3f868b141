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
const LEASE_TTL: Millis = Millis(10_000);
/// Last part of the lease, in which no order is sent; longer than an order can take to arrive.
const MARGIN: Millis = Millis(3_000);
const RENEW_AFTER: Millis = Millis(3_000);
const KEY_PREFIX: &str = "shallotwing/place/";
const CONFLICT: u16 = 409;

/// The lease on giving orders, held by this VM.
struct HeldLease {
    lease: Lease,
    term: LeaseTerm,
    renewed_at: Time,
}

/// Sends orders while this VM holds the domain's lease.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut ticks = gateway.timers.subscribe(PERIOD);
    let mut held = None;
    loop {
        ticks.tick().await;
        held = maintain(&gateway, held).await;
        if let Some(current) = &held
            && !send_next_order(&gateway, current.term).await
        {
            release(&gateway, held.take()).await;
        }
    }
}

/// Acquires, renews or releases the lease.
///
/// Only the chosen VM of the domain tries to acquire it, but any holder renews it, so the return of the chosen VM does
/// not move the lease.
async fn maintain(gateway: &Gateway, held: Option<HeldLease>) -> Option<HeldLease> {
    let step = |gate: &mut sw_gate::Gate, now| {
        let may_hold = gate.has_ordered_endpoints() && !gate.members().local().leaving;
        (may_hold, gate.is_chosen("place", 1, now))
    };
    match (gateway.gate.run(step).await, held) {
        (Ok((true, _)), Some(held)) => renew(gateway, held).await,
        (Ok((true, true)), None) => acquire(gateway).await,
        (Ok((true, false)), None) => None,
        (_, held) => {
            release(gateway, held).await;
            None
        }
    }
}

async fn acquire(gateway: &Gateway) -> Option<HeldLease> {
    let requested_at = gateway.timers.clock().now();
    let settings = &gateway.settings;
    let key = format!("{KEY_PREFIX}{}", settings.domain);
    let owner = format!("{}~{}", settings.vm, gateway.incarnation);
    let lease = acquire_lease(&gateway.store, &key, &owner, LEASE_TTL).await.ok()??;
    info!("holds the lease for orders", kv: { domain = settings.domain.as_str(), fence = lease.fence.0 });
    let term = LeaseTerm::new(lease.fence, requested_at, LEASE_TTL, MARGIN);
    Some(HeldLease {
        lease,
        term,
        renewed_at: requested_at,
    })
}

async fn renew(gateway: &Gateway, mut held: HeldLease) -> Option<HeldLease> {
    let requested_at = gateway.timers.clock().now();
    if held.term.is_expired(requested_at) {
        return None;
    }
    if requested_at.since(held.renewed_at) >= RENEW_AFTER {
        match gateway.store.keep_alive(held.lease.id).await {
            Ok(true) => {
                held.term.on_renewed(requested_at, LEASE_TTL);
                held.renewed_at = requested_at;
            }
            Ok(false) => return None,
            // The renewal can be retried until the lease expires by this VM's clock.
            Err(_no_response) => {}
        }
    }
    Some(held)
}

async fn release(gateway: &Gateway, held: Option<HeldLease>) {
    if let Some(held) = held {
        // A lease that is not revoked expires by its TTL.
        let _revoked = gateway.store.revoke(held.lease.id).await;
    }
}

/// Sends the next order if one is due, and returns whether this VM may send further orders.
async fn send_next_order(gateway: &Gateway, term: LeaseTerm) -> bool {
    let step = move |gate: &mut sw_gate::Gate, now| gate.next_order(term.fence(now)?, now);
    let Ok(Some((order, address))) = gateway.gate.run(step).await else {
        return true;
    };
    send(gateway, term, &order, address).await
}

async fn send(gateway: &Gateway, term: LeaseTerm, order: &Order, address: SocketAddr) -> bool {
    if term.fence(gateway.timers.clock().now()).is_none() {
        return false;
    }
    let (action, endpoint, model) = (order.action.to_string(), order.endpoint.as_str(), order.model.as_str());
    let body = json!({ "fence": order.fence.0, "action": action, "model": model }).to_string();
    let call = gateway
        .client
        .call::<IgnoredAny>(address, Method::POST, "/orders", body.into());
    let sent = call.await;
    let result = match &sent {
        Ok(_) => "accepted",
        Err(JsonError::Status(CONFLICT)) => "old fencing number",
        Err(_) => "failed",
    };
    info!("ordered", kv: { endpoint, action = action.as_str(), model, fence = order.fence.0, result });
    if sent.is_err() {
        gateway.gate.post(|gate, _| gate.on_order_rejected());
    }
    !matches!(sent, Err(JsonError::Status(CONFLICT)))
}
