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
        tokio::spawn(async move { send(&gateway, false).await });
    }
}

/// Sends heartbeats to all peers now, to announce a change, and waits for their responses.
pub(crate) async fn send_to_all(gateway: &Gateway) {
    send(gateway, true).await;
}

async fn send(gateway: &Gateway, all: bool) {
    let seeds = gateway.settings.seeds.clone();
    let due = gateway.gate.run(move |gate, now| {
        let unknown: Vec<_> = gate.members().unknown_seeds(&seeds).collect();
        (gate.heartbeat_targets(all, now), unknown)
    });
    let Ok((rows, unknown)) = due.await else {
        return;
    };
    let known = rows.into_iter().map(|row| send_to(gateway, row.peer_listen, Some(row)));
    let unknown = unknown.into_iter().map(|address| send_to(gateway, address, None));
    join_all(known.chain(unknown)).await;
}

/// Sends a heartbeat to one VM; `row` is `None` if the VM is not a member yet.
pub(crate) async fn send_to(gateway: &Gateway, address: SocketAddr, row: Option<VmRow>) {
    let to = row.clone();
    let heartbeat = gateway
        .gate
        .run(move |gate, now| (gate.heartbeat(to.as_ref(), now), gate.leaving_revision()));
    let Ok((mut heartbeat, revision)) = heartbeat.await else {
        return;
    };
    heartbeat.store = gateway.store_observation();
    match gateway.peers.send_heartbeat(address, heartbeat).await {
        Ok(reply) => {
            gateway.on_store_observation(reply.store);
            gateway.gate.post(move |gate, now| {
                let peer = gate.on_heartbeat(reply, now);
                if let (Some(peer), true) = (peer, row.is_some()) {
                    gate.on_heartbeat_acknowledged(&peer, revision);
                }
            });
        }
        Err(_no_response) => {
            debug!("no response to a heartbeat", kv: { address = address.to_string().as_str() });
            if let Some(row) = row {
                gateway.gate.post(move |gate, _| gate.on_heartbeat_unanswered(&row));
            }
        }
    }
}
