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
use sw_relay::{AttemptHistory, AttemptOutcome, Choice, EndpointEntry, RouteKind, SoftwareVersion, StallDetector};
use sw_store::Feed;
use sw_unit::{Millis, RegionId, Time};
use tokio::sync::mpsc;

use crate::active::ActiveStage;
use crate::attempt::BufferedRequest;
use crate::continuation::{self, FirstEvent, StreamFormat};
use crate::incoming::{BodyPart, BodySource, IncomingResponse};
use crate::paths::{self, Awaited};
use crate::request::{HttpResponse, start_attempt, start_endpoint_attempt};
use crate::reservation::reserve;
use crate::state::ProxyState;
use crate::{Dialect, EventSplitter, EventTooLongError, resumption, telemetry};

mod outcome;

use outcome::{ChunkOutcome, ResumeTarget, SourceFailure, StreamEvent};

/// Why a stream ends whose caller has closed its connection.
const CALLER_GONE: &str = "caller_gone";

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
        silent_for: None,
        has_started: false,
        endpoint: response.source.endpoint().cloned(),
        software: response.software,
        events: EventSplitter::default(),
        last_chunk_at: None,
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
    /// Format of the body that has begun.
    format: StreamFormat,
    /// Whether the current source has sent an event.
    source_has_event: bool,
    /// For how long nothing was received from the VM that relays the current source, if its connection is silent.
    silent_for: Option<Millis>,
    last_chunk_at: Option<Time>,
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
                StreamEvent::Part(BodyPart::Silent(silent_for)) => {
                    self.on_silent(silent_for);
                    continue;
                }
                StreamEvent::Stalled(Some(target)) => SourceFailure::stalled(*target),
                // It is told again of a source that stays silent.
                StreamEvent::Stalled(None) if self.silent_for.take().is_some() => continue,
                StreamEvent::Stalled(None) => {
                    self.stall = None;
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
        tokio::select! {
            biased;
            () = tx.closed() => StreamEvent::CallerGone,
            part = source.next() => StreamEvent::Part(part),
            () = tokio::time::sleep(Duration::from_millis(remaining.0)) => StreamEvent::Timeout,
            target = self.wait_stalled() => StreamEvent::Stalled(target.map(Box::new)),
        }
    }

    /// Records that nothing is received from the VM that relays the current source.
    fn on_silent(&mut self, silent_for: Millis) {
        self.silent_for = Some(silent_for).filter(|_| self.is_resumable);
        let draining_for = self.state.draining_for();
        telemetry::log_source_silent(&self.request.admitted, silent_for, draining_for);
    }

    /// Waits until the stream has stalled, or its endpoint or the VM that relays it is out of reach, and returns the target
    /// for resuming it.
    async fn wait_stalled(&mut self) -> Option<ResumeTarget<D, F>> {
        if self.silent_for.is_some() {
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

    /// Returns another endpoint of this region for resuming the stream, or another VM if the source is out of reach;
    /// `None` if it is better to keep waiting.
    ///
    /// A stalled stream is abandoned only for a granted reservation (or an endpoint that needs none), because it cannot
    /// be picked up again. While draining, this VM keeps waiting for the stream unless its source is out of reach.
    async fn resume_target(&self, is_out_of_reach: bool) -> Option<ResumeTarget<D, F>> {
        let is_draining = self.state.draining_for().is_some();
        if is_draining && !is_out_of_reach || !self.may_continue() {
            return None;
        }
        let choice = self.choose_retry();
        let choice = choice.inspect_err(|why| self.log_wait(is_out_of_reach, why)).ok()?;
        let coordinator = match &choice {
            Choice::Endpoint { endpoint, .. } if self.history.has_endpoint(&endpoint.id) => return None,
            Choice::Endpoint { coordinator, .. } => coordinator.clone(),
            Choice::Vm { .. } if is_out_of_reach => None,
            Choice::Vm { .. } => return None,
        };
        let Some(coordinator) = coordinator else {
            return Some(ResumeTarget {
                choice,
                reservation: None,
            });
        };
        let reservation = reserve(&self.state, &self.request, &coordinator, &mut self.history.clone()).await;
        let reservation = reservation.ok().flatten();
        reservation.is_some().then_some(ResumeTarget { choice, reservation })
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
        let sent = tx.send(Ok(complete)).await;
        self.request.active.set_stage(ActiveStage::Body);
        match sent {
            Ok(()) => ChunkOutcome::Accepted,
            Err(_caller_gone) => ChunkOutcome::CallerGone,
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

    /// Returns whether the rest of the stream may come from another endpoint.
    fn may_continue(&self) -> bool {
        let admitted = &self.request.admitted;
        let is_pinned = admitted.pinned_software.is_some();
        !self.has_started || is_pinned || self.state.relay.borrow().is_unversioned(&admitted.service)
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
        // Whether a stream that has begun was complete is not known from an endpoint that sends nothing of it.
        let continues_nothing = self.is_resumable && self.has_started && !self.source_has_event;
        (may_have_broken && self.last_chunk_at.is_none() || continues_nothing).then_some("no_event")
    }

    /// Records the arrival time of a chunk.
    fn record_chunk_time(&mut self, source: &mut BodySource<D, F>) {
        self.silent_for = None;
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
            Some(last) => relay.record_gap(attempt, now.since(last), now),
        }
        self.last_chunk_at = Some(now);
    }

    /// Resumes the stream elsewhere, first at `target`; `None` if that is not possible or the caller is gone.
    async fn resume(&mut self, mut target: Option<ResumeTarget<D, F>>, tx: &Sender) -> Option<BodySource<D, F>> {
        if !self.is_resumable {
            return None;
        }
        if !self.may_continue() {
            return self.give_up("version_unknown");
        }
        self.events.discard_partial();
        self.last_chunk_at = None;
        self.silent_for = None;
        self.source_has_event = false;
        self.request.last_event_id = self.events.last_event_id().map(str::to_owned);
        // Without the id of an event, another endpoint would start again.
        if self.has_started && self.request.last_event_id.is_none() {
            return self.give_up("no_event_id");
        }
        while self.request.admitted.remaining(self.state.now()) > Millis(0) {
            let retried = tokio::select! {
                retried = self.retry(target.take()) => retried,
                () = tx.closed() => return self.give_up(CALLER_GONE),
            };
            let retried = match retried {
                Ok(retried) => retried,
                // Before its first event, the stream may still begin at another version.
                Err(_refused) if !self.has_started && self.request.admitted.unplace() => continue,
                Err(why) => return self.give_up(why),
            };
            if let Some(response) = retried {
                self.stall = Some(StallDetector::new(response.first_event_deadline));
                self.software = response.software;
                self.endpoint = response.source.endpoint().cloned();
                return Some(response.source);
            }
        }
        self.give_up("timeout")
    }

    /// Logs why the stream waits for a source that is out of reach.
    fn log_wait(&self, is_out_of_reach: bool, why: &'static str) {
        if is_out_of_reach {
            let left = self.request.admitted.remaining(self.state.now());
            telemetry::log_stream_waits(&self.request.admitted, why, left);
        }
    }

    /// Logs why the stream is not resumed.
    fn give_up<T>(&self, why: &'static str) -> Option<T> {
        let left = self.request.admitted.remaining(self.state.now());
        telemetry::log_not_resumed(&self.request.admitted, &self.history, why, left);
        None
    }

    /// Withdraws a retry from the budget and chooses its target.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    fn choose_retry(&self) -> Result<Choice, &'static str> {
        let admitted = &self.request.admitted;
        let mut relay = self.state.relay.borrow_mut();
        if !relay.withdraw_retry(admitted, &self.history) {
            return Err("no_retry");
        }
        let choice = relay.choose(admitted, &self.history, self.state.now());
        choice.map_err(|refusal| refusal.kind.into())
    }

    /// Retries the request; `None` if the retry failed.
    ///
    /// # Errors
    ///
    /// Returns why no retry is possible.
    async fn retry(
        &mut self,
        target: Option<ResumeTarget<D, F>>,
    ) -> Result<Option<IncomingResponse<D, F>>, &'static str> {
        let (choice, reservation) = match target {
            Some(ResumeTarget { choice, reservation }) => (choice, Some(reservation)),
            None => (self.choose_retry()?, None),
        };
        self.log_resumed(choice.remote_region(), choice.target());
        let response = match (&choice, reservation) {
            (Choice::Endpoint { endpoint, .. }, Some(reservation)) => {
                start_endpoint_attempt(&self.state, &self.request, endpoint, reservation, &mut self.history).await
            }
            _ => start_attempt(&self.state, &self.request, &choice, &mut self.history).await,
        };
        Ok(response.ok().filter(|response| self.format.matches(&response.head)))
    }

    /// Logs that the stream is resumed at `target`, which is in this VM's region unless another one is given.
    fn log_resumed(&self, region: Option<&RegionId>, target: &str) {
        let last_event_id = self.request.last_event_id.as_deref().unwrap_or_default();
        let options = self.state.options();
        let region = region.unwrap_or(&options.region);
        telemetry::log_resume(&self.state, &self.request.admitted, region, target, last_event_id);
    }

    /// Logs the end of a request by which a caller resumed a stream.
    fn log_end(&self, ended: &'static str) {
        let admitted = &self.request.admitted;
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
