//! Attempts at endpoints of the local domain.

use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut as _, Bytes, BytesMut};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, Response};
use sw_conf::{Endpoint, EndpointKind};
use sw_error::{Kind, Refusal};
use sw_gate::RoutingDecision;
use sw_http::{CallError, Exchange, REQUEST_ID_HEADER, Reuse, read_body};
use sw_once::SavedResponse;
use sw_route::Target;
use sw_unit::{EndpointId, Millis};

use super::attempt::{self, AttemptError, InFlight};
use super::buffered::{BufferedRequest, Reply};
use super::stream;
use crate::process::Gateway;

/// Maximum size of a response that is buffered, in bytes.
const MAX_RESPONSE_BYTES: u64 = 8 << 20;
/// Minimum timeout for the first byte of a response, unless the deadline is earlier.
const MIN_FIRST_BYTE_TIMEOUT: Millis = Millis(3_000);
/// The timeout for the first byte is this many times the expected time to completion.
const FIRST_BYTE_TIMEOUT_FACTOR: u64 = 4;
const EVENT_STREAM: &str = "text/event-stream";
const VM_HEADER: &str = "shallotwing-vm";
const DEADLINE_HEADER: &str = "shallotwing-deadline-ms";
/// Asks an engine to resume the response to a request that it knows, after this many events.
const RESUME_HEADER: &str = "shallotwing-resume-offset";

/// A response whose headers have arrived.
#[derive(Debug)]
pub(crate) struct OpenResponse {
    pub(crate) response: Response<Incoming>,
    pub(crate) exchange: Exchange,
    pub(crate) in_flight: InFlight,
}

/// Sends a request to the chosen endpoint.
pub(crate) async fn attempt(
    gateway: &Arc<Gateway>,
    request: &Arc<BufferedRequest>,
    decision: &RoutingDecision,
) -> Result<Reply, AttemptError> {
    let open = open(gateway, request, decision, 0).await?;
    let content_type = content_type(&open.response);
    let is_stream = content_type.starts_with(EVENT_STREAM);
    if is_stream && request.admitted.idempotent {
        let status = open.response.status().as_u16();
        let body = stream::relay(Arc::clone(gateway), Arc::clone(request), decision.clone(), open);
        return Ok(Reply::Stream {
            status,
            content_type,
            body,
        });
    }
    let OpenResponse {
        response,
        exchange,
        in_flight,
    } = open;
    let status = response.status().as_u16();
    let timeout = Duration::from_millis(attempt::remaining(gateway, request).0);
    let body = read_body(response.into_body(), MAX_RESPONSE_BYTES, timeout).await;
    let body = body.map_err(|_incomplete| AttemptError::after_dispatch(Kind::OutcomeUnknown))?;
    if is_stream && !stream::is_complete(&request.call.id, &body) {
        return Err(AttemptError::after_dispatch(Kind::OutcomeUnknown));
    }
    in_flight.complete();
    // Further requests of a service that must not run twice open new connections; kept ones would only take descriptors.
    if request.admitted.idempotent {
        exchange.give_back();
    }
    Ok(Reply::Complete(SavedResponse {
        status,
        content_type,
        body,
    }))
}

/// Connects to the chosen endpoint, dispatches the request and waits for the response headers.
///
/// An `offset` above zero asks for the rest of a response of which that many events were received.
pub(crate) async fn open(
    gateway: &Gateway,
    request: &Arc<BufferedRequest>,
    decision: &RoutingDecision,
    offset: u64,
) -> Result<OpenResponse, AttemptError> {
    let Target::Endpoint(id) = &decision.candidate.target else {
        return Err(AttemptError::NotRun(Kind::NoEndpoint.into()));
    };
    let fleet = &request.admitted.version.fleet;
    let endpoint = fleet
        .endpoints
        .get(id)
        .ok_or(AttemptError::NotRun(Kind::NoEndpoint.into()))?;
    let reuse = if request.admitted.idempotent && offset == 0 {
        Reuse::Allowed
    } else {
        Reuse::Never
    };
    let mut exchange = connect(gateway, id, endpoint, reuse).await?;
    let req = build_request(gateway, request, endpoint, offset).ok_or(AttemptError::NotRun(Kind::BadRequest.into()))?;
    let in_flight = attempt::dispatch(gateway, request, decision).await?;
    let timeout = Duration::from_millis(first_byte_timeout(gateway, request, decision).0);
    let response = exchange
        .send(req, timeout)
        .await
        .map_err(|error| attempt_error(request, error))?;
    let echoed = response
        .headers()
        .get(REQUEST_ID_HEADER)
        .map(|id| id.as_bytes() == request.call.id.as_bytes());
    if echoed == Some(false) {
        return Err(AttemptError::after_dispatch(Kind::OutcomeUnknown));
    }
    Ok(OpenResponse {
        response,
        exchange,
        in_flight,
    })
}

async fn connect(
    gateway: &Gateway,
    id: &EndpointId,
    endpoint: &Endpoint,
    reuse: Reuse,
) -> Result<Exchange, AttemptError> {
    gateway
        .connector
        .connect(endpoint.address, reuse)
        .await
        .map_err(|_unreachable| {
            let id = id.clone();
            gateway
                .gate
                .post(move |gate, now| gate.on_endpoint_unreachable(&id, now));
            AttemptError::NotRun(Refusal::new(Kind::EndpointUnreachable))
        })
}

fn attempt_error(request: &BufferedRequest, error: CallError) -> AttemptError {
    match error {
        CallError::Connect | CallError::Unsent => AttemptError::NotRun(Kind::EndpointUnreachable.into()),
        CallError::Broken | CallError::Timeout if request.admitted.idempotent => {
            AttemptError::after_dispatch(Kind::AnswerIncomplete)
        }
        CallError::Broken | CallError::Timeout => AttemptError::after_dispatch(Kind::OutcomeUnknown),
    }
}

/// Returns the timeout for the first byte of the response.
pub(crate) fn first_byte_timeout(gateway: &Gateway, request: &BufferedRequest, decision: &RoutingDecision) -> Millis {
    let remaining = attempt::remaining(gateway, request);
    if !request.admitted.idempotent {
        return remaining;
    }
    // A response that is not streamed begins only when it is complete.
    let expected = Millis(decision.candidate.completion.0 * FIRST_BYTE_TIMEOUT_FACTOR);
    remaining.min(expected.max(MIN_FIRST_BYTE_TIMEOUT))
}

fn build_request(
    gateway: &Gateway,
    request: &BufferedRequest,
    endpoint: &Endpoint,
    offset: u64,
) -> Option<Request<Full<Bytes>>> {
    let call = &request.call;
    let mut builder = Request::builder()
        .method(call.method.as_str())
        .uri(call.path.as_str())
        .header(HOST, endpoint.address.to_string())
        .header(CONTENT_TYPE, call.content_type.as_str())
        .header(REQUEST_ID_HEADER, call.id.as_str())
        .header(VM_HEADER, gateway.settings.vm.as_str())
        .header(DEADLINE_HEADER, attempt::remaining(gateway, request).to_string());
    if offset > 0 {
        builder = builder.header(RESUME_HEADER, offset.to_string());
    }
    builder.body(Full::new(body(request, endpoint))).ok()
}

/// Returns the body, with the endpoint's model inserted if the caller named none.
fn body(request: &BufferedRequest, endpoint: &Endpoint) -> Bytes {
    let body = &request.call.body;
    let allowed = &request.admitted.route().models;
    let model = endpoint.models.iter().find(|model| allowed.contains(*model));
    let (Some(model), None, EndpointKind::Engine) = (model, &request.call.model, endpoint.kind) else {
        return body.clone();
    };
    let Some(start) = body.iter().position(|byte| *byte == b'{') else {
        return body.clone();
    };
    let rest = body[start + 1..].trim_ascii_start();
    let comma = if rest.starts_with(b"}") { "" } else { "," };
    let mut with_model = BytesMut::with_capacity(body.len() + 80);
    with_model.put_slice(format!("{{\"model\":\"{model}\"{comma}").as_bytes());
    with_model.put_slice(rest);
    with_model.freeze()
}

fn content_type(response: &Response<Incoming>) -> String {
    let value = response
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or("application/octet-stream").to_owned()
}
