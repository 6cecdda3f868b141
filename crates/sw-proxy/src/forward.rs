//! Sending a request to a VM of another region.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use hyper::{HeaderMap, Response, StatusCode};
use sw_http::{BodyError, ResponseBody, channel};
use sw_peer::relay::{RelayCall, RelayEvent};
use sw_relay::Outcome;
use tokio::sync::mpsc;

use crate::attempt::Call;
use crate::core::{Active, Core};
use crate::request::Answer;
use crate::{Dialect, telemetry};

/// Hops of a request that its entry VM forwards.
pub(crate) const FIRST_HOP: u32 = 1;

/// Sends a request to the VM at `address`, which may run it on `attempts` endpoints, and waits for the head of its
/// answer.
///
/// # Errors
///
/// Returns how the attempt ended; [`Outcome::not_run`] tells whether it cannot have run.
pub(crate) async fn send<D: Dialect, F: 'static>(
    core: &Rc<Core<D, F>>,
    call: &Call,
    attempts: u32,
    address: SocketAddr,
) -> Result<Answer, Outcome> {
    let left = call.admitted.left(core.now());
    let relayed = RelayCall {
        method: call.method.to_string(),
        target: call.target.to_string(),
        headers: header_list(&call.headers),
        left,
        body: call.body.clone(),
        hops: FIRST_HOP,
        attempts,
    };
    let mut events = core.peers.relay(address, relayed);
    let first = tokio::time::timeout(Duration::from_millis(left.0), events.recv()).await;
    let outcome = match first {
        Ok(Some(RelayEvent::Head { status, headers })) => {
            return pass_on(core, call, status, headers, events).await;
        }
        Ok(Some(RelayEvent::End(Err(refusal)))) => return Err(Outcome::of_refusal(refusal)),
        Ok(Some(RelayEvent::NotSent)) => Outcome::Unreachable,
        Ok(Some(RelayEvent::Chunk(_) | RelayEvent::End(Ok(()))) | None) => Outcome::Broken,
        Err(_elapsed) => Outcome::Timeout,
    };
    let age = core.now().since(call.admitted.received);
    telemetry::forward_failed(&call.admitted, outcome, age);
    Err(outcome)
}

async fn pass_on<D: Dialect, F: 'static>(
    core: &Rc<Core<D, F>>,
    call: &Call,
    status: u16,
    headers: Vec<(String, Bytes)>,
    events: mpsc::Receiver<RelayEvent>,
) -> Result<Answer, Outcome> {
    let mut head = Response::new(());
    *head.status_mut() = StatusCode::from_u16(status).map_err(|_no_status| Outcome::Broken)?;
    *head.headers_mut() = header_map(headers);
    telemetry::answered(&call.admitted, status, core.now().since(call.admitted.received));
    if call.admitted.route.kind.streams() || !head.headers().contains_key(CONTENT_LENGTH) {
        let (tx, body) = channel();
        let active = Active::new(core);
        tokio::task::spawn_local(pump(Rc::clone(core), call.clone(), events, tx, active));
        return Ok(head.map(|()| body));
    }
    let left = Duration::from_millis(call.admitted.left(core.now()).0);
    match tokio::time::timeout(left, collect(events)).await {
        Ok(Some(body)) => Ok(head.map(|()| ResponseBody::from(body))),
        Ok(None) => Err(Outcome::Broken),
        Err(_elapsed) => Err(Outcome::Timeout),
    }
}

/// The whole body; `None` if it breaks off.
async fn collect(mut events: mpsc::Receiver<RelayEvent>) -> Option<Bytes> {
    let mut buf = BytesMut::new();
    loop {
        match events.recv().await? {
            RelayEvent::Chunk(data) => buf.extend_from_slice(&data),
            RelayEvent::End(Ok(())) => return Some(buf.freeze()),
            RelayEvent::Head { .. } | RelayEvent::End(Err(_)) | RelayEvent::NotSent => return None,
        }
    }
}

async fn pump<D: Dialect, F>(
    core: Rc<Core<D, F>>,
    call: Call,
    mut events: mpsc::Receiver<RelayEvent>,
    tx: mpsc::Sender<Result<Bytes, BodyError>>,
    _active: Active<D, F>,
) {
    let reason = loop {
        let left = Duration::from_millis(call.admitted.left(core.now()).0);
        let event = tokio::select! {
            biased;
            () = tx.closed() => return,
            event = events.recv() => event,
            () = tokio::time::sleep(left) => break "timeout",
        };
        match event {
            Some(RelayEvent::Chunk(data)) => {
                if tx.send(Ok(data)).await.is_err() {
                    return;
                }
            }
            Some(RelayEvent::End(Ok(()))) => return,
            Some(RelayEvent::End(Err(_)) | RelayEvent::Head { .. } | RelayEvent::NotSent) | None => break "broken",
        }
    };
    let age = core.now().since(call.admitted.received);
    telemetry::broke_off(&call.admitted, reason, age);
    // Fails only if the caller has left.
    let _left = tx.send(Err(BodyError)).await;
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
