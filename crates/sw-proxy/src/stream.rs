//! Relays streamed responses to callers.
//!
//! A separate task reads from the endpoint and writes to the caller, so that it detects at once if either stalls or
//! disconnects. A resumable stream is relayed in complete events and resumed at another endpoint if it breaks off or
//! stalls.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::CONTENT_LENGTH;
use sw_http::{BodyError, channel};
use sw_peer::relay::Silence;
use sw_relay::{AttemptHistory, AttemptOutcome, EndpointEntry, RouteKind, SoftwareVersion, StallDetector};
use sw_store::Feed;
use sw_unit::{Millis, Time};
use tokio::sync::mpsc;

use crate::active::ActiveStage;
use crate::attempt::BufferedRequest;
use crate::continuation::{self, FirstEvent, StreamFormat};
use crate::incoming::{BodyPart, BodySource, IncomingResponse};
use crate::paths::{self, Awaited};
use crate::request::HttpResponse;
use crate::state::ProxyState;
use crate::{Dialect, EventSplitter, EventTooLongError, resumption, telemetry};

mod outcome;
mod resume;

use outcome::{ChunkOutcome, ResumeTarget, SourceFailure, StreamEvent};

/// Why a stream ends whose caller has closed its connection.
const CALLER_GONE: &str = "caller_gone";

/// A pause between two chunks of a stream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StreamPause {
    /// Its length.
    pub(crate) duration: Millis,
    /// Number of events of the attempt before it.
    pub(crate) after_events: u32,
}

type Sender = mpsc::Sender<Result<Bytes, BodyError>>;

/// Spawns a task that relays the body, and returns the response for the caller.
pub(crate) fn relay_response<D: Dialect, F: Feed>(
    state: &Rc<ProxyState<D, F>>,
    request: BufferedRequest,
    response: IncomingResponse<D, F>,
    history: AttemptHistory,
) -> HttpResponse {
    let (tx, body) = channel();
    let is_resumable = request.admitted.route.kind == RouteKind::Resumable && response.head.status().is_success();
    let mut head = response.head;
    if let Some(software) = &response.software {
        head.extensions_mut().insert(software.clone());
    }
    let format = StreamFormat::of(&head);
    if is_resumable {
        // The events of another endpoint may have other lengths.
        head.headers_mut().remove(CONTENT_LENGTH);
    }
    let relay = StreamRelay {
        state: Rc::clone(state),
        format,
        source_has_event: false,
        silence: None,
        pending: None,
        has_started: false,
        endpoint: response.source.endpoint().cloned(),
        software: response.software,
        events: EventSplitter::default(),
        last_chunk_at: None,
        longest_pause: None,
        stall: is_resumable.then(|| StallDetector::new(response.first_event_deadline)),
        is_resumable,
        request,
        history,
    };
    tokio::task::spawn_local(relay.run(response.source, tx));
    head.map(|()| body)
}

/// Task that relays a response body to the caller.
struct StreamRelay<D: Dialect, F> {
    state: Rc<ProxyState<D, F>>,
    request: BufferedRequest,
    history: AttemptHistory,
    events: EventSplitter,
    /// Format of the body that is sent to the caller.
    format: StreamFormat,
    /// Whether the current source has sent an event.
    source_has_event: bool,
    /// The silence of the VM that relays the current source.
    silence: Option<Silence>,
    /// Part of the current source that was received and not relayed yet.
    pending: Option<BodyPart>,
    last_chunk_at: Option<Time>,
    /// Longest time between two chunks of a stream that this VM reads from the endpoint, and the chunk before it.
    longest_pause: Option<StreamPause>,
    /// The software version of the current source; `None` if it does not state one.
    software: Option<SoftwareVersion>,
    /// The endpoint that sends the current source; `None` if another VM relays it.
    endpoint: Option<EndpointEntry>,
    /// Whether the caller got an event of this response.
    has_started: bool,
    /// Detects that the stream has stalled; `None` if it has and there was no better place for it.
    stall: Option<StallDetector>,
    /// Whether the stream can be resumed; only complete events are relayed then.
    is_resumable: bool,
}

/// Waits for this long; forever if there is no limit.
async fn sleep_or_pend(limit: Option<Millis>) {
    match limit {
        Some(limit) => tokio::time::sleep(Duration::from_millis(limit.0)).await,
        None => std::future::pending().await,
    }
}

/// Waits until the path to an endpoint that stays silent is lost.
async fn wait_path_lost<D: Dialect, F: 'static>(state: &Rc<ProxyState<D, F>>, endpoint: Option<&EndpointEntry>) {
    match endpoint {
        Some(endpoint) => paths::wait_lost(state, endpoint, Awaited::Event).await,
        None => std::future::pending().await,
    }
}

impl<D: Dialect, F: Feed> StreamRelay<D, F> {
    async fn run(mut self, mut source: BodySource<D, F>, tx: Sender) {
        loop {
            let failure = match self.next(&mut source, &tx).await {
                StreamEvent::Part(BodyPart::Chunk(data)) => {
                    self.record_chunk_time(&mut source);
                    match self.relay_chunk(&data, &tx).await {
                        ChunkOutcome::Accepted => continue,
                        ChunkOutcome::TooLong => SourceFailure::broken("endless_event"),
                        ChunkOutcome::NotContinued => SourceFailure::broken("not_continued"),
                        ChunkOutcome::NotRecorded => SourceFailure::not_recorded(),
                        ChunkOutcome::CallerGone => return self.log_end(CALLER_GONE),
                    }
                }
                StreamEvent::Part(BodyPart::End) => match self.end_fault(&source) {
                    None => {
                        source.finish(AttemptOutcome::Complete);
                        return self.log_end("complete");
                    }
                    Some(reason) => SourceFailure::broken(reason),
                },
                StreamEvent::Part(BodyPart::Broken) => SourceFailure::broken("broken"),
                StreamEvent::Part(BodyPart::Silent(silence)) => {
                    self.on_silent(silence);
                    continue;
                }
                StreamEvent::Stalled(Some(target)) if self.silence.is_some() => {
                    if let Some(next) = self.leave_silent(*target, &mut source, &tx).await {
                        source = next;
                    }
                    continue;
                }
                StreamEvent::Stalled(Some(target)) => SourceFailure::stalled(*target),
                StreamEvent::Stalled(None) => {
                    self.on_no_target();
                    continue;
                }
                StreamEvent::Timeout => {
                    source.finish(AttemptOutcome::Timeout);
                    return self.abort("timeout", &tx).await;
                }
                StreamEvent::CallerGone => return self.log_end(CALLER_GONE),
            };
            source.finish(failure.outcome);
            match self.resume(failure.target, &tx).await {
                Some(next) => source = next,
                None => return self.abort(failure.reason, &tx).await,
            }
        }
    }

    async fn next(&mut self, source: &mut BodySource<D, F>, tx: &Sender) -> StreamEvent<D, F> {
        let remaining = self.request.admitted.remaining(self.state.now());
        // Checked first, because a source that is always ready would keep the timeout below from being polled.
        if remaining == Millis(0) {
            return StreamEvent::Timeout;
        }
        if let Some(part) = self.pending.take() {
            return StreamEvent::Part(part);
        }
        tokio::select! {
            biased;
            () = tx.closed() => StreamEvent::CallerGone,
            part = source.next() => StreamEvent::Part(part),
            () = tokio::time::sleep(Duration::from_millis(remaining.0)) => StreamEvent::Timeout,
            target = self.wait_stalled() => StreamEvent::Stalled(target.map(Box::new)),
        }
    }

    /// Records that the VM that relays the current source is silent.
    fn on_silent(&mut self, silence: Silence) {
        self.silence = Some(silence).filter(|silence| self.is_resumable && silence.is_current());
        if silence.is_first {
            telemetry::log_source_silent(&self.request.admitted, silence, self.state.draining_for());
        }
    }

    /// Records that there is no better place for the stream than its source.
    ///
    /// A silence that lasts is reported again.
    fn on_no_target(&mut self) {
        self.silence = None;
        let now = self.state.now();
        let has_stalled = |stall: &mut StallDetector| stall.event_timeout(now) == Millis(0);
        if self.stall.as_mut().is_some_and(has_stalled) {
            self.stall = None;
        }
    }

    /// Waits until the stream has stalled, or its endpoint or the VM that relays it is out of reach, and returns the target
    /// for resuming it.
    async fn wait_stalled(&mut self) -> Option<ResumeTarget<D, F>> {
        if self.silence.is_some() {
            return self.resume_target(true).await;
        }
        if !self.is_resumable {
            return std::future::pending().await;
        }
        loop {
            let wait = self.stall.as_mut().map(|stall| stall.event_timeout(self.state.now()));
            if wait == Some(Millis(0)) {
                return self.resume_target(false).await;
            }
            tokio::select! {
                () = sleep_or_pend(wait) => {}
                () = wait_path_lost(&self.state, self.endpoint.as_ref()) => return self.resume_target(true).await,
            }
        }
    }

    /// Relays a chunk; of a resumable stream only the events that are complete.
    async fn relay_chunk(&mut self, data: &Bytes, tx: &Sender) -> ChunkOutcome {
        let complete = if self.is_resumable {
            match self.push_events(data) {
                Some(complete) => complete,
                None => return ChunkOutcome::NotContinued,
            }
        } else if self.request.admitted.route.kind.is_streaming() {
            self.events.check_len(data).map(|()| data.clone())
        } else {
            Ok(data.clone())
        };
        let Ok(complete) = complete else {
            return ChunkOutcome::TooLong;
        };
        if complete.is_empty() {
            return ChunkOutcome::Accepted;
        }
        if let Some(stall) = &mut self.stall {
            stall.on_event(&self.request.admitted, self.state.now());
        }
        if self.is_resumable && !self.has_started {
            if !self.pin_software().await {
                self.events = EventSplitter::default();
                return ChunkOutcome::NotRecorded;
            }
            self.has_started = true;
            self.source_has_event = true;
        }
        self.request.active.set_stage(ActiveStage::Delivery);
        let Some(complete) = self.hold(complete, tx).await else {
            return ChunkOutcome::CallerGone;
        };
        let sent = tx.send(Ok(complete)).await;
        self.request.active.set_stage(ActiveStage::Body);
        match sent {
            Ok(()) => ChunkOutcome::Accepted,
            Err(_caller_gone) => ChunkOutcome::CallerGone,
        }
    }

    /// Waits until the caller has read enough that a part may be held for it; `None` if it is gone.
    async fn hold(&self, data: Bytes, tx: &Sender) -> Option<Bytes> {
        // The parts that another VM relays were held when they arrived.
        if self.endpoint.is_none() {
            return Some(data);
        }
        tokio::select! {
            data = self.request.window.hold(data) => Some(data),
            () = tx.closed() => None,
        }
    }

    /// Returns the events that are complete with a chunk of a resumable stream; `None` if they do not continue it.
    fn push_events(&mut self, data: &Bytes) -> Option<Result<Bytes, EventTooLongError>> {
        if self.source_has_event || !self.has_started {
            return Some(self.events.push(data));
        }
        let last_id = self.events.last_event_id().map(str::to_owned);
        let complete = match self.events.push(data) {
            Ok(complete) => complete,
            Err(too_long) => return Some(Err(too_long)),
        };
        match continuation::check_first_event(&complete, last_id.as_deref()) {
            FirstEvent::Continues => self.source_has_event = true,
            FirstEvent::Missing => {}
            FirstEvent::Differs => {
                self.events.reset_last_id(last_id);
                return None;
            }
        }
        Some(Ok(complete))
    }

    /// Pins the request to the software version whose first event goes to the caller, and returns whether it may.
    async fn pin_software(&mut self) -> bool {
        let admitted = &mut self.request.admitted;
        let Some(software) = self.software.clone() else {
            return true;
        };
        // The VM to which the caller is connected records it for its region.
        let is_new = !admitted.forwarded && !admitted.resumed;
        if is_new && !resumption::on_stream_begins(&self.state, admitted, &software).await {
            resumption::place(&self.state, admitted);
            return false;
        }
        admitted.is_placed = false;
        admitted.pinned_software.get_or_insert(software);
        true
    }

    /// Returns why the end of the body is not the end of the response; `None` if it is.
    ///
    /// A body without a length and chunks ends with its connection, whether the endpoint finished it or broke off.
    fn end_fault(&self, source: &BodySource<D, F>) -> Option<&'static str> {
        let is_stream = self.request.admitted.route.kind.is_streaming();
        let may_have_broken = is_stream && !source.is_framed();
        if self.events.has_partial() && (self.is_resumable || may_have_broken) {
            return Some("incomplete_event");
        }
        // An endpoint that sends no event of a partly relayed stream does not show whether the stream was complete.
        let continues_nothing = self.is_resumable && self.has_started && !self.source_has_event;
        (may_have_broken && self.last_chunk_at.is_none() || continues_nothing).then_some("no_event")
    }

    /// Records the arrival time of a chunk.
    fn record_chunk_time(&mut self, source: &mut BodySource<D, F>) {
        self.silence = None;
        let now = self.state.now();
        self.request.active.on_chunk(now);
        if !self.request.admitted.route.kind.is_streaming() {
            return;
        }
        if self.last_chunk_at.is_none() {
            source.on_first_event();
        }
        let Some(attempt) = source.attempt_mut() else {
            return;
        };
        let mut relay = self.state.relay.borrow_mut();
        match self.last_chunk_at {
            None => relay.on_first_event(attempt, now),
            Some(last) => {
                let pause = now.since(last);
                if self.longest_pause.is_none_or(|longest| longest.duration < pause) {
                    self.longest_pause = Some(StreamPause {
                        duration: pause,
                        after_events: attempt.events,
                    });
                }
                relay.record_gap(attempt, pause, now);
            }
        }
        self.last_chunk_at = Some(now);
    }

    /// Logs the end of the stream: its longest pause, and for a request by which a caller resumed a stream.
    fn log_end(&self, ended: &'static str) {
        let admitted = &self.request.admitted;
        if let Some(pause) = self.longest_pause {
            let endpoint = self.endpoint.as_ref().map_or("", |endpoint| endpoint.id.as_str());
            telemetry::log_longest_pause(admitted, endpoint, pause);
        }
        if admitted.resumed && !admitted.forwarded {
            let age = self.state.now().since(admitted.received_at);
            telemetry::log_resume_end(admitted, ended, self.has_started, age);
        }
    }

    async fn abort(&self, reason: &'static str, tx: &Sender) {
        let age = self.state.now().since(self.request.admitted.received_at);
        telemetry::log_abort(&self.request.admitted, reason, age);
        self.log_end(reason);
        // Fails only if the caller is gone.
        let _left = tx.send(Err(BodyError)).await;
    }
}
