//! Passing on an answer as it comes.
//!
//! A task of its own reads from the endpoint and writes to the caller, so that a pause or the end of either is seen
//! at once. A stream that may be resumed is passed on by whole events, and goes on at another endpoint if it breaks.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use sw_http::{BodyError, channel};
use sw_relay::{Outcome, RouteKind, Tried};
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
    /// Whether only whole events are passed on, so that the stream can be resumed.
    by_event: bool,
}

/// What happened next.
enum Next {
    Part(Part),
    Timeout,
    CallerLeft,
}

impl<D: Dialect, F: 'static> Pump<D, F> {
    async fn run(mut self, mut source: Source<D, F>, tx: Sender) {
        loop {
            let reason = match self.next(&mut source, &tx).await {
                Next::Part(Part::Chunk(data)) => {
                    self.observe(&mut source);
                    let data = if self.by_event { self.events.feed(&data) } else { data };
                    if !data.is_empty() && tx.send(Ok(data)).await.is_err() {
                        return;
                    }
                    continue;
                }
                Next::Part(Part::End) if !self.events.has_partial() => return source.finish(Outcome::Whole),
                Next::Part(Part::End) => "incomplete_event",
                Next::Part(Part::Broken) => "broken",
                Next::Timeout => {
                    source.finish(Outcome::Timeout);
                    return self.break_off("timeout", &tx).await;
                }
                Next::CallerLeft => return,
            };
            source.finish(Outcome::Broken);
            match self.resume(&tx).await {
                Some(next) => source = next,
                None => return self.break_off(reason, &tx).await,
            }
        }
    }

    async fn next(&self, source: &mut Source<D, F>, tx: &Sender) -> Next {
        let left = Duration::from_millis(self.call.admitted.left(self.core.now()).0);
        tokio::select! {
            biased;
            () = tx.closed() => Next::CallerLeft,
            part = source.next() => Next::Part(part),
            () = tokio::time::sleep(left) => Next::Timeout,
        }
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

    /// Goes on with a broken stream elsewhere; `None` if that is not possible or the caller left.
    async fn resume(&mut self, tx: &Sender) -> Option<Source<D, F>> {
        if !self.by_event {
            return None;
        }
        self.events.drop_partial();
        self.last_chunk = None;
        self.call.resume_after = self.events.last_id().map(str::to_owned);
        while self.call.admitted.left(self.core.now()) > Millis(0) {
            if let Some(opened) = self.reopen(tx).await? {
                return Some(opened.source);
            }
        }
        None
    }

    /// Sends the request once more; the outer `None` if that is not allowed or the caller left, the inner one if it
    /// failed.
    async fn reopen(&mut self, tx: &Sender) -> Option<Option<Opened<D, F>>> {
        let admitted = &self.call.admitted;
        let choice = {
            let mut relay = self.core.relay.borrow_mut();
            if !relay.take_retry(admitted, &self.tried) {
                return None;
            }
            relay.choose(admitted, &self.tried, self.core.now()).ok()?
        };
        let last_event = self.call.resume_after.as_deref().unwrap_or_default();
        telemetry::resumed(admitted, &choice, last_event);
        let opened = tokio::select! {
            opened = open(&self.core, &self.call, &choice, &mut self.tried) => opened,
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
