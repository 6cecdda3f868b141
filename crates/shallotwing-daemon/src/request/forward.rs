//! Requests that are forwarded: to a VM of another failure domain, or to the VM that owns their ticket.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use sw_error::{Kind, Ran, Refusal};
use sw_gate::{Envelope, ForwardPurpose, RoutingDecision};
use sw_http::{SseReader, channel};
use sw_member::{VmRow, VmState};
use sw_once::{SavedResponse, Ticket};
use sw_peer::{ForwardConnection, ForwardEvent, ForwardedRequest};
use sw_unit::Millis;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::attempt::{self, AttemptError, InFlight};
use super::buffered::{BufferedRequest, Reply};
use super::endpoint;
use super::stream::{self, BodySender};
use crate::process::Gateway;

/// Interval between checks that the other VM is live.
const LIVENESS_PERIOD: Duration = Duration::from_millis(250);
/// Maximum gap between two chunks of a streamed response.
const EVENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a response that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
const EVENT_STREAM: &str = "text/event-stream";

/// Forwards a request to a VM of the chosen domain; it is checked again once there is a connection.
pub(crate) async fn attempt(
    gateway: &Arc<Gateway>,
    request: &Arc<BufferedRequest>,
    decision: &RoutingDecision,
    row: &VmRow,
    ticket: Option<&Ticket>,
) -> Result<Reply, AttemptError> {
    let connection = connect(gateway, request, row).await?;
    let in_flight = attempt::dispatch(gateway, request, decision).await?;
    let rx = send(gateway, request, connection, ForwardPurpose::Run, ticket);
    let first_byte_timeout = endpoint::first_byte_timeout(gateway, request, decision);
    receive(gateway, request, row, rx, first_byte_timeout, Some(in_flight)).await
}

/// Forwards a request to the VM that owns its ticket.
pub(crate) async fn to_owner(
    gateway: &Arc<Gateway>,
    request: &Arc<BufferedRequest>,
    row: &VmRow,
    ticket: &Ticket,
) -> Result<Reply, AttemptError> {
    let admitted = &request.admitted;
    if !admitted
        .version
        .fleet
        .permits(admitted.route(), admitted.workspace(), &row.region)
    {
        return Err(AttemptError::NotRun(Kind::WrongRegion.into()));
    }
    let connection = connect(gateway, request, row).await?;
    let (buffered, region) = (Arc::clone(request), row.region.clone());
    let check = move |gate: &mut sw_gate::Gate, now| gate.check_owner_region(&buffered.admitted, &region, now);
    let checked = gateway.gate.run(check).await.and_then(|checked| checked);
    checked.map_err(AttemptError::NotRun)?;
    let rx = send(gateway, request, connection, ForwardPurpose::Owned, Some(ticket));
    receive(gateway, request, row, rx, attempt::remaining(gateway, request), None).await
}

async fn connect(gateway: &Gateway, request: &BufferedRequest, row: &VmRow) -> Result<ForwardConnection, AttemptError> {
    let connected = gateway.peers.connect(row.peer_listen, !request.admitted.idempotent);
    let remaining = Duration::from_millis(attempt::remaining(gateway, request).0);
    match tokio::time::timeout(remaining, connected).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(_)) | Err(_) => Err(AttemptError::NotRun(Kind::EndpointUnreachable.into())),
    }
}

fn send(
    gateway: &Gateway,
    request: &BufferedRequest,
    connection: ForwardConnection,
    purpose: ForwardPurpose,
    ticket: Option<&Ticket>,
) -> mpsc::Receiver<ForwardEvent> {
    let (admitted, call) = (&request.admitted, &request.call);
    let envelope = Envelope {
        request_id: call.id.clone(),
        workspace: admitted.workspace.clone(),
        route: admitted.route.clone(),
        version: admitted.version.number,
        remaining: attempt::remaining(gateway, request),
        hops: 1,
        purpose,
        ticket: ticket.cloned(),
    };
    let forwarded = ForwardedRequest {
        envelope,
        method: call.method.clone(),
        path: call.path.clone(),
        content_type: call.content_type.clone(),
        body: call.body.clone(),
    };
    connection.forward(forwarded)
}

async fn receive(
    gateway: &Arc<Gateway>,
    request: &BufferedRequest,
    row: &VmRow,
    mut rx: mpsc::Receiver<ForwardEvent>,
    first_byte_timeout: Millis,
    in_flight: Option<InFlight>,
) -> Result<Reply, AttemptError> {
    let deadline = Instant::now() + Duration::from_millis(attempt::remaining(gateway, request).0);
    let failure = if request.admitted.idempotent {
        Kind::AnswerIncomplete
    } else {
        Kind::OutcomeUnknown
    };
    let first_deadline = Instant::now() + Duration::from_millis(first_byte_timeout.0);
    match first_event(gateway, row, &mut rx, first_deadline).await {
        Some(ForwardEvent::Head { status, content_type }) => {
            if content_type.starts_with(EVENT_STREAM) && request.admitted.idempotent {
                let (tx, body) = channel();
                let reader = SseReader::new(&request.call.id, 0);
                tokio::spawn(async move {
                    if relay(rx, reader, &tx, deadline).await
                        && let Some(in_flight) = in_flight
                    {
                        in_flight.complete();
                    }
                });
                return Ok(Reply::Stream {
                    status,
                    content_type,
                    body,
                });
            }
            let body = read_body(&mut rx, deadline).await;
            let body = body.ok_or(AttemptError::after_dispatch(failure))?;
            if let Some(in_flight) = in_flight {
                in_flight.complete();
            }
            Ok(Reply::Complete(SavedResponse {
                status,
                content_type,
                body: body.freeze(),
            }))
        }
        Some(ForwardEvent::End(Err(refusal))) => Err(convert_refusal(refusal)),
        Some(ForwardEvent::Chunk(_) | ForwardEvent::End(Ok(()))) | None => Err(AttemptError::after_dispatch(failure)),
    }
}

/// Converts a refusal by the other VM, whose kind tells whether the request ran.
fn convert_refusal(refusal: Refusal) -> AttemptError {
    match refusal.kind.response().ran {
        Ran::No => AttemptError::NotRun(refusal),
        Ran::Yes | Ran::Unknown => AttemptError::MayHaveRun(refusal),
    }
}

/// Waits for the first event while the other VM is live and the deadline has not passed.
async fn first_event(
    gateway: &Gateway,
    row: &VmRow,
    rx: &mut mpsc::Receiver<ForwardEvent>,
    deadline: Instant,
) -> Option<ForwardEvent> {
    loop {
        let check_at = deadline.min(Instant::now() + LIVENESS_PERIOD);
        if let Ok(event) = timeout_at(check_at, rx.recv()).await {
            return event;
        }
        let (vm, incarnation) = (row.vm.clone(), row.incarnation);
        let is_gone = move |gate: &mut sw_gate::Gate, now| {
            let members = gate.members();
            members.has_newer_incarnation(&vm, incarnation) || members.state(&vm, now) == Some(VmState::Suspect)
        };
        if Instant::now() >= deadline || gateway.gate.run(is_gone).await != Ok(false) {
            return None;
        }
    }
}

async fn read_body(rx: &mut mpsc::Receiver<ForwardEvent>, deadline: Instant) -> Option<BytesMut> {
    let mut body = BytesMut::new();
    loop {
        match timeout_at(deadline, rx.recv()).await.ok()?? {
            ForwardEvent::Chunk(data) if body.len() + data.len() <= MAX_RESPONSE_BYTES => body.extend_from_slice(&data),
            ForwardEvent::End(Ok(())) => return Some(body),
            _ => return None,
        }
    }
}

/// Relays the complete events of a streamed response to the caller, and returns whether the response was complete.
///
/// Nothing is sent after the event that ends the response, even if the other VM fails then.
async fn relay(
    mut rx: mpsc::Receiver<ForwardEvent>,
    mut reader: SseReader,
    tx: &BodySender,
    deadline: Instant,
) -> bool {
    let mut next_deadline = deadline;
    loop {
        let event = tokio::select! {
            event = timeout_at(next_deadline, rx.recv()) => event,
            () = tx.closed() => return false,
        };
        next_deadline = Instant::now() + EVENT_TIMEOUT;
        match event {
            Ok(Some(ForwardEvent::Chunk(data))) if let Ok(events) = reader.feed(&data) => {
                if !events.is_empty() && tx.send(Ok(events)).await.is_err() {
                    return false;
                }
            }
            _ if reader.ended() => return true,
            _ => {
                stream::abort(tx).await;
                return false;
            }
        }
    }
}
