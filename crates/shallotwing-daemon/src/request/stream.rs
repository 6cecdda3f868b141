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
use super::endpoint::{self, Begun};
use super::job::Job;
use super::run;
use crate::process::Gateway;

/// Maximum gap between two chunks of a stream.
const MAX_SILENCE: Duration = Duration::from_secs(3);
/// Fraction of the remaining time within which the first event must arrive.
const FIRST_PATIENCE: (u32, u32) = (2, 3);
/// Time to wait for the error event to be written to the connection.
const ERROR_EVENT_FLUSH: Duration = Duration::from_millis(50);
/// Maximum number of times that a stream is resumed.
const MAX_RESUMES: u32 = 3;

/// The sender of a streamed body.
pub(crate) type BodySender = mpsc::Sender<Result<Bytes, BodyError>>;

/// How the relay of one connection's events ended.
enum PartEnd {
    Whole,
    CallerGone,
    Broken,
}

/// Relays a stream in a separate task, resuming it where needed, and returns the body for the caller.
pub(crate) fn relay(gateway: Arc<Gateway>, job: Arc<Job>, plan: RoutingDecision, begun: Begun) -> ResponseBody {
    let (tx, body) = channel();
    tokio::spawn(async move {
        if !pass(&gateway, &job, &plan, begun, &tx).await {
            break_off(&tx).await;
        }
    });
    body
}

/// Ends a stream with an error event and an error, so that its reader cannot mistake it for a complete one.
pub(crate) async fn break_off(tx: &BodySender) {
    let answer = Kind::AnswerIncomplete.response();
    let code: &str = Kind::AnswerIncomplete.into();
    let error = json!({ "message": answer.message, "type": answer.error_type, "param": null, "code": code });
    let event = format!("data: {}\n\n", json!({ "error": error }));
    // Both sends fail only if the caller is gone.
    let _gone = tx.send(Ok(Bytes::from(event))).await;
    // An error right after the event would make the connection drop the event unsent.
    tokio::time::sleep(ERROR_EVENT_FLUSH).await;
    let _gone = tx.send(Err(BodyError)).await;
}

/// Returns whether a body is a complete stream in response to the request `id`.
pub(crate) fn is_whole(id: &str, body: &[u8]) -> bool {
    let mut reader = SseReader::new(id, 0);
    reader.feed(body).is_ok() && reader.ended()
}

async fn pass(gateway: &Gateway, job: &Arc<Job>, plan: &RoutingDecision, begun: Begun, tx: &BodySender) -> bool {
    let mut reader = SseReader::new(&job.call.id, 0);
    let mut part = Some(begun);
    for _ in 0..=MAX_RESUMES {
        if let Some(Begun {
            response,
            exchange,
            in_flight,
        }) = part
        {
            let patience = if reader.events() == 0 {
                first_patience(gateway, job)
            } else {
                MAX_SILENCE
            };
            match pass_part(response.into_body(), &mut reader, tx, patience).await {
                PartEnd::Whole => {
                    in_flight.answered();
                    exchange.give_back();
                    return true;
                }
                PartEnd::CallerGone => return true,
                PartEnd::Broken => {}
            }
        }
        // An engine resumes a response that has begun, but generates one that has not begun a second time.
        if attempt::left(gateway, job).0 == 0 || (reader.events() == 0 && !run::may_retry(gateway, job).await) {
            return false;
        }
        reader.drop_partial();
        part = endpoint::begin(gateway, job, plan, reader.events()).await.ok();
    }
    false
}

/// Returns the timeout for the first event.
///
/// A request may wait in an engine's queue for longer than expected, and sending it again would queue it twice. Some
/// time must remain, however, to send it again if the connection is dead.
fn first_patience(gateway: &Gateway, job: &Job) -> Duration {
    let left = Duration::from_millis(attempt::left(gateway, job).0);
    (left * FIRST_PATIENCE.0 / FIRST_PATIENCE.1).max(MAX_SILENCE)
}

/// Relays the events of one connection; `timeout` applies to its first chunk.
async fn pass_part(mut body: Incoming, reader: &mut SseReader, tx: &BodySender, mut patience: Duration) -> PartEnd {
    loop {
        let frame = tokio::select! {
            frame = tokio::time::timeout(patience, body.frame()) => frame,
            () = tx.closed() => return PartEnd::CallerGone,
        };
        let data = match frame {
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            Ok(None) if reader.ended() => return PartEnd::Whole,
            Ok(None | Some(Err(_))) | Err(_) => return PartEnd::Broken,
        };
        patience = MAX_SILENCE;
        let Ok(events) = reader.feed(&data) else {
            return PartEnd::Broken;
        };
        if !events.is_empty() && tx.send(Ok(events)).await.is_err() {
            return PartEnd::CallerGone;
        }
    }
}
