//! Load reports of endpoints.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::join_all;
use sw_engine::LoadReport;
use sw_http::{CallError, JsonError};
use sw_load::Report;
use sw_unit::{EndpointId, Incarnation, Millis};

use super::Gateway;

const PERIOD: Millis = Millis(1_000);

/// Polls the endpoints that fall to this VM each second.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut ticks = gateway.timers.subscribe(PERIOD);
    loop {
        ticks.tick().await;
        let gateway = Arc::clone(&gateway);
        tokio::spawn(async move {
            let Ok(endpoints) = gateway.core.run(|gate, now| gate.polls(now)).await else {
                return;
            };
            join_all(endpoints.into_iter().map(|(id, address)| poll(&gateway, id, address))).await;
        });
    }
}

async fn poll(gateway: &Gateway, endpoint: EndpointId, address: SocketAddr) {
    match gateway.control.get::<LoadReport>(address, "/load").await {
        Ok(report) => {
            let report = Report {
                endpoint,
                incarnation: Incarnation(report.incarnation),
                running: report.running,
                queued: report.queued,
                leaving: report.leaving,
                age: Millis(report.age_ms),
            };
            gateway.core.post(move |gate, now| gate.polled(report, now));
        }
        Err(JsonError::Call(CallError::Connect)) => {
            gateway.core.post(move |gate, now| gate.unreachable(&endpoint, now));
        }
        // A report that is late or refused says nothing about requests.
        Err(_no_report) => {}
    }
}
