//! Passing on an answer as it comes.
//!
//! A task of its own reads from the endpoint and writes to the caller, so that a pause or the end of either is seen
//! at once. A stream that may be resumed is passed on by whole events, and goes on at another endpoint if it breaks or
//! stalls.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use sw_http::{BodyError, channel};
use sw_relay::{Choice, Outcome, RouteKind, StallWatch, Tried};
use sw_unit::{Millis, Time};
use tokio::sync::mpsc;

use crate::attempt::Call;
use crate::core::{Active, Core};
use crate::request::{Answer, open};
use crate::source::{Opened, Part, Source};
use crate::{Dialect, EventSplitter, telemetry};

type Sender = mpsc::Sender<Result<Bytes, BodyError>>;

/// Begins to pass on an answer.
pub(crate) fn start<D: Dialect, F: 'static>(
    core: &Rc<Core<D, F>>,
    call: Call,
    opened: Opened<D, F>,
    tried: Tried,
) -> Answer {
    let (tx, body) = channel();
    let by_event = call.admitted.route.kind == RouteKind::Resumable && opened.head.status().is_success();
    let pump = Pump {
        core: Rc::clone(core),
        events: EventSplitter::default(),
        last_chunk: None,
        stall: by_event.then(|| StallWatch::new(opened.begins_by)),
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
    tried: Tried,
    events: EventSplitter,
    last_chunk: Option<Time>,
    /// Tells whether the stream has stalled; `None` if it cannot go on elsewhere.
    stall: Option<StallWatch>,
    /// Whether only whole events are passed on, so that the stream can be resumed.
    by_event: bool,
}

/// What happened next.
enum Next {
    Part(Part),
    Stalled,
    Timeout,
    CallerLeft,
}

/// Why a source is given up.
struct End {
    reason: &'static str,
    outcome: Outcome,
    /// Where the stream goes on, if that is decided.
    choice: Option<Choice>,
}

impl End {
    fn broken(reason: &'static str) -> Self {
        Self {
            reason,
            outcome: Outcome::Broken,
            choice: None,
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
                Next::Part(Part::End) if !self.events.has_partial() => return source.finish(Outcome::Whole),
                Next::Part(Part::End) => End::broken("incomplete_event"),
                Next::Part(Part::Broken) => End::broken("broken"),
                Next::Stalled => match self.stalled() {
                    Some(end) => end,
                    None => continue,
                },
                Next::Timeout => {
                    source.finish(Outcome::Timeout);
                    return self.break_off("timeout", &tx).await;
                }
                Next::CallerLeft => return,
            };
            source.finish(end.outcome);
            match self.resume(end.choice, &tx).await {
                Some(next) => source = next,
                None => return self.break_off(end.reason, &tx).await,
            }
        }
    }

    async fn next(&self, source: &mut Source<D, F>, tx: &Sender) -> Next {
        let now = self.core.now();
        let left = self.call.admitted.left(now);
        let stall = self.stall.map(|stall| stall.stalls_at().since(now));
        let (wait, late) = match stall.filter(|stall| *stall < left) {
            Some(stall) => (stall, Next::Stalled),
            None => (left, Next::Timeout),
        };
        // A source that always has more must not outlast the time.
        if wait == Millis(0) {
            return late;
        }
        tokio::select! {
            biased;
            () = tx.closed() => Next::CallerLeft,
            part = source.next() => Next::Part(part),
            () = tokio::time::sleep(Duration::from_millis(wait.0)) => late,
        }
    }

    /// Passes on what is whole of a chunk.
    async fn pass(&mut self, data: &Bytes, tx: &Sender) -> Passed {
        let whole = if self.by_event {
            self.events.feed(data)
        } else if self.call.admitted.route.kind.streams() {
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
            stall.event(&self.call.admitted, self.core.now());
        }
        match tx.send(Ok(whole)).await {
            Ok(()) => Passed::On,
            Err(_caller_left) => Passed::CallerLeft,
        }
    }

    /// Decides where a stalled stream goes on; `None` if it is better waited for where it is.
    fn stalled(&mut self) -> Option<End> {
        let choice = self.elsewhere().filter(|choice| !self.tried.has(choice));
        if choice.is_none() {
            self.stall = None;
        }
        Some(End {
            reason: "stalled",
            outcome: Outcome::Timeout,
            choice: Some(choice?),
        })
    }

    /// Learns from the time at which a chunk came.
    fn observe(&mut self, source: &mut Source<D, F>) {
        let now = self.core.now();
        if !self.call.admitted.route.kind.streams() {
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
            None => relay.first_event(attempt, now),
            Some(last) => relay.event_gap(attempt, now.since(last), now),
        }
        self.last_chunk = Some(now);
    }

    /// Goes on elsewhere, first where `choice` says; `None` if that is not possible or the caller left.
    async fn resume(&mut self, mut choice: Option<Choice>, tx: &Sender) -> Option<Source<D, F>> {
        if !self.by_event {
            return None;
        }
        self.events.drop_partial();
        self.last_chunk = None;
        self.call.resume_after = self.events.last_id().map(str::to_owned);
        while self.call.admitted.left(self.core.now()) > Millis(0) {
            let choice = match choice.take() {
                Some(choice) => choice,
                None => self.elsewhere()?,
            };
            if let Some(opened) = self.reopen(&choice, tx).await? {
                self.stall = Some(StallWatch::new(opened.begins_by));
                return Some(opened.source);
            }
        }
        None
    }

    /// Takes a retry and chooses where to go on; `None` if there is none of either.
    fn elsewhere(&self) -> Option<Choice> {
        let admitted = &self.call.admitted;
        let mut relay = self.core.relay.borrow_mut();
        if !relay.take_retry(admitted, &self.tried) {
            return None;
        }
        relay.choose(admitted, &self.tried, self.core.now()).ok()
    }

    /// Sends the request once more; the outer `None` if the caller left, the inner one if it failed.
    async fn reopen(&mut self, choice: &Choice, tx: &Sender) -> Option<Option<Opened<D, F>>> {
        let last_event = self.call.resume_after.as_deref().unwrap_or_default();
        telemetry::resumed(&self.call.admitted, choice, last_event);
        let opened = tokio::select! {
            opened = open(&self.core, &self.call, choice, &mut self.tried) => opened,
            () = tx.closed() => return None,
        };
        Some(opened.ok().filter(|opened| opened.head.status().is_success()))
    }

    async fn break_off(&self, reason: &'static str, tx: &Sender) {
        let age = self.core.now().since(self.call.admitted.received);
        telemetry::broke_off(&self.call.admitted, reason, age);
        // Fails only if the caller has left.
        let _left = tx.send(Err(BodyError)).await;
    }
}
