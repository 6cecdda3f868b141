//! Sending a request to a VM of another region.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use sw_error::Refusal;
use sw_peer::relay::{RelayCall, RelayEvent};
use sw_relay::AttemptOutcome;
use sw_unit::Millis;

use crate::attempt::Call;
use crate::core::Core;
use crate::source::{Opened, Source};
use crate::{Dialect, telemetry};

/// Hops of a request that its entry VM forwards.
pub(crate) const FIRST_HOP: u32 = 1;
/// Time that the other VM has to report an endpoint that does not answer, before its own answer is given up.
const FORWARD_MARGIN: Millis = Millis(400);

/// How a forwarded request failed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Failure {
    /// The other VM refused it.
    Refused(Refusal),
    /// The other VM did not answer.
    Unanswered(AttemptOutcome),
}

impl Failure {
    /// What that says of the attempt.
    pub(crate) fn outcome(&self) -> AttemptOutcome {
        match self {
            Self::Refused(refusal) => AttemptOutcome::from_refusal(*refusal),
            Self::Unanswered(outcome) => *outcome,
        }
    }
}

/// Sends a request to the VM at `address`, which may run it on one endpoint, and waits for the head of its answer.
///
/// # Errors
///
/// Returns how the attempt ended; [`AttemptOutcome::not_run`] tells whether it cannot have run.
pub(crate) async fn open<D: Dialect, F: 'static>(
    core: &Rc<Core<D, F>>,
    call: &Call,
    address: SocketAddr,
    expected_ms: f64,
    may_go_elsewhere: bool,
) -> Result<Opened<D, F>, Failure> {
    let left = call.admitted.remaining(core.now());
    let relayed = RelayCall {
        method: call.method.to_string(),
        target: call.target.to_string(),
        headers: header_list(&call.headers),
        left,
        body: call.body.clone(),
        hops: FIRST_HOP,
        elsewhere: may_go_elsewhere,
        resume_after: call.resume_after.clone(),
    };
    let mut events = core.peers.relay(address, relayed);
    let begins_by = core.now() + call.admitted.first_event_timeout(expected_ms) + FORWARD_MARGIN;
    let wait = call.head_wait(expected_ms, may_go_elsewhere, left) + FORWARD_MARGIN;
    let first = tokio::time::timeout(Duration::from_millis(wait.min(left).0), events.recv()).await;
    let outcome = match first {
        Ok(Some(RelayEvent::Head { status, headers })) => match answer_head(status, headers) {
            Some(head) => {
                let source = Source::Vm(events);
                return Ok(Opened {
                    head,
                    source,
                    begins_by,
                });
            }
            None => AttemptOutcome::Broken,
        },
        Ok(Some(RelayEvent::End(Err(refusal)))) => return Err(Failure::Refused(refusal)),
        Ok(Some(RelayEvent::NotSent)) => AttemptOutcome::Unreachable,
        Ok(Some(RelayEvent::Chunk(_) | RelayEvent::End(Ok(()))) | None) => AttemptOutcome::Broken,
        Err(_elapsed) => AttemptOutcome::Timeout,
    };
    let age = core.now().since(call.admitted.received_at);
    telemetry::forward_failed(&call.admitted, outcome, age);
    Err(Failure::Unanswered(outcome))
}

/// The head of an answer; `None` if its status is none.
fn answer_head(status: u16, headers: Vec<(String, Bytes)>) -> Option<Response<()>> {
    let mut head = Response::new(());
    *head.status_mut() = StatusCode::from_u16(status).ok()?;
    *head.headers_mut() = header_map(headers);
    Some(head)
}

/// Headers as they travel between VMs.
pub(crate) fn header_list(headers: &HeaderMap) -> Vec<(String, Bytes)> {
    let headers = headers.iter().map(|(name, value)| {
        let value = Bytes::copy_from_slice(value.as_bytes());
        (name.as_str().to_owned(), value)
    });
    headers.collect()
}

/// Headers that came from another VM; a malformed one is left out.
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
