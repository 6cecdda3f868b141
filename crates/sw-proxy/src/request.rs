//! One request, from its headers to its answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::http::request::Parts;
use hyper::{Request, Response, Uri};
use sw_error::{Kind, Refusal};
use sw_http::{ReadBodyError, ResponseBody, read_body};
use sw_relay::{AdmittedRequest, AttemptHistory, AttemptOutcome, Choice, EndpointEntry, RequestHead};
use sw_unit::{Millis, Time};

use crate::answer::{refusal_answer, strip_hop_headers};
use crate::attempt::{self, Call};
use crate::core::{Active, Core};
use crate::reserve::{Reserved, reserve};
use crate::source::Opened;
use crate::{Dialect, HeadError, forward, stream, telemetry};

/// An answer up to this length is read whole before any of it is passed on.
const WHOLE_ANSWER: u64 = 64 << 10;
/// Part of the stop's grace after which streams are refused, because they might not end before the process does.
const LATE_STOP_SHARE: f64 = 0.35;
/// Time to come back for callers that reached a VM that is stopping.
const ELSEWHERE: Millis = Millis(50);
pub(crate) type Answer = Response<ResponseBody>;

/// Answers a caller's request.
pub(crate) async fn serve<D: Dialect, F: 'static>(core: Rc<Core<D, F>>, req: Request<Incoming>) -> Answer {
    let _active = Active::new(&core);
    let received = core.now();
    let (parts, body) = req.into_parts();
    let head = core.dialect.request_head(&parts);
    let id = head
        .as_ref()
        .map_or_else(|_| Arc::from(""), |head| Arc::clone(&head.id));
    match run(&core, parts, head, body, received).await {
        Ok(answer) => answer,
        Err((refusal, route)) => {
            telemetry::refused(&id, &route, refusal, core.now().since(received));
            refusal_answer(&core.dialect, refusal)
        }
    }
}

async fn run<D: Dialect, F: 'static>(
    core: &Rc<Core<D, F>>,
    parts: Parts,
    head: Result<RequestHead, HeadError>,
    body: Incoming,
    received: Time,
) -> Result<Answer, (Refusal, String)> {
    let unnamed = |refusal: Refusal| (refusal, String::new());
    let head = head.map_err(|_malformed| unnamed(Kind::BadRequest.into()))?;
    let admitted = core.relay.borrow_mut().admit(head, received, false).map_err(unnamed)?;
    let route = admitted.route.name.clone();
    let answer = async {
        check_stopping(core, &admitted)?;
        let body = read(core, &admitted, body).await?;
        let call = Call {
            admitted,
            method: parts.method,
            target: origin_form(&parts.uri),
            headers: end_to_end(parts.headers),
            body,
            resume_after: None,
            elsewhere: false,
        };
        answer(core, call).await
    };
    answer.await.map_err(|refusal| (refusal, route))
}

/// Sends a request until it is answered or given up.
///
/// # Errors
///
/// Returns why it is given up; kinds that say "not run" are true.
pub(crate) async fn answer<D: Dialect, F: 'static>(core: &Rc<Core<D, F>>, call: Call) -> Result<Answer, Refusal> {
    let mut tried = AttemptHistory::default();
    // An endpoint's own failure is passed on if nothing better comes.
    let mut failure: Option<Answer> = None;
    loop {
        let now = core.now();
        if call.admitted.remaining(now) == Millis(0) {
            return failure.ok_or_else(|| tried.final_refusal(None));
        }
        let choice = core.relay.borrow_mut().choose(&call.admitted, &tried, now);
        let choice = match choice {
            Ok(choice) => choice,
            Err(refusal) => return failure.ok_or_else(|| tried.final_refusal(Some(refusal))),
        };
        let revision = core.mirror.borrow().revision();
        telemetry::chosen(&call.admitted, &choice, revision, now);
        match send(core, &call, &choice, &mut tried).await {
            Ok(answer) if answer.status().is_server_error() && call.admitted.route.kind.is_repeatable() => {
                failure = Some(answer);
            }
            Ok(answer) => return Ok(answer),
            Err(_ended) => {}
        }
        if !core.relay.borrow_mut().withdraw_retry(&call.admitted, &tried) {
            return failure.ok_or_else(|| tried.final_refusal(None));
        }
    }
}

/// Sends a request where `choice` says, and waits for the head of the answer.
///
/// # Errors
///
/// Returns how the attempt ended.
pub(crate) async fn open<D: Dialect, F: 'static>(
    core: &Rc<Core<D, F>>,
    call: &Call,
    choice: &Choice,
    tried: &mut AttemptHistory,
) -> Result<Opened<D, F>, AttemptOutcome> {
    match choice {
        Choice::Endpoint {
            endpoint, coordinator, ..
        } => {
            let reserved = match coordinator {
                Some(coordinator) => reserve(core, call, coordinator, tried).await?,
                None => None,
            };
            open_endpoint(core, call, endpoint, reserved, tried).await
        }
        Choice::Vm {
            region,
            vm,
            address,
            expected_ms,
            ..
        } => {
            let may_go_elsewhere = call.may_go_elsewhere(tried);
            let opened = forward::open(core, call, *address, *expected_ms, may_go_elsewhere).await;
            match &opened {
                Err(forward::Failure::Refused(refusal)) => tried.record_vm_refusal(vm, region, *refusal),
                _ => tried.record_vm(vm, 1, opened.as_ref().err().map(forward::Failure::outcome)),
            }
            log_opened(core, call, opened.map_err(|failure| failure.outcome()))
        }
    }
}

/// Sends a request to an endpoint, in whose queue a place may be reserved, and waits for the head of the answer.
///
/// # Errors
///
/// Returns how the attempt ended.
pub(crate) async fn open_endpoint<D: Dialect, F: 'static>(
    core: &Rc<Core<D, F>>,
    call: &Call,
    endpoint: &EndpointEntry,
    reserved: Option<Reserved<D, F>>,
    tried: &mut AttemptHistory,
) -> Result<Opened<D, F>, AttemptOutcome> {
    let opened = attempt::open(core, call, endpoint, reserved, call.may_go_elsewhere(tried)).await;
    tried.record_endpoint(&endpoint.id, opened.as_ref().err().copied());
    log_opened(core, call, opened)
}

fn log_opened<D: Dialect, F: 'static>(
    core: &Core<D, F>,
    call: &Call,
    opened: Result<Opened<D, F>, AttemptOutcome>,
) -> Result<Opened<D, F>, AttemptOutcome> {
    if let Ok(opened) = &opened {
        let age = core.now().since(call.admitted.received_at);
        telemetry::answered(&call.admitted, opened.head.status().as_u16(), age);
    }
    opened
}

async fn send<D: Dialect, F: 'static>(
    core: &Rc<Core<D, F>>,
    call: &Call,
    choice: &Choice,
    tried: &mut AttemptHistory,
) -> Result<Answer, AttemptOutcome> {
    let opened = open(core, call, choice, tried).await?;
    let whole = !call.admitted.route.kind.is_streaming() && opened.len().is_some_and(|len| len <= WHOLE_ANSWER);
    if !whole {
        return Ok(stream::start(core, call.clone(), opened, tried.clone()));
    }
    let left = Duration::from_millis(call.admitted.remaining(core.now()).0);
    let answer = opened.whole(left).await?;
    Ok(answer.map(ResponseBody::from))
}

/// Refuses, late in a planned stop, what could not end before the process does.
fn check_stopping<D: Dialect, F>(core: &Core<D, F>, admitted: &AdmittedRequest) -> Result<(), Refusal> {
    let late = Millis((core.options().stop_grace.0 as f64 * LATE_STOP_SHARE) as u64);
    match core.leaving_for() {
        Some(leaving_for) if leaving_for > late && admitted.route.kind.is_streaming() => {
            Err(Refusal::after(Kind::Stopping, ELSEWHERE))
        }
        _ => Ok(()),
    }
}

/// Counts the bytes of a body while it is held.
struct Held<'a, D, F> {
    core: &'a Core<D, F>,
    len: u64,
}

impl<D, F> Drop for Held<'_, D, F> {
    fn drop(&mut self) {
        let held = self.core.body_bytes.get();
        self.core.body_bytes.set(held.saturating_sub(self.len));
    }
}

async fn read<D: Dialect, F>(core: &Core<D, F>, admitted: &AdmittedRequest, body: Incoming) -> Result<Bytes, Refusal> {
    let limit = core.relay.borrow().table().map_or(0, |table| table.limits.max_body.0);
    let expected = body.size_hint().exact().unwrap_or_default();
    if expected > limit {
        return Err(Kind::BodyTooLarge.into());
    }
    if expected == 0 && body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if core.body_bytes.get() + expected > core.options().body_memory.0 {
        return Err(Kind::Overloaded.into());
    }
    core.body_bytes.set(core.body_bytes.get() + expected);
    let _held = Held { core, len: expected };
    let left = Duration::from_millis(admitted.remaining(core.now()).0);
    read_body(body, limit, left).await.map_err(|error| match error {
        ReadBodyError::TooLarge => Kind::BodyTooLarge.into(),
        ReadBodyError::Timeout => Kind::ClientTimeout.into(),
        ReadBodyError::Broken => Kind::BadRequest.into(),
    })
}

/// The path and query of a target, which is what endpoints get.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}

fn end_to_end(mut headers: hyper::HeaderMap) -> hyper::HeaderMap {
    strip_hop_headers(&mut headers);
    headers.remove(CONTENT_LENGTH);
    headers
}
