//! Polling of endpoints for load reports and cache events.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures::future::join_all;
use sw_conf::EndpointKind;
use sw_engine::{CacheEvents, LoadReport};
use sw_http::{CallError, JsonError};
use sw_load::Report;
use sw_unit::{EndpointId, Incarnation, Millis};

use super::{Gateway, heartbeats};

const PERIOD: Millis = Millis(1_000);
/// Number of load polls per poll of cache events.
const CACHE_PERIODS: u64 = 3;

/// Number of the next cache event to read from each engine.
type Cursors = Arc<Mutex<HashMap<EndpointId, u64>>>;

/// Polls the endpoints that are assigned to this VM, once per period.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut ticks = gateway.timers.subscribe(PERIOD);
    let cursors = Cursors::default();
    for round in 0_u64.. {
        ticks.tick().await;
        let with_cache = round.is_multiple_of(CACHE_PERIODS);
        let (gateway, cursors) = (Arc::clone(&gateway), Arc::clone(&cursors));
        tokio::spawn(async move {
            let Ok(endpoints) = gateway.gate.run(|gate, now| gate.endpoints_to_poll(now)).await else {
                return;
            };
            let polls = endpoints.into_iter().map(async |(id, address, kind)| {
                poll_load(&gateway, id.clone(), address).await;
                if with_cache && kind == EndpointKind::Engine {
                    poll_cache(&gateway, &cursors, id, address).await;
                }
            });
            join_all(polls).await;
        });
    }
}

async fn poll_load(gateway: &Gateway, endpoint: EndpointId, address: SocketAddr) {
    match gateway.client.get::<LoadReport>(address, "/load").await {
        Ok(report) => {
            let report = Report {
                endpoint,
                incarnation: Incarnation(report.incarnation),
                running: report.running,
                queued: report.queued,
                leaving: report.leaving,
                age: Millis(report.age_ms),
                loaded: report
                    .loaded
                    .map(|models| models.iter().filter_map(|model| model.parse().ok()).collect()),
            };
            if gateway
                .gate
                .run(move |gate, now| gate.on_polled_report(report, now))
                .await
                == Ok(true)
            {
                heartbeats::send_to_all(gateway).await;
            }
        }
        Err(JsonError::Call(CallError::Connect)) => {
            gateway
                .gate
                .post(move |gate, now| gate.on_endpoint_unreachable(&endpoint, now));
        }
        // A late or failed report does not show that the endpoint fails requests.
        Err(_no_report) => {}
    }
}

/// Reads which cache blocks an engine has evicted. A missed event only makes a routing hint wrong.
async fn poll_cache(gateway: &Gateway, cursors: &Cursors, endpoint: EndpointId, address: SocketAddr) {
    let since = lock(cursors).get(&endpoint).copied().unwrap_or_default();
    let path = format!("/cache/events?since={since}");
    if let Ok(events) = gateway.client.get::<CacheEvents>(address, &path).await {
        lock(cursors).insert(endpoint.clone(), events.next);
        gateway
            .gate
            .post(move |gate, _| gate.on_blocks_evicted(&endpoint, &events.evicted));
    }
}

fn lock(cursors: &Cursors) -> MutexGuard<'_, HashMap<EndpointId, u64>> {
    cursors.lock().unwrap_or_else(PoisonError::into_inner)
}
