//! The platform's directory of entry VMs for callers, and its list of VMs.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::Method;
use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::json;
use sw_member::EndpointIncarnation;
use sw_unit::{EndpointId, Incarnation, Millis};

use super::{Gateway, heartbeats};

const PERIOD: Millis = Millis(3_000);

#[derive(Debug, Deserialize)]
struct VmList {
    vms: Vec<ListedVm>,
    leaving_endpoints: Vec<ListedEndpoint>,
}

#[derive(Debug, Deserialize)]
struct ListedVm {
    peer_listen: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct ListedEndpoint {
    endpoint: EndpointId,
    incarnation: u64,
}

/// Periodically registers this VM in the directory and reads the list of VMs.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut ticks = gateway.timers.subscribe(PERIOD);
    loop {
        ticks.tick().await;
        register(&gateway).await;
        read_list(&gateway).await;
    }
}

/// Removes this VM from the directory.
pub(crate) async fn leave(gateway: &Gateway) {
    if let Some(address) = gateway.settings.platform.directory {
        let path = format!("/entries/{}", gateway.settings.vm);
        // If the directory is unavailable, the entry expires by its TTL.
        let _removed = gateway
            .client
            .call::<IgnoredAny>(address, Method::DELETE, &path, Bytes::new())
            .await;
    }
}

async fn register(gateway: &Gateway) {
    let settings = &gateway.settings;
    let Some(address) = settings.platform.directory else {
        return;
    };
    let ready = gateway
        .gate
        .run(|gate, _| gate.version().is_some() && !gate.members().local().leaving)
        .await;
    if ready != Ok(true) {
        return;
    }
    let path = format!("/entries/{}", settings.vm);
    let entry =
        json!({ "address": settings.listen.to_string(), "region": settings.region.as_str(), "ttl_ms": 3 * PERIOD.0 });
    // Retried on the next tick.
    let _registered = gateway
        .client
        .call::<IgnoredAny>(address, Method::PUT, &path, Bytes::from(entry.to_string()))
        .await;
}

async fn read_list(gateway: &Gateway) {
    let Some(address) = gateway.settings.platform.vm_list else {
        return;
    };
    let Ok(list) = gateway.client.get::<VmList>(address, "/vms").await else {
        return;
    };
    for listed in list.leaving_endpoints {
        let incarnation = EndpointIncarnation {
            endpoint: listed.endpoint,
            incarnation: Incarnation(listed.incarnation),
        };
        if gateway
            .gate
            .run(move |gate, _| gate.on_endpoint_leaving(&incarnation))
            .await
            == Ok(true)
        {
            heartbeats::send_to_all(gateway).await;
        }
    }
    let addresses: Vec<_> = list.vms.into_iter().map(|vm| vm.peer_listen).collect();
    let unknown = gateway
        .gate
        .run(move |gate, _| gate.members().unknown_seeds(&addresses).collect::<Vec<_>>())
        .await;
    for address in unknown.unwrap_or_default() {
        heartbeats::send_to(gateway, address, None).await;
    }
}
