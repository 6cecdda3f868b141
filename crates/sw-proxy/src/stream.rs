//! Passing on an answer as it comes.
//!
//! A task of its own reads from the endpoint and writes to the caller, so that a pause or the end of either is seen
//! at once. A stream that may be resumed is passed on by whole events, and goes on at another endpoint if it breaks.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use sw_http::{BodyError, Exchange, ResponseBody, channel};
use sw_relay::{Choice, Outcome, RouteKind, Tried};
use sw_unit::{Millis, Time};
use tokio::sync::mpsc;

use crate::attempt::{Call, Opened, Running, open};
use crate::core::{Active, Core};
use crate::request::keep;
use crate::{AnswerHead, Dialect, EventSplitter, telemetry};

type Sender = mpsc::Sender<Result<Bytes, BodyError>>;

/// What is being passed on.
struct Source<D: Dialect, F> {
    running: Running<D, F>,
    exchange: Exchange,
    body: Incoming,
    head: AnswerHead,
    last_chunk: Option<Time>,
}

/// Begins to pass on an answer, and returns its body.
pub(crate) fn start<D: Dialect, F: 'static>(
    core: &Rc<Core<D, F>>,
    call: Call,
    opened: Opened<D, F>,
    tried: Tried,
) -> ResponseBody {
    let (tx, body) = channel();
    let pump = Pump {
        core: Rc::clone(core),
        events: EventSplitter::default(),
        _active: Active::new(core),
        by_event: call.admitted.route.kind == RouteKind::Resumable && opened.response.status().is_success(),
        call,
        tried,
    };
    tokio::task::spawn_local(pump.run(source(opened), tx));
    body
}

fn source<D: Dialect, F>(opened: Opened<D, F>) -> Source<D, F> {
    Source {
        running: opened.running,
        exchange: opened.exchange,
        body: opened.response.into_body(),
        head: opened.head,
        last_chunk: None,
    }
}

struct Pump<D: Dialect, F> {
    core: Rc<Core<D, F>>,
    _active: Active<D, F>,
    call: Call,
    tried: Tried,
    events: EventSplitter,
    /// Whether only whole events are passed on, so that the stream can be resumed.
    by_event: bool,
}

/// What happened next.
enum Next {
    Chunk(Bytes),
    End,
    Broken,
    Timeout,
    CallerLeft,
}

impl<D: Dialect, F: 'static> Pump<D, F> {
    async fn run(mut self, mut source: Source<D, F>, tx: Sender) {
        loop {
            match self.next(&mut source, &tx).await {
                Next::Chunk(data) => {
                    self.observe(&mut source);
                    let data = if self.by_event { self.events.feed(&data) } else { data };
                    if !data.is_empty() && tx.send(Ok(data)).await.is_err() {
                        return;
                    }
                }
                Next::End if self.events.has_partial() => {
                    if !self.resume(&mut source, "incomplete_event", &tx).await {
                        return;
                    }
                }
                Next::End => {
                    keep(source.exchange, &source.head);
                    source.running.finish(Outcome::Whole);
                    return;
                }
                Next::Broken => {
                    if !self.resume(&mut source, "broken", &tx).await {
                        return;
                    }
                }
                Next::Timeout => {
                    source.running.finish(Outcome::Timeout);
                    self.break_off("timeout", &tx).await;
                    return;
                }
                Next::CallerLeft => return,
            }
        }
    }

    async fn next(&self, source: &mut Source<D, F>, tx: &Sender) -> Next {
        let left = Duration::from_millis(self.call.admitted.left(self.core.now()).0);
        tokio::select! {
            biased;
            () = tx.closed() => Next::CallerLeft,
            frame = source.body.frame() => match frame {
                Some(Ok(frame)) => Next::Chunk(frame.into_data().unwrap_or_default()),
                Some(Err(_broken)) => Next::Broken,
                None => Next::End,
            },
            () = tokio::time::sleep(left) => Next::Timeout,
        }
    }

    /// Learns from the time at which a chunk came.
    fn observe(&self, source: &mut Source<D, F>) {
        let now = self.core.now();
        if !self.call.admitted.route.kind.streams() {
            return;
        }
        let Some(attempt) = source.running.attempt_mut() else {
            return;
        };
        let mut relay = self.core.relay.borrow_mut();
        match source.last_chunk {
            None => relay.first_event(attempt, now),
            Some(last) => relay.event_gap(attempt, now.since(last), now),
        }
        source.last_chunk = Some(now);
    }

    /// Goes on with a broken stream at another endpoint, and returns whether that was possible.
    async fn resume(&mut self, source: &mut Source<D, F>, reason: &'static str, tx: &Sender) -> bool {
        if !self.by_event {
            self.break_off(reason, tx).await;
            return false;
        }
        self.events.drop_partial();
        while let Some(opened) = self.reopen(tx).await {
            match opened {
                Ok(opened) => {
                    let before = std::mem::replace(source, self::source(opened));
                    before.running.finish(Outcome::Broken);
                    return true;
                }
                Err(_outcome) if self.call.admitted.left(self.core.now()) > Millis(0) => {}
                Err(_outcome) => break,
            }
        }
        self.break_off(reason, tx).await;
        false
    }

    /// Sends the request once more; `None` if that is not allowed or the caller left.
    async fn reopen(&mut self, tx: &Sender) -> Option<Result<Opened<D, F>, Outcome>> {
        let admitted = &self.call.admitted;
        let choice = {
            let mut relay = self.core.relay.borrow_mut();
            if !relay.take_retry(admitted, &self.tried) {
                return None;
            }
            relay.choose(admitted, &self.tried, self.core.now())
        };
        let Ok(Choice::Endpoint { endpoint, .. }) = choice else {
            return None;
        };
        let last_event = self.events.last_id();
        telemetry::resumed(admitted, endpoint.id.as_str(), last_event.unwrap_or_default());
        let opened = tokio::select! {
            opened = open(&self.core, &self.call, &endpoint, last_event, false) => opened,
            () = tx.closed() => return None,
        };
        self.tried
            .sent_to_endpoint(&endpoint.id, opened.as_ref().err().copied());
        Some(opened.and_then(|opened| {
            if opened.response.status().is_success() {
                Ok(opened)
            } else {
                Err(Outcome::Failed)
            }
        }))
    }

    async fn break_off(&self, reason: &'static str, tx: &Sender) {
        let age = self.core.now().since(self.call.admitted.received);
        telemetry::broke_off(&self.call.admitted, reason, age);
        // Fails only if the caller has left.
        let _left = tx.send(Err(BodyError)).await;
    }
}
