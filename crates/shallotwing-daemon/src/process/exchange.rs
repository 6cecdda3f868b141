//! Heartbeats to other VMs.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::join_all;
use spdlog::prelude::*;
use sw_member::VmRow;
use sw_unit::Millis;

use super::Gateway;

const PERIOD: Millis = Millis(1_000);

/// Sends heartbeats to the VMs that are due, once per period.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut ticks = gateway.timers.subscribe(PERIOD);
    loop {
        ticks.tick().await;
        let gateway = Arc::clone(&gateway);
        // An unresponsive VM must not delay the heartbeats to the others.
        tokio::spawn(async move { greet(&gateway, false).await });
    }
}

/// Sends heartbeats to all peers now, to announce a change, and waits for their responses.
pub(crate) async fn greet_all(gateway: &Gateway) {
    greet(gateway, true).await;
}

async fn greet(gateway: &Gateway, all: bool) {
    let seeds = gateway.settings.seeds.clone();
    let due = gateway.core.run(move |gate, now| {
        let unknown: Vec<_> = gate.members().unknown_seeds(&seeds).collect();
        (gate.heartbeat_targets(all, now), unknown)
    });
    let Ok((rows, unknown)) = due.await else {
        return;
    };
    let known = rows
        .into_iter()
        .map(|row| greet_one(gateway, row.peer_listen, Some(row)));
    let unknown = unknown.into_iter().map(|address| greet_one(gateway, address, None));
    join_all(known.chain(unknown)).await;
}

/// Sends a heartbeat to one VM; `row` is `None` if the VM is not a member yet.
pub(crate) async fn greet_one(gateway: &Gateway, address: SocketAddr, row: Option<VmRow>) {
    let to = row.clone();
    let heartbeat = gateway
        .core
        .run(move |gate, now| (gate.heartbeat(to.as_ref(), now), gate.leaving_revision()));
    let Ok((mut heartbeat, rev)) = heartbeat.await else {
        return;
    };
    heartbeat.store = gateway.store_seen();
    match gateway.peers.send_heartbeat(address, heartbeat).await {
        Ok(reply) => {
            gateway.learn_store(reply.store);
            gateway.core.post(move |gate, now| {
                let by = gate.on_heartbeat(reply, now);
                if let (Some(by), true) = (by, row.is_some()) {
                    gate.on_heartbeat_acknowledged(&by, rev);
                }
            });
        }
        Err(_no_response) => {
            debug!("no response to a heartbeat", kv: { address = address.to_string().as_str() });
            if let Some(row) = row {
                gateway.core.post(move |gate, _| gate.on_heartbeat_unanswered(&row));
            }
        }
    }
}
