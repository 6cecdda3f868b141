//! Handles one request: admission, routing and retries.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response, Uri};
use sw_error::{Kind, Refusal};
use sw_http::{HeldBodyError, ReadBodyError, ResponseBody, ResponseWindow, read_held_body};
use sw_limit::{Connection, Limit};
use sw_relay::{AdmittedRequest, AttemptHistory, AttemptOutcome, Choice, EndpointEntry, RequestHead};
use sw_store::Feed;
use sw_unit::{Millis, Time};

use crate::active::{ActiveRequest, ResponseSource};
use crate::attempt::{self, BufferedRequest};
use crate::incoming::IncomingResponse;
use crate::reservation::{ReservationGuard, reserve};
use crate::response::{refusal_response, strip_hop_headers};
use crate::state::ProxyState;
use crate::{Dialect, HeadError, drain, forward, health, heartbeat, quota, resumption, stream, telemetry};

/// Maximum body length in bytes of a response that is buffered before its head is sent to the caller. A buffered
/// response that breaks off can still be retried.
const MAX_BUFFERED_RESPONSE: u64 = 64 << 10;

/// Response to a caller.
pub(crate) type HttpResponse = Response<ResponseBody>;

/// Serves a request of a caller.
pub(crate) async fn serve<D: Dialect, F: Feed>(state: Rc<ProxyState<D, F>>, req: Request<Incoming>) -> HttpResponse {
    let received = state.now();
    let active = state.active.begin(received);
    let (mut parts, body) = req.into_parts();
    let connection = parts.extensions.remove::<Connection>();
    let connection = connection.expect("the listener adds the connection to each request");
    let head = state.dialect.request_head(&parts);
    let id = head
        .as_ref()
        .map_or_else(|_| Arc::from(""), |head| Arc::clone(&head.id));
    match handle(&state, &active, &connection, parts, head, body, received).await {
        Ok(response) => response,
        Err((refusal, route)) => {
            telemetry::log_refusal(&state, &id, &route, refusal, state.now().since(received));
            refusal_response(&state.dialect, refusal)
        }
    }
}

async fn handle<D: Dialect, F: Feed>(
    state: &Rc<ProxyState<D, F>>,
    active: &ActiveRequest,
    connection: &Connection,
    parts: Parts,
    head: Result<RequestHead, HeadError>,
    body: Incoming,
    received: Time,
) -> Result<HttpResponse, (Refusal, String)> {
    let without_route = |refusal: Refusal| (refusal, String::new());
    let head = head.map_err(|_malformed| without_route(Kind::BadRequest.into()))?;
    if !state.startup.is_over() {
        return Err(without_route(Kind::NoConfiguration.into()));
    }
    let (resumption, credential) = (head.resumption.clone(), head.credential);
    let admission = state.relay.borrow_mut().admit(head, received, false);
    let mut admitted = admission.map_err(|refusal| {
        telemetry::count_key_refusal(credential, refusal);
        without_route(refusal)
    })?;
    active.on_admitted(&admitted);
    let route = admitted.route.name.clone();
    let response = async {
        drain::check(state, &admitted)?;
        let mut charge = quota::take(state, &admitted).await?;
        if let Some(resumption) = &resumption {
            resumption::pin(state, &mut admitted, resumption).await?;
        }
        let body = tokio::select! {
            biased;
            body = read_request_body(state, &admitted, connection, body) => body?,
            late = drain::wait_late(state, &admitted) => return Err(late),
        };
        drain::check(state, &admitted)?;
        resumption::place(state, &mut admitted);
        let unlimited = drain::limit(state, &mut admitted);
        let headers = end_to_end_headers(&state.dialect, &admitted, parts.headers);
        let mut request = BufferedRequest {
            admitted,
            active: active.clone(),
            method: parts.method,
            target: origin_form(&parts.uri),
            headers,
            body,
            window: ResponseWindow::new(&connection.payer(), state.clock),
            last_event_id: None,
            forwarder_can_retry: false,
        };
        request.record_content(&state.dialect);
        if let Some(charge) = &mut charge {
            charge.on_sending();
        }
        let response = send_with_retries(state, request).await;
        if let (Err(refusal), Some(charge)) = (&response, &mut charge) {
            charge.on_refused(*refusal);
        }
        response.map_err(|refusal| match &unlimited {
            Some(unlimited) => drain::refusal(state, unlimited, refusal),
            None => refusal,
        })
    };
    response.await.map_err(|refusal| (refusal, route))
}

/// Sends a request until an attempt succeeds or no retry is possible.
///
/// # Errors
///
/// Returns the refusal for the caller. Its kind states that the request was not run only if no attempt can have run it.
pub(crate) async fn send_with_retries<D: Dialect, F: Feed>(
    state: &Rc<ProxyState<D, F>>,
    mut request: BufferedRequest,
) -> Result<HttpResponse, Refusal> {
    let mut history = AttemptHistory::default();
    // The last 5xx response of an endpoint is returned if no retry succeeds.
    let mut failure: Option<HttpResponse> = None;
    loop {
        let now = state.now();
        if request.admitted.remaining(now) == Millis(0) {
            return failure.ok_or_else(|| history.final_refusal(None));
        }
        let choice = state.relay.borrow_mut().choose(&request.admitted, &history, now);
        let choice = match choice {
            Ok(choice) => choice,
            Err(refusal) if resumption::unplace(state, &mut request.admitted, refusal.kind) => {
                telemetry::log_unplaced(&request.admitted, refusal);
                continue;
            }
            Err(refusal) if refusal.kind == Kind::NoEndpoint && health::wait_answer(state, &request.admitted).await => {
                continue;
            }
            Err(refusal) => {
                if matches!(refusal.kind, Kind::QuarantinedPrompt | Kind::QuarantinedRequest) {
                    telemetry::log_quarantined(state, &request.admitted);
                }
                telemetry::log_without_room(state, &request.admitted);
                telemetry::count_key_refusal(request.admitted.credential.unwrap_or_default(), refusal);
                telemetry::log_refused_after_declines(&request.admitted, &history, refusal);
                return failure.ok_or_else(|| history.final_refusal(Some(refusal)));
            }
        };
        telemetry::log_choice(state, &request.admitted, &choice);
        let sent = tokio::select! {
            biased;
            sent = send_attempt(state, &request, &choice, &mut history) => sent,
            () = drain::wait_last_answers(state) => {
                return failure.ok_or_else(|| Kind::EndpointTimeout.into());
            }
        };
        match sent {
            Ok(response) if response.status().is_server_error() && request.admitted.route.kind.is_repeatable() => {
                failure = Some(response);
            }
            Ok(response) => return Ok(response),
            Err(_ended) => {}
        }
        if !state.relay.borrow_mut().withdraw_retry(&request.admitted, &history) {
            return failure.ok_or_else(|| history.final_refusal(None));
        }
    }
}

/// Sends a request to the target of `choice` and waits for the head of the response.
///
/// # Errors
///
/// Returns the outcome of the failed attempt.
pub(crate) async fn start_attempt<D: Dialect, F: 'static>(
    state: &Rc<ProxyState<D, F>>,
    request: &BufferedRequest,
    choice: &Choice,
    history: &mut AttemptHistory,
) -> Result<IncomingResponse<D, F>, AttemptOutcome> {
    match choice {
        Choice::Endpoint {
            endpoint, coordinator, ..
        } => {
            let reservation = match coordinator {
                Some(coordinator) => Some(reserve(state, request, coordinator, history).await?),
                None => None,
            };
            telemetry::log_served_after_others(&request.admitted, history, state.now());
            start_endpoint_attempt(state, request, endpoint, reservation, history).await
        }
        Choice::Vm {
            region,
            vm,
            address,
            expected_ms,
            ..
        } => {
            let can_retry_elsewhere = request.can_retry_elsewhere(history);
            request.active.on_sent(ResponseSource::Vm(vm.clone()), state.now());
            let response = forward::send(state, request, region, *address, *expected_ms, can_retry_elsewhere).await;
            match &response {
                Err(forward::ForwardError::Refused(refused)) => {
                    let refusal = refused.refusal;
                    telemetry::log_forward_refused(&request.admitted, vm, region, *refused);
                    heartbeat::on_forward_refused(state, vm, *refused);
                    history.record_vm_refusal(vm, region, refusal);
                    // In another region, its VMs may all have no endpoint for the moment.
                    let is_neighbour = *region == state.options().region;
                    if is_neighbour && refusal.kind == Kind::NoEndpoint {
                        let (mut relay, now) = (state.relay.borrow_mut(), state.now());
                        relay.on_forward_without_endpoint(vm, &request.admitted.service, now);
                    }
                }
                _ => history.record_vm(vm, 1, response.as_ref().err().map(forward::ForwardError::outcome)),
            }
            record_response(state, request, response.map_err(|failure| failure.outcome()))
        }
    }
}

/// Sends a request to an endpoint, with an optional reservation in its queue, and waits for the head of the response.
///
/// # Errors
///
/// Returns the outcome of the failed attempt.
pub(crate) async fn start_endpoint_attempt<D: Dialect, F: 'static>(
    state: &Rc<ProxyState<D, F>>,
    request: &BufferedRequest,
    endpoint: &EndpointEntry,
    reservation: Option<ReservationGuard<D, F>>,
    history: &mut AttemptHistory,
) -> Result<IncomingResponse<D, F>, AttemptOutcome> {
    request
        .active
        .on_sent(ResponseSource::Endpoint(endpoint.id.clone()), state.now());
    let response = attempt::send(state, request, endpoint, reservation, history).await;
    history.record_endpoint(&endpoint.id, response.as_ref().err().copied());
    record_response(state, request, response)
}

fn record_response<D: Dialect, F: 'static>(
    state: &ProxyState<D, F>,
    request: &BufferedRequest,
    response: Result<IncomingResponse<D, F>, AttemptOutcome>,
) -> Result<IncomingResponse<D, F>, AttemptOutcome> {
    if let Ok(response) = &response {
        request.active.on_head(state.now());
        let age = state.now().since(request.admitted.received_at);
        telemetry::record_response(&request.admitted, response.head.status().as_u16(), age);
    }
    response
}

async fn send_attempt<D: Dialect, F: Feed>(
    state: &Rc<ProxyState<D, F>>,
    request: &BufferedRequest,
    choice: &Choice,
    history: &mut AttemptHistory,
) -> Result<HttpResponse, AttemptOutcome> {
    let mut response = start_attempt(state, request, choice, history).await?;
    let remaining = || Duration::from_millis(request.admitted.remaining(state.now()).0);
    let is_streaming = request.admitted.route.kind.is_streaming();
    if !is_streaming {
        response = response.wait_for_body(remaining()).await?;
    }
    let is_buffered = !is_streaming && response.body_len().is_some_and(|len| len <= MAX_BUFFERED_RESPONSE);
    if !is_buffered {
        return Ok(stream::relay_response(
            state,
            request.clone(),
            response,
            history.clone(),
        ));
    }
    let response = response.read_body(remaining()).await?;
    Ok(response.map(ResponseBody::from))
}

async fn read_request_body<D: Dialect, F>(
    state: &ProxyState<D, F>,
    admitted: &AdmittedRequest,
    connection: &Connection,
    body: Incoming,
) -> Result<Bytes, Refusal> {
    let limit = state.relay.borrow().table().map_or(0, |table| table.limits.max_body.0);
    let stated = body.size_hint().lower();
    // More than the account of the caller ever permits is refused before any of it is read.
    if stated <= limit && stated > state.options().callers.memory_per_address.0 {
        return Err(Kind::Overloaded.into());
    }
    let remaining = Duration::from_millis(admitted.remaining(state.now()).0);
    let body = read_held_body(body, limit, remaining, connection, &state.clock).await;
    body.map_err(|error| match error {
        HeldBodyError::Read(ReadBodyError::TooLarge) => Kind::BodyTooLarge.into(),
        HeldBodyError::Read(ReadBodyError::Broken) => Kind::BadRequest.into(),
        HeldBodyError::Read(ReadBodyError::Timeout) | HeldBodyError::Refused(Limit::BodyIdle) => {
            Kind::ClientTimeout.into()
        }
        HeldBodyError::Refused(_) => Kind::Overloaded.into(),
    })
}

/// Returns the origin form of a request target: path and query.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}

/// Returns the headers that are sent on.
///
/// A VM that the request is forwarded to judges the key, so all that the caller presents stays where the configuration has keys,
/// even if the caller names its header as one of the connection. No endpoint gets it.
fn end_to_end_headers(dialect: &impl Dialect, admitted: &AdmittedRequest, mut headers: HeaderMap) -> HeaderMap {
    let name = dialect.credential_header();
    let presented: Vec<_> = headers.get_all(&name).iter().cloned().collect();
    strip_hop_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    if admitted.credential.is_some() && !headers.contains_key(&name) {
        headers.extend(presented.into_iter().map(|value| (name.clone(), value)));
    }
    headers
}
