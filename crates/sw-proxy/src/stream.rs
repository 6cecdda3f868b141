//! Passing on an answer as it comes.
//!
//! A task of its own reads from the endpoint and writes to the caller, so that a pause or the end of either is seen
//! at once. A stream that may be resumed is passed on by whole events, and goes on at another endpoint if it breaks or
//! stalls.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use sw_http::{BodyError, channel};
use sw_relay::{AttemptHistory, AttemptOutcome, Choice, EndpointEntry, RouteKind, StallDetector};
use sw_unit::{Millis, Time};
use tokio::sync::mpsc;

use crate::attempt::Call;
use crate::core::{Active, Core};
use crate::request::{Answer, open, open_endpoint};
use crate::reserve::{Reserved, reserve};
use crate::source::{Opened, Part, Source};
use crate::{Dialect, EventSplitter, telemetry};

type Sender = mpsc::Sender<Result<Bytes, BodyError>>;

/// Begins to pass on an answer.
pub(crate) fn start<D: Dialect, F: 'static>(
    core: &Rc<Core<D, F>>,
    call: Call,
    opened: Opened<D, F>,
    tried: AttemptHistory,
) -> Answer {
    let (tx, body) = channel();
    let by_event = call.admitted.route.kind == RouteKind::Resumable && opened.head.status().is_success();
    let pump = Pump {
        core: Rc::clone(core),
        events: EventSplitter::default(),
        last_chunk: None,
        stall: by_event.then(|| StallDetector::new(opened.begins_by)),
        _active: Active::new(core),
        by_event,
        call,
        tried,
    };
    tokio::task::spawn_local(pump.run(opened.source, tx));
    opened.head.map(|()| body)
}

struct Pump<D: Dialect, F> {
    core: Rc<Core<D, F>>,
    _active: Active<D, F>,
    call: Call,
    tried: AttemptHistory,
    events: EventSplitter,
    last_chunk: Option<Time>,
    /// Tells whether the stream has stalled; `None` if it cannot go on elsewhere.
    stall: Option<StallDetector>,
    /// Whether only whole events are passed on, so that the stream can be resumed.
    by_event: bool,
}

/// What happened next.
enum Next<D: Dialect, F: 'static> {
    Part(Part),
    /// The stream has stalled; the place is where it can go on, if there is one.
    Stalled(Option<Place<D, F>>),
    Timeout,
    CallerLeft,
}

/// A place at another endpoint.
struct Place<D: Dialect, F: 'static> {
    endpoint: EndpointEntry,
    reserved: Option<Reserved<D, F>>,
}

/// Why a source is given up.
struct End<D: Dialect, F: 'static> {
    reason: &'static str,
    outcome: AttemptOutcome,
    /// Where the stream goes on, if that is decided.
    place: Option<Place<D, F>>,
}

impl<D: Dialect, F> End<D, F> {
    fn broken(reason: &'static str) -> Self {
        Self {
            reason,
            outcome: AttemptOutcome::Broken,
            place: None,
        }
    }

    fn stalled(place: Place<D, F>) -> Self {
        Self {
            reason: "stalled",
            outcome: AttemptOutcome::Timeout,
            place: Some(place),
        }
    }
}

/// What became of a chunk.
enum Passed {
    /// The caller gets it, or it is kept until its event is whole.
    On,
    /// It belongs to no event.
    Endless,
    CallerLeft,
}

impl<D: Dialect, F: 'static> Pump<D, F> {
    async fn run(mut self, mut source: Source<D, F>, tx: Sender) {
        loop {
            let end = match self.next(&mut source, &tx).await {
                Next::Part(Part::Chunk(data)) => {
                    self.observe(&mut source);
                    match self.pass(&data, &tx).await {
                        Passed::On => continue,
                        Passed::Endless => End::broken("endless_event"),
                        Passed::CallerLeft => return,
                    }
                }
                Next::Part(Part::End) if !self.events.has_partial() => return source.finish(AttemptOutcome::Complete),
                Next::Part(Part::End) => End::broken("incomplete_event"),
                Next::Part(Part::Broken) => End::broken("broken"),
                Next::Stalled(Some(place)) => End::stalled(place),
                Next::Stalled(None) => {
                    self.stall = None;
                    continue;
                }
                Next::Timeout => {
                    source.finish(AttemptOutcome::Timeout);
                    return self.break_off("timeout", &tx).await;
                }
                Next::CallerLeft => return,
            };
            source.finish(end.outcome);
            match self.resume(end.place, &tx).await {
                Some(next) => source = next,
                None => return self.break_off(end.reason, &tx).await,
            }
        }
    }

    async fn next(&mut self, source: &mut Source<D, F>, tx: &Sender) -> Next<D, F> {
        let left = self.call.admitted.remaining(self.core.now());
        // A source that always has more must not outlast the time.
        if left == Millis(0) {
            return Next::Timeout;
        }
        tokio::select! {
            biased;
            () = tx.closed() => Next::CallerLeft,
            part = source.next() => Next::Part(part),
            () = tokio::time::sleep(Duration::from_millis(left.0)) => Next::Timeout,
            place = self.stalled() => Next::Stalled(place),
        }
    }

    /// Waits until the stream has stalled, and returns the place where it can go on.
    async fn stalled(&mut self) -> Option<Place<D, F>> {
        let Some(stall) = &mut self.stall else {
            return std::future::pending().await;
        };
        loop {
            let wait = stall.event_timeout(self.core.now());
            if wait == Millis(0) {
                return self.place().await;
            }
            tokio::time::sleep(Duration::from_millis(wait.0)).await;
        }
    }

    /// A place in the queue of another endpoint of this region; `None` if the stream is better waited for.
    ///
    /// The stream is left only for a place that is sure: what is left cannot be taken up again. A stop waits for it.
    async fn place(&self) -> Option<Place<D, F>> {
        if self.core.leaving_for().is_some() {
            return None;
        }
        let Some(Choice::Endpoint {
            endpoint, coordinator, ..
        }) = self.elsewhere()
        else {
            return None;
        };
        if self.tried.has_endpoint(&endpoint.id) {
            return None;
        }
        let Some(coordinator) = coordinator else {
            return Some(Place {
                endpoint,
                reserved: None,
            });
        };
        let reserved = reserve(&self.core, &self.call, &coordinator, &mut self.tried.clone()).await;
        let reserved = reserved.ok().flatten();
        reserved.is_some().then_some(Place { endpoint, reserved })
    }

    /// Passes on what is whole of a chunk.
    async fn pass(&mut self, data: &Bytes, tx: &Sender) -> Passed {
        let whole = if self.by_event {
            self.events.feed(data)
        } else if self.call.admitted.route.kind.is_streaming() {
            self.events.measure(data).map(|()| data.clone())
        } else {
            Ok(data.clone())
        };
        let Ok(whole) = whole else {
            return Passed::Endless;
        };
        if whole.is_empty() {
            return Passed::On;
        }
        if let Some(stall) = &mut self.stall {
            stall.on_event(&self.call.admitted, self.core.now());
        }
        match tx.send(Ok(whole)).await {
            Ok(()) => Passed::On,
            Err(_caller_left) => Passed::CallerLeft,
        }
    }

    /// Learns from the time at which a chunk came.
    fn observe(&mut self, source: &mut Source<D, F>) {
        let now = self.core.now();
        if !self.call.admitted.route.kind.is_streaming() {
            return;
        }
        if self.last_chunk.is_none() {
            source.began();
        }
        let Some(attempt) = source.attempt_mut() else {
            return;
        };
        let mut relay = self.core.relay.borrow_mut();
        match self.last_chunk {
            None => relay.on_first_event(attempt, now),
            Some(last) => relay.record_gap(attempt, now.since(last), now),
        }
        self.last_chunk = Some(now);
    }

    /// Goes on elsewhere, first at `place`; `None` if that is not possible or the caller left.
    async fn resume(&mut self, mut place: Option<Place<D, F>>, tx: &Sender) -> Option<Source<D, F>> {
        if !self.by_event {
            return None;
        }
        self.events.drop_partial();
        self.last_chunk = None;
        self.call.resume_after = self.events.last_id().map(str::to_owned);
        while self.call.admitted.remaining(self.core.now()) > Millis(0) {
            let reopened = tokio::select! {
                reopened = self.reopen(place.take()) => reopened?,
                () = tx.closed() => return None,
            };
            if let Some(opened) = reopened {
                self.stall = Some(StallDetector::new(opened.begins_by));
                return Some(opened.source);
            }
        }
        None
    }

    /// Takes a retry and chooses where to go on; `None` if there is none of either.
    fn elsewhere(&self) -> Option<Choice> {
        let admitted = &self.call.admitted;
        let mut relay = self.core.relay.borrow_mut();
        if !relay.withdraw_retry(admitted, &self.tried) {
            return None;
        }
        relay.choose(admitted, &self.tried, self.core.now()).ok()
    }

    /// Sends the request once more; the outer `None` if it may not be sent, the inner one if it failed.
    async fn reopen(&mut self, place: Option<Place<D, F>>) -> Option<Option<Opened<D, F>>> {
        let opened = if let Some(Place { endpoint, reserved }) = place {
            self.log_resumed(endpoint.id.as_str());
            open_endpoint(&self.core, &self.call, &endpoint, reserved, &mut self.tried).await
        } else {
            let choice = self.elsewhere()?;
            self.log_resumed(choice.target());
            open(&self.core, &self.call, &choice, &mut self.tried).await
        };
        Some(opened.ok().filter(|opened| opened.head.status().is_success()))
    }

    fn log_resumed(&self, target: &str) {
        let last_event = self.call.resume_after.as_deref().unwrap_or_default();
        telemetry::resumed(&self.call.admitted, target, last_event);
    }

    async fn break_off(&self, reason: &'static str, tx: &Sender) {
        let age = self.core.now().since(self.call.admitted.received_at);
        telemetry::broke_off(&self.call.admitted, reason, age);
        // Fails only if the caller has left.
        let _left = tx.send(Err(BodyError)).await;
    }
}
