//! Streamed responses of engines.
//!
//! Only complete events are relayed. A stream that breaks or stalls is resumed on a new connection, from the event
//! after the last one that was relayed. If that fails too, the caller's stream gets an error event and is closed
//! without its end mark.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use serde_json::json;
use sw_error::Kind;
use sw_gate::RoutingDecision;
use sw_http::{BodyError, ResponseBody, SseReader, channel};
use tokio::sync::mpsc;

use super::attempt;
use super::buffered::BufferedRequest;
use super::endpoint::{self, OpenResponse};
use super::run;
use crate::process::Gateway;

/// Maximum gap between two chunks of a stream.
const EVENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Fraction of the remaining time within which the first event must arrive.
const FIRST_EVENT_FRACTION: (u32, u32) = (2, 3);
/// Time to wait for the error event to be written to the connection.
const ERROR_EVENT_FLUSH: Duration = Duration::from_millis(50);
/// Maximum number of times that a stream is resumed.
const MAX_RESUMES: u32 = 3;

/// The sender of a streamed body.
pub(crate) type BodySender = mpsc::Sender<Result<Bytes, BodyError>>;

/// How the relay of one connection's events ended.
enum ConnectionEnd {
    Complete,
    CallerGone,
    Broken,
}

/// Relays a stream in a separate task, resuming it where needed, and returns the body for the caller.
pub(crate) fn relay(
    gateway: Arc<Gateway>,
    request: Arc<BufferedRequest>,
    decision: RoutingDecision,
    open: OpenResponse,
) -> ResponseBody {
    let (tx, body) = channel();
    tokio::spawn(async move {
        if !relay_events(&gateway, &request, &decision, open, &tx).await {
            abort(&tx).await;
        }
    });
    body
}

/// Ends a stream with an error event and an error, so that its reader cannot mistake it for a complete one.
pub(crate) async fn abort(tx: &BodySender) {
    let response = Kind::AnswerIncomplete.response();
    let code: &str = Kind::AnswerIncomplete.into();
    let error = json!({ "message": response.message, "type": response.error_type, "param": null, "code": code });
    let event = format!("data: {}\n\n", json!({ "error": error }));
    // Both sends fail only if the caller is gone.
    let _gone = tx.send(Ok(Bytes::from(event))).await;
    // An error right after the event would make the connection drop the event unsent.
    tokio::time::sleep(ERROR_EVENT_FLUSH).await;
    let _gone = tx.send(Err(BodyError)).await;
}

/// Returns whether a body is a complete stream in response to the request `id`.
pub(crate) fn is_complete(id: &str, body: &[u8]) -> bool {
    let mut reader = SseReader::new(id, 0);
    reader.feed(body).is_ok() && reader.ended()
}

async fn relay_events(
    gateway: &Gateway,
    request: &Arc<BufferedRequest>,
    decision: &RoutingDecision,
    open: OpenResponse,
    tx: &BodySender,
) -> bool {
    let mut reader = SseReader::new(&request.call.id, 0);
    let mut open = Some(open);
    for _ in 0..=MAX_RESUMES {
        if let Some(OpenResponse {
            response,
            exchange,
            in_flight,
        }) = open
        {
            let timeout = if reader.events() == 0 {
                first_event_timeout(gateway, request)
            } else {
                EVENT_TIMEOUT
            };
            match relay_connection(response.into_body(), &mut reader, tx, timeout).await {
                ConnectionEnd::Complete => {
                    in_flight.complete();
                    exchange.give_back();
                    return true;
                }
                ConnectionEnd::CallerGone => return true,
                ConnectionEnd::Broken => {}
            }
        }
        // An engine resumes a response that has begun, but generates one that has not begun a second time.
        if attempt::remaining(gateway, request).0 == 0
            || (reader.events() == 0 && !run::withdraw_retry(gateway, request).await)
        {
            return false;
        }
        reader.drop_partial();
        open = endpoint::open(gateway, request, decision, reader.events()).await.ok();
    }
    false
}

/// Returns the timeout for the first event.
///
/// A request may wait in an engine's queue for longer than expected, and sending it again would queue it twice. Some
/// time must remain, however, to send it again if the connection is dead.
fn first_event_timeout(gateway: &Gateway, request: &BufferedRequest) -> Duration {
    let remaining = Duration::from_millis(attempt::remaining(gateway, request).0);
    (remaining * FIRST_EVENT_FRACTION.0 / FIRST_EVENT_FRACTION.1).max(EVENT_TIMEOUT)
}

/// Relays the events of one connection; `timeout` applies to its first chunk.
async fn relay_connection(
    mut body: Incoming,
    reader: &mut SseReader,
    tx: &BodySender,
    mut timeout: Duration,
) -> ConnectionEnd {
    loop {
        let frame = tokio::select! {
            frame = tokio::time::timeout(timeout, body.frame()) => frame,
            () = tx.closed() => return ConnectionEnd::CallerGone,
        };
        let data = match frame {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(None) if reader.ended() => return ConnectionEnd::Complete,
            Ok(None | Some(Err(_))) | Err(_) => return ConnectionEnd::Broken,
        };
        timeout = EVENT_TIMEOUT;
        let Ok(events) = reader.feed(&data) else {
            return ConnectionEnd::Broken;
        };
        if !events.is_empty() && tx.send(Ok(events)).await.is_err() {
            return ConnectionEnd::CallerGone;
        }
    }
}
