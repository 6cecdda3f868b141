//! One attempt at an endpoint, up to the head of its response.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, Response, Uri};
use sw_http::{CallError, Exchange, ResponseWindow, Reuse};
use sw_relay::{AdmittedRequest, Attempt, AttemptHistory, AttemptOutcome, EndpointEntry, RequestContent};
use sw_time::BootClock;
use sw_unit::{Millis, Time};

use crate::active::ActiveRequest;
use crate::incoming::{BodySource, EndpointResponse, IncomingResponse};
use crate::paths::Awaited;
use crate::reservation::ReservationGuard;
use crate::response::strip_hop_headers;
use crate::state::ProxyState;
use crate::{AttemptHeaders, Dialect, Rejection, ResponseHead, connections, crash, paths, telemetry};

/// An admitted request with its complete body.
#[derive(Debug, Clone)]
pub(crate) struct BufferedRequest {
    pub(crate) admitted: AdmittedRequest,
    /// Its entry among the requests in progress.
    pub(crate) active: ActiveRequest,
    pub(crate) method: Method,
    pub(crate) target: Uri,
    /// End-to-end headers.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// What may be held of the response for the caller, or for the VM that forwarded the request.
    pub(crate) window: ResponseWindow<BootClock>,
    /// Id of the last event that the caller received before the stream broke off.
    pub(crate) last_event_id: Option<String>,
    /// Whether another VM forwarded the request to this one and can retry it elsewhere if there is no response in time.
    pub(crate) forwarder_can_retry: bool,
}

impl BufferedRequest {
    /// Records the content of the request, by which copies of it are found.
    pub(crate) fn record_content(&mut self, dialect: &impl Dialect) {
        let text = |text: &str| Bytes::copy_from_slice(text.as_bytes());
        let value = |name: HeaderName| {
            let value = self.headers.get(name);
            value.map_or(Bytes::new(), |value| Bytes::copy_from_slice(value.as_bytes()))
        };
        let target = [text(self.method.as_str()), text(&self.target.to_string())];
        let identity = dialect.identity_headers().map(value);
        let fields = target.into_iter().chain(identity).chain([self.body.clone()]);
        self.admitted.content = Some(Arc::new(RequestContent::new(fields.collect())));
    }

    /// Returns whether this VM or the one that forwarded the request can retry it if there is no response to the next
    /// attempt in time.
    pub(crate) fn can_retry_elsewhere(&self, history: &AttemptHistory) -> bool {
        let attempts_left = history.possible_runs() + 1 < self.admitted.max_attempts;
        self.admitted.route.kind.is_repeatable() && (attempts_left || self.forwarder_can_retry)
    }

    /// Returns the timeout for the head of a response that is expected after `expected_ms`.
    pub(crate) fn head_timeout(&self, expected_ms: f64, can_retry_elsewhere: bool, remaining: Millis) -> Millis {
        if !can_retry_elsewhere {
            return remaining;
        }
        remaining.min(self.admitted.first_event_timeout(expected_ms))
    }
}

/// Reports the end of an attempt; dropping it reports the attempt as cancelled.
pub(crate) struct AttemptGuard<D: Dialect, F: 'static> {
    state: Rc<ProxyState<D, F>>,
    id: Arc<str>,
    attempt: Option<Attempt>,
    /// Reservation in the endpoint's queue.
    reservation: Option<ReservationGuard<D, F>>,
    status: u16,
}

impl<D: Dialect, F> AttemptGuard<D, F> {
    /// Returns the attempt, to record its progress.
    pub(crate) fn attempt_mut(&mut self) -> Option<&mut Attempt> {
        self.attempt.as_mut()
    }

    /// Returns the endpoint; `None` after the end of the attempt.
    pub(crate) fn endpoint(&self) -> Option<&EndpointEntry> {
        self.attempt.as_ref().map(|attempt| &attempt.endpoint)
    }

    /// Returns the state of the proxy.
    pub(crate) fn state(&self) -> &Rc<ProxyState<D, F>> {
        &self.state
    }

    /// Records that the head of a response arrived.
    fn on_head(&mut self, response: &Response<Incoming>) {
        self.status = response.status().as_u16();
        if let Some(attempt) = &mut self.attempt {
            let now = self.state.now();
            self.state.relay.borrow_mut().on_head(attempt, is_framed(response), now);
        }
    }

    /// Returns whether the response has a length or chunks.
    pub(crate) fn is_framed(&self) -> bool {
        self.attempt.as_ref().is_some_and(|attempt| attempt.is_framed)
    }

    /// Ends the attempt with `outcome`.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        if let Some(reservation) = self.reservation.take() {
            reservation.report_outcome(outcome);
        }
        let now = self.state.now();
        telemetry::log_attempt_end(&self.id, &attempt, outcome, self.status, now);
        if outcome == AttemptOutcome::Broken {
            telemetry::log_attempt_broken(&self.id, &attempt);
            if self.state.relay.borrow_mut().on_broken_attempt(&attempt, now) {
                crash::check_endpoint(&self.state, &attempt.endpoint);
            }
        }
        let backoff_until = self.state.relay.borrow_mut().end_attempt(&attempt, outcome, now);
        if let Some(until) = backoff_until {
            telemetry::log_backoff(attempt.endpoint.id.as_str(), until.since(now));
        }
        crash::on_evidence(&self.state);
        if matches!(outcome, AttemptOutcome::Unreachable | AttemptOutcome::Broken) {
            paths::check(&self.state, &attempt.endpoint);
        }
        paths::on_changes(&self.state);
    }
}

impl<D: Dialect, F: 'static> AttemptGuard<D, F> {
    /// Records that a part of the response was received.
    pub(crate) fn on_chunk(&self) {
        if let Some(attempt) = &self.attempt {
            let mut relay = self.state.relay.borrow_mut();
            relay.on_heard(&attempt.endpoint.id, self.state.now());
        }
    }

    /// Reports to the coordinator that the first event arrived, so the prefill has ended and the request is running.
    pub(crate) fn on_first_event(&self) {
        if let Some(reservation) = &self.reservation {
            reservation.report_running();
        }
    }
}

impl<D: Dialect, F> Drop for AttemptGuard<D, F> {
    fn drop(&mut self) {
        self.end(AttemptOutcome::Cancelled);
    }
}

/// Sends a request to an endpoint and waits for the head of its response.
///
/// # Errors
///
/// Returns the outcome of the attempt; [`AttemptOutcome::not_run`] tells whether the request is known not to have run.
pub(crate) async fn send<D: Dialect, F: 'static>(
    state: &Rc<ProxyState<D, F>>,
    request: &BufferedRequest,
    endpoint: &EndpointEntry,
    reservation: Option<ReservationGuard<D, F>>,
    history: &AttemptHistory,
) -> Result<IncomingResponse<D, F>, AttemptOutcome> {
    let admitted = &request.admitted;
    let can_retry_elsewhere = request.can_retry_elsewhere(history);
    let grant = reservation.as_ref().and_then(ReservationGuard::grant);
    let attempt = state
        .relay
        .borrow_mut()
        .start_attempt(admitted, endpoint, grant, state.now());
    let attempt = attempt.ok_or(AttemptOutcome::Unsent)?;
    let expected_ms = attempt.expected_ms();
    let token_taken_at = attempt.token_taken_at;
    let cache_source = attempt.cache_source.as_ref().map(|source| source.endpoint.clone());
    let first_event_deadline = state.now() + admitted.first_event_timeout(expected_ms);
    let mut guard = AttemptGuard {
        state: Rc::clone(state),
        id: Arc::clone(&admitted.id),
        attempt: Some(attempt),
        reservation,
        status: 0,
    };
    let target = Target {
        endpoint,
        cache_source,
        token_taken_at,
        reuse: reuse(state, admitted, endpoint, history),
    };
    match send_request(state, request, &target, expected_ms, can_retry_elsewhere).await {
        Ok((exchange, response, response_head)) => {
            guard.on_head(&response);
            let (parts, body) = response.into_parts();
            let source = BodySource::Endpoint(Box::new(EndpointResponse {
                guard,
                exchange,
                body,
                first_chunk: None,
                head: response_head,
            }));
            let mut head = Response::from_parts(parts, ());
            strip_hop_headers(head.headers_mut());
            Ok(IncomingResponse {
                head,
                source,
                software: endpoint.software.clone(),
                first_event_deadline,
            })
        }
        Err((outcome, status)) => {
            guard.status = status;
            guard.finish(outcome);
            Err(outcome)
        }
    }
}

/// Target of an attempt.
struct Target<'a> {
    endpoint: &'a EndpointEntry,
    /// Engine from whose cache the endpoint may transfer shared parts of the prompt.
    cache_source: Option<EndpointEntry>,
    /// When a token of the endpoint's rate limit was taken.
    token_taken_at: Option<Time>,
    reuse: Reuse,
}

/// Returns which connections to an endpoint a request may be sent on.
///
/// A faulty endpoint may write a response once more on a connection that is kept. The response to another request has
/// another id; one to an earlier attempt of the same request cannot be told apart.
fn reuse<D, F>(
    state: &ProxyState<D, F>,
    admitted: &AdmittedRequest,
    endpoint: &EndpointEntry,
    history: &AttemptHistory,
) -> Reuse {
    if history.has_endpoint(&endpoint.id) {
        return Reuse::Never;
    }
    let max_idle = state.relay.borrow().max_idle_time(admitted);
    max_idle.map_or(Reuse::Allowed, |max_idle| {
        Reuse::IdleFor(Duration::from_millis(max_idle.0))
    })
}

async fn send_request<D: Dialect, F: 'static>(
    state: &Rc<ProxyState<D, F>>,
    request: &BufferedRequest,
    target: &Target<'_>,
    expected_ms: f64,
    can_retry_elsewhere: bool,
) -> Result<(Exchange, Response<Incoming>, ResponseHead), (AttemptOutcome, u16)> {
    let admitted = &request.admitted;
    let endpoint = target.endpoint;
    let connection = tokio::select! {
        connection = connections::connect(state, endpoint, target.reuse) => connection,
        () = paths::wait_lost(state, endpoint, Awaited::Connection) => Err(CallError::Connect),
    };
    let mut exchange = connection.map_err(|_no_connection| (AttemptOutcome::Unreachable, 0))?;
    // While the connection was made, the response may have become due, or the endpoint may have become unusable: it
    // restarted, is leaving, evacuated, rejects requests of this VM, or named a rate limit. Or the request was
    // quarantined, may no longer run in this region, or its key was removed or cannot be verified any more.
    let remaining = admitted.remaining(state.now());
    let may_send = state
        .relay
        .borrow()
        .may_send(endpoint, target.token_taken_at, state.now());
    let quarantined = state.relay.borrow().quarantined(admitted, state.now()).is_some();
    let is_permitted = state.relay.borrow().may_enter(admitted, endpoint, state.now());
    let is_authentic = state.relay.borrow().is_authentic(admitted, state.now());
    if remaining == Millis(0) || !may_send || quarantined || !is_permitted || !is_authentic {
        return Err((AttemptOutcome::Unsent, 0));
    }
    let http_request = build_request(state, request, target, remaining);
    let wait = request.head_timeout(expected_ms, can_retry_elsewhere, remaining);
    let sent_at = state.now();
    let response = tokio::select! {
        response = exchange.send(http_request, Duration::from_millis(wait.0)) => response,
        // The endpoint may still have the request in its queue; closing the connection withdraws it.
        () = state.wait_quarantined(admitted) => return Err((AttemptOutcome::Cancelled, 0)),
        () = wait_path_lost(state, endpoint, expected_ms, can_retry_elsewhere) => Err(CallError::Timeout),
    };
    let response = response.map_err(|error| match error {
        CallError::Connect => (AttemptOutcome::Unreachable, 0),
        CallError::Unsent => (AttemptOutcome::Unsent, 0),
        CallError::Broken => (AttemptOutcome::Broken, 0),
        CallError::Timeout => (AttemptOutcome::Timeout, 0),
    })?;
    let head = state.dialect.response_head(response.status(), response.headers());
    let status = response.status().as_u16();
    apply_report(state, admitted, endpoint, &head, sent_at);
    check_head(admitted, &head, &response, exchange.is_reused()).map_err(|outcome| (outcome, status))?;
    if !exchange.is_reused() {
        state.relay.borrow_mut().on_path_open(endpoint, state.now());
    }
    Ok((exchange, response, head))
}

/// Waits until the path to an endpoint that stays silent is lost, if the request can be retried; checks the path anyway.
async fn wait_path_lost<D: Dialect, F: 'static>(
    state: &Rc<ProxyState<D, F>>,
    endpoint: &EndpointEntry,
    expected_ms: f64,
    can_retry: bool,
) {
    paths::wait_lost(state, endpoint, Awaited::Head(expected_ms)).await;
    if !can_retry {
        std::future::pending::<()>().await;
    }
}

/// Returns whether the body of a response has a length or chunks.
fn is_framed(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING) || response.body().is_end_stream()
}

/// Applies the endpoint's report about itself, unless the response belongs to another request or another endpoint.
fn apply_report<D: Dialect, F>(
    state: &ProxyState<D, F>,
    admitted: &AdmittedRequest,
    endpoint: &EndpointEntry,
    head: &ResponseHead,
    sent_at: Time,
) {
    if head.is_for_other_request(&admitted.id) || head.rejection == Rejection::WrongEndpoint {
        return;
    }
    let starts_leaving = state
        .relay
        .borrow_mut()
        .on_endpoint_report(endpoint, &head.report, state.now());
    if starts_leaving {
        telemetry::log_endpoint_leaving(&admitted.id, &endpoint.id);
    }
    if let Some(wait) = head.report.retry_after {
        telemetry::log_rejection(&admitted.id, &endpoint.id, wait);
    }
    let is_own_answer = head.request_id.is_some() && head.has_signature_header;
    let answered_since = is_own_answer.then_some(sent_at);
    state
        .relay
        .borrow_mut()
        .on_rate_limit_statement(endpoint, head.rate_limit, answered_since, state.now());
    state
        .relay
        .borrow_mut()
        .on_rejection_limit_statement(endpoint, head.rejection_limit, answered_since, state.now());
    telemetry::log_rate_limit_changes(state, &admitted.id);
    telemetry::log_rejection_limit_changes(state, &admitted.id);
}

/// Checks that the head of a response belongs to this request and may be relayed to the caller.
fn check_head(
    admitted: &AdmittedRequest,
    head: &ResponseHead,
    response: &Response<Incoming>,
    reused: bool,
) -> Result<(), AttemptOutcome> {
    if head.is_for_other_request(&admitted.id) {
        return Err(AttemptOutcome::Broken);
    }
    // A response with another request id was rejected above. On a reused connection, one without a request id may be a
    // late response to an earlier request.
    let is_for_this_request = head.request_id.is_some() || !reused;
    match head.rejection {
        Rejection::NotRun if is_for_this_request => return Err(AttemptOutcome::Rejected),
        Rejection::WrongEndpoint if is_for_this_request => return Err(AttemptOutcome::WrongEndpoint),
        Rejection::NotRun | Rejection::WrongEndpoint => return Err(AttemptOutcome::Broken),
        Rejection::None => {}
    }
    let status = response.status().as_u16();
    // Request Timeout, Misdirected Request, Too Many Requests and Service Unavailable tell a caller that the request
    // was not run, which the endpoint didn't state here.
    let implies_not_run = matches!(status, 408 | 421 | 429 | 503);
    if head.request_id.is_none() || !head.has_signature_header || implies_not_run {
        return Err(AttemptOutcome::Broken);
    }
    Ok(())
}

fn build_request<D: Dialect, F>(
    state: &ProxyState<D, F>,
    request: &BufferedRequest,
    target: &Target<'_>,
    remaining: Millis,
) -> Request<Full<Bytes>> {
    let mut http_request = Request::new(Full::new(request.body.clone()));
    *http_request.method_mut() = request.method.clone();
    *http_request.uri_mut() = request.target.clone();
    *http_request.headers_mut() = request.headers.clone();
    let (relay, now) = (state.relay.borrow(), state.now());
    let cache_source = target.cache_source.as_ref();
    let cache_source = cache_source.filter(|source| relay.may_enter(&request.admitted, source, now));
    let attempt_headers = AttemptHeaders {
        endpoint: &target.endpoint.id,
        cache_source: cache_source.map(|source| source.address),
        remaining,
        last_event_id: request.last_event_id.as_deref(),
        identity: relay.caller_identity(&request.admitted, state.now()),
        priority: relay.engine_priority(&request.admitted, now),
    };
    state
        .dialect
        .set_attempt_headers(http_request.headers_mut(), &attempt_headers);
    http_request
}
