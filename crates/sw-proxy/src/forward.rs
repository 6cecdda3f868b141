//! Forwards requests to VMs of other regions, and to neighbours if this VM has lost its paths to endpoints.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use sw_peer::relay::{CallRefusal, NotSent, RelayCall, RelayEvent};
use sw_relay::AttemptOutcome;
use sw_unit::{Millis, RegionId};
use tokio::sync::mpsc;

use crate::attempt::BufferedRequest;
use crate::incoming::{BodySource, IncomingResponse};
use crate::state::ProxyState;
use crate::{Dialect, telemetry};

/// Maximum number of times a request is forwarded; a VM refuses requests with more hops to prevent loops.
pub(crate) const MAX_HOPS: u32 = 1;
/// Time added to timeouts so that the other VM can report an unresponsive endpoint before its own response times out.
const FORWARD_MARGIN: Millis = Millis(400);

/// Error of a forwarded request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ForwardError {
    /// The other VM refused the request.
    Refused(CallRefusal),
    /// The other VM sent no valid response.
    NoResponse(AttemptOutcome),
}

impl ForwardError {
    /// Returns the outcome of the attempt.
    pub(crate) fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::Refused(refused) => AttemptOutcome::from_refusal(refused.refusal),
            Self::NoResponse(outcome) => *outcome,
        }
    }
}

/// Forwards a request to the VM of another region at `address`, which makes one attempt, and waits for the head of its response.
///
/// # Errors
///
/// Returns why it failed; [`AttemptOutcome::not_run`] tells whether the request is known not to have run.
pub(crate) async fn send<D: Dialect, F: 'static>(
    state: &Rc<ProxyState<D, F>>,
    request: &BufferedRequest,
    region: &RegionId,
    address: SocketAddr,
    expected_ms: f64,
    can_retry_elsewhere: bool,
) -> Result<IncomingResponse<D, F>, ForwardError> {
    let remaining = request.admitted.remaining(state.now());
    let forwarded = RelayCall {
        method: request.method.to_string(),
        target: request.target.to_string(),
        headers: header_list(&request.headers),
        remaining,
        body: request.body.clone(),
        hops: MAX_HOPS,
        can_retry_elsewhere,
        resume_after: request.last_event_id.clone(),
        software: request.admitted.pinned_software.clone(),
        version: state.relay.borrow().version(),
        response_window: Some((request.window.bytes() / 2) as u32),
    };
    let may_send = {
        let (state, admitted, region) = (Rc::clone(state), request.admitted.clone(), region.clone());
        move || {
            let (relay, now) = (state.relay.borrow(), state.now());
            relay.may_send_to(&admitted, &region, now) && relay.is_authentic(&admitted, now)
        }
    };
    let mut events = state
        .peers
        .forward(address, forwarded, request.window.clone(), may_send);
    let first_event_deadline = state.now() + request.admitted.first_event_timeout(expected_ms) + FORWARD_MARGIN;
    let wait = request.head_timeout(expected_ms, can_retry_elsewhere, remaining) + FORWARD_MARGIN;
    let first = next_unless_silent(&mut events, can_retry_elsewhere);
    let first = tokio::time::timeout(Duration::from_millis(wait.min(remaining).0), first).await;
    let outcome = match first {
        Ok(Some(RelayEvent::Head {
            status,
            headers,
            software,
        })) => match response_head(status, headers) {
            Some(head) => {
                let source = BodySource::Vm(events);
                return Ok(IncomingResponse {
                    head,
                    source,
                    software,
                    first_event_deadline,
                });
            }
            None => AttemptOutcome::Broken,
        },
        Ok(Some(RelayEvent::End(Err(refused)))) => return Err(ForwardError::Refused(refused)),
        Ok(Some(RelayEvent::NotSent(NotSent::NoConnection))) => AttemptOutcome::Unreachable,
        Ok(Some(RelayEvent::NotSent(NotSent::NotPermitted))) => AttemptOutcome::Unsent,
        Ok(Some(RelayEvent::Chunk(_) | RelayEvent::End(Ok(())) | RelayEvent::Broken) | None) => AttemptOutcome::Broken,
        Ok(Some(RelayEvent::Silent(_))) | Err(_) => AttemptOutcome::Timeout,
    };
    let age = state.now().since(request.admitted.received_at);
    telemetry::log_forward_failure(&request.admitted, outcome, age);
    Err(ForwardError::NoResponse(outcome))
}

/// Returns the next event; that the connection is silent only if the request can be retried elsewhere.
async fn next_unless_silent(events: &mut mpsc::Receiver<RelayEvent>, can_retry_elsewhere: bool) -> Option<RelayEvent> {
    loop {
        let event = events.recv().await;
        match event {
            Some(RelayEvent::Silent(silence)) if !(can_retry_elsewhere && silence.is_current()) => {}
            event => return event,
        }
    }
}

/// Builds the head of a response; `None` if the status code is invalid.
fn response_head(status: u16, headers: Vec<(String, Bytes)>) -> Option<Response<()>> {
    let mut head = Response::new(());
    *head.status_mut() = StatusCode::from_u16(status).ok()?;
    *head.headers_mut() = header_map(headers);
    Some(head)
}

/// Converts headers to the form that is sent between VMs.
pub(crate) fn header_list(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    let headers = headers.iter().map(|(name, value)| {
        let value = Bytes::copy_from_slice(value.as_bytes());
        (name.as_str().to_owned(), value)
    });
    headers.collect()
}

/// Converts headers received from another VM; malformed ones are dropped.
pub(crate) fn header_map(list: Vec<(String, Bytes)>) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in list {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_maybe_shared(value)) {
            headers.append(name, value);
        }
    }
    headers
}
