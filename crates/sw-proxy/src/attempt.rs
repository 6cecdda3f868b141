//! One attempt at an endpoint, up to the head of its answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response, Uri};
use sw_http::{CallError, Exchange, Reuse};
use sw_relay::{AdmittedRequest, Attempt, AttemptHistory, AttemptOutcome, EndpointEntry};
use sw_unit::Millis;

use crate::answer::strip_hop_headers;
use crate::core::Core;
use crate::reserve::Reserved;
use crate::source::{EndpointAnswer, Opened, Source};
use crate::{AttemptHeaders, Dialect, Rejection, ResponseHead, telemetry};

/// A connection that was idle for this long may have been closed by the endpoint at the same moment; requests that
/// must not run twice are not sent on it.
const FRESH_IDLE: Duration = Duration::from_millis(400);

/// A request that was read whole.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) admitted: AdmittedRequest,
    pub(crate) method: Method,
    pub(crate) target: Uri,
    /// The headers that concern more than one connection.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The id of the last event that the caller got of an answer that broke off.
    pub(crate) resume_after: Option<String>,
    /// Whether the VM that forwarded it can send it elsewhere if it is not answered soon.
    pub(crate) elsewhere: bool,
}

impl Call {
    /// Whether the request can be sent elsewhere if the next send is not answered soon.
    pub(crate) fn may_go_elsewhere(&self, tried: &AttemptHistory) -> bool {
        let attempts_left = tried.possible_runs() + 1 < self.admitted.max_attempts;
        self.admitted.route.kind.is_repeatable() && (attempts_left || self.elsewhere)
    }

    /// How long the head of an answer may take that is expected after `expected_ms`.
    pub(crate) fn head_wait(&self, expected_ms: f64, may_go_elsewhere: bool, left: Millis) -> Millis {
        if !may_go_elsewhere {
            return left;
        }
        left.min(self.admitted.first_event_timeout(expected_ms))
    }
}

/// Reports the end of an attempt; an attempt that is dropped was cancelled.
pub(crate) struct Running<D: Dialect, F: 'static> {
    core: Rc<Core<D, F>>,
    id: Arc<str>,
    attempt: Option<Attempt>,
    /// Its place in the engine's queue.
    reserved: Option<Reserved<D, F>>,
    status: u16,
}

impl<D: Dialect, F> Running<D, F> {
    /// The attempt, to record what is seen of it.
    pub(crate) fn attempt_mut(&mut self) -> Option<&mut Attempt> {
        self.attempt.as_mut()
    }

    /// Ends the attempt.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        if let Some(reserved) = self.reserved.take()
            && outcome.is_absent()
        {
            reserved.absent();
        }
        let now = self.core.now();
        telemetry::attempt_ended(&self.id, &attempt, outcome, self.status, now);
        let paused = self.core.relay.borrow_mut().end_attempt(&attempt, outcome, now);
        if let Some(until) = paused {
            telemetry::paused(attempt.endpoint.id.as_str(), until.since(now));
        }
    }
}

impl<D: Dialect, F: 'static> Running<D, F> {
    /// Records that the first event came: the prompt is read, and the request runs.
    pub(crate) fn began(&self) {
        if let Some(reserved) = &self.reserved {
            reserved.runs();
        }
    }
}

impl<D: Dialect, F> Drop for Running<D, F> {
    fn drop(&mut self) {
        self.end(AttemptOutcome::Cancelled);
    }
}

/// Sends a request to an endpoint and waits for the head of its answer.
///
/// # Errors
///
/// Returns how the attempt ended; [`AttemptOutcome::not_run`] tells whether it cannot have run.
pub(crate) async fn open<D: Dialect, F: 'static>(
    core: &Rc<Core<D, F>>,
    call: &Call,
    endpoint: &EndpointEntry,
    reserved: Option<Reserved<D, F>>,
    may_go_elsewhere: bool,
) -> Result<Opened<D, F>, AttemptOutcome> {
    let admitted = &call.admitted;
    let granted = reserved.as_ref().map(Reserved::granted);
    let attempt = core
        .relay
        .borrow_mut()
        .start_attempt(admitted, endpoint, granted, core.now());
    let attempt = attempt.ok_or(AttemptOutcome::Unsent)?;
    let expected_ms = attempt.expected_ms();
    let source = attempt.cache_source.as_ref().map(|source| source.endpoint.address);
    let begins_by = core.now() + admitted.first_event_timeout(expected_ms);
    let mut running = Running {
        core: Rc::clone(core),
        id: Arc::clone(&admitted.id),
        attempt: Some(attempt),
        reserved,
        status: 0,
    };
    let target = Target { endpoint, source };
    match exchange_heads(core, call, &target, expected_ms, may_go_elsewhere).await {
        Ok((exchange, response, head)) => {
            running.status = response.status().as_u16();
            let (parts, body) = response.into_parts();
            let source = Source::Endpoint(Box::new(EndpointAnswer {
                running,
                exchange,
                body,
                head,
            }));
            let mut head = Response::from_parts(parts, ());
            strip_hop_headers(head.headers_mut());
            Ok(Opened {
                head,
                source,
                begins_by,
            })
        }
        Err((outcome, status)) => {
            running.status = status;
            running.finish(outcome);
            Err(outcome)
        }
    }
}

/// Where an attempt goes.
struct Target<'a> {
    endpoint: &'a EndpointEntry,
    /// From where the endpoint may copy shared parts of the prompt.
    source: Option<SocketAddr>,
}

async fn exchange_heads<D: Dialect, F: 'static>(
    core: &Rc<Core<D, F>>,
    call: &Call,
    target: &Target<'_>,
    expected_ms: f64,
    may_go_elsewhere: bool,
) -> Result<(Exchange, Response<Incoming>, ResponseHead), (AttemptOutcome, u16)> {
    let admitted = &call.admitted;
    let endpoint = target.endpoint;
    let reuse = if admitted.route.kind.is_repeatable() {
        Reuse::Allowed
    } else {
        Reuse::IdleFor(FRESH_IDLE)
    };
    let connection = core.connector.connect(endpoint.address, reuse).await;
    let mut exchange = connection.map_err(|_no_connection| (AttemptOutcome::Unreachable, 0))?;
    // Connecting takes time: the endpoint may have begun to leave, or the caller's time may be over.
    let left = admitted.remaining(core.now());
    if left == Millis(0) || !core.relay.borrow().registry().may_send(endpoint, core.now()) {
        return Err((AttemptOutcome::Unsent, 0));
    }
    let request = outbound(core, call, target, left);
    let wait = call.head_wait(expected_ms, may_go_elsewhere, left);
    let response = exchange.send(request, Duration::from_millis(wait.0)).await;
    let response = response.map_err(|error| match error {
        CallError::Connect => (AttemptOutcome::Unreachable, 0),
        CallError::Unsent => (AttemptOutcome::Unsent, 0),
        CallError::Broken => (AttemptOutcome::Broken, 0),
        CallError::Timeout => (AttemptOutcome::Timeout, 0),
    })?;
    let head = core.dialect.response_head(response.status(), response.headers());
    let status = response.status().as_u16();
    learn_report(core, admitted, endpoint, &head);
    check(admitted, &head, &response, exchange.is_reused()).map_err(|outcome| (outcome, status))?;
    Ok((exchange, response, head))
}

/// Takes in what an endpoint says about itself, if the answer is its own.
fn learn_report<D: Dialect, F>(
    core: &Core<D, F>,
    admitted: &AdmittedRequest,
    endpoint: &EndpointEntry,
    head: &ResponseHead,
) {
    if head.is_for_other_request(&admitted.id) || head.rejection == Rejection::WrongEndpoint {
        return;
    }
    let news = core
        .relay
        .borrow_mut()
        .on_endpoint_report(endpoint, &head.report, core.now());
    if news {
        telemetry::leaving(&admitted.id, &endpoint.id);
    }
    if let Some(wait) = head.report.retry_after {
        telemetry::turned_away(&admitted.id, &endpoint.id, wait);
    }
}

/// Whether the head of an answer belongs to the request and may be passed on.
fn check(
    admitted: &AdmittedRequest,
    head: &ResponseHead,
    response: &Response<Incoming>,
    reused: bool,
) -> Result<(), AttemptOutcome> {
    if head.is_for_other_request(&admitted.id) {
        return Err(AttemptOutcome::Broken);
    }
    // On a connection that was used before, an answer without the id may be a late one to an earlier request.
    let is_answer = head.request_id.is_some() || !reused;
    match head.rejection {
        Rejection::NotRun if is_answer => return Err(AttemptOutcome::Rejected),
        Rejection::WrongEndpoint if is_answer => return Err(AttemptOutcome::WrongEndpoint),
        Rejection::NotRun | Rejection::WrongEndpoint => return Err(AttemptOutcome::Broken),
        Rejection::None => {}
    }
    let status = response.status().as_u16();
    let promises_not_run = matches!(status, 408 | 421 | 429 | 503);
    if head.request_id.is_none() || !head.signed || promises_not_run {
        return Err(AttemptOutcome::Broken);
    }
    Ok(())
}

fn outbound<D: Dialect, F>(core: &Core<D, F>, call: &Call, target: &Target<'_>, left: Millis) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.target.clone();
    *request.headers_mut() = call.headers.clone();
    let attempt_headers = AttemptHeaders {
        endpoint: &target.endpoint.id,
        cache_source: target.source,
        remaining: left,
        last_event_id: call.resume_after.as_deref(),
    };
    core.dialect
        .set_attempt_headers(request.headers_mut(), &attempt_headers);
    request
}
