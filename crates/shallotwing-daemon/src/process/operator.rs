//! HTTP API for operators.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use sw_gate::Gate;
use sw_http::{ResponseBody, json_response};
use sw_member::VmState;
use sw_unit::Time;
use tokio::net::{TcpListener, TcpStream};

use super::Gateway;

/// Serves the operators' HTTP API.
pub(crate) async fn run(listener: TcpListener, gateway: Arc<Gateway>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, Arc::clone(&gateway)));
    }
}

async fn serve(stream: TcpStream, gateway: Arc<Gateway>) {
    if sw_http::enable_caller_keepalive(&stream).is_err() {
        return;
    }
    let service = service_fn(|req| {
        let gateway = Arc::clone(&gateway);
        async move { Ok::<_, Infallible>(handle(&gateway, &req).await) }
    });
    // A broken connection concerns only its own operator.
    let _ended = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn handle(gateway: &Gateway, req: &Request<Incoming>) -> Response<ResponseBody> {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/livez") => json_response(200, &json!({ "live": true })),
        (&Method::GET, "/readyz") => {
            let step = |gate: &mut Gate, _: Time| gate.version().is_some() && !gate.members().local().leaving;
            let ready = gateway.gate.run(step).await == Ok(true);
            json_response(if ready { 200 } else { 503 }, &json!({ "ready": ready }))
        }
        (&Method::GET, "/metrics") => Response::new(ResponseBody::from(Bytes::from(gateway.metrics.render()))),
        (&Method::GET, "/status") => {
            let status = gateway.gate.run(|gate, now| status(gate, now)).await;
            let mut status = status.unwrap_or_default();
            let observation = gateway.store_observation();
            status["store"] = json!({ "revision": observation.revision, "distrust_ms": observation.quarantine.0 });
            json_response(200, &status)
        }
        (&Method::POST, "/drain") => {
            gateway.drain.send_replace(true);
            json_response(202, &json!({ "draining": true }))
        }
        _ => json_response(
            404,
            &json!({ "error": "allowed are /livez, /readyz, /metrics, /status and POST /drain" }),
        ),
    }
}

fn status(gate: &Gate, now: Time) -> Value {
    let local = gate.members().local();
    let members = gate.members().peers().map(|row| {
        let state = match gate.members().state(&row.vm, now) {
            Some(VmState::Live) => "live",
            Some(VmState::Leaving) => "leaving",
            Some(VmState::Suspect) | None => "suspect",
        };
        json!({ "vm": row.vm.as_str(), "domain": row.domain.as_str(), "state": state, "version": row.version.0 })
    });
    let endpoints = gate.endpoint_status(now).into_iter().map(|endpoint| {
        json!({
            "endpoint": endpoint.id.as_str(),
            "load": endpoint.load,
            "slots": endpoint.slots,
            "reported": endpoint.has_fresh_report,
            "paused": endpoint.in_backoff,
            "leaving": endpoint.leaving,
        })
    });
    let domains = gate.domain_status(now).into_iter();
    let domains = domains.map(|(domain, models)| json!({ "domain": domain.as_str(), "models": models }));
    json!({
        "vm": local.vm.as_str(),
        "domain": local.domain.as_str(),
        "region": local.region.as_str(),
        "incarnation": local.incarnation.0,
        "leaving": local.leaving,
        "version": local.version.0,
        "digest": gate.version().map(|version| version.digest.to_string()),
        "members": members.collect::<Vec<_>>(),
        "domains": domains.collect::<Vec<_>>(),
        "endpoints": endpoints.collect::<Vec<_>>(),
        "records": gate.record_count(),
    })
}
