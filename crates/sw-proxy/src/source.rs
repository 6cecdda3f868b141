//! Where an answer comes from: an endpoint, or another VM that passes on an endpoint's.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::Response;
use hyper::body::{Body as _, Incoming};
use hyper::header::CONTENT_LENGTH;
use sw_http::Exchange;
use sw_peer::relay::RelayEvent;
use sw_relay::{Attempt, AttemptOutcome};
use sw_unit::{Millis, Time};
use tokio::sync::mpsc;

use crate::attempt::Running;
use crate::{Dialect, ResponseHead};

/// Share of an idle time that a connection is kept.
const KEEP_ALIVE_SHARE: f64 = 0.6;
/// Longest time that an idle connection to an endpoint is kept.
const MAX_KEEP_ALIVE: Millis = Millis(4_000);
/// Time that an idle connection is kept if the endpoint does not say how long it keeps it.
const DEFAULT_KEEP_ALIVE: Millis = Millis(300);

/// An answer whose head has come.
pub(crate) struct Opened<D: Dialect, F: 'static> {
    pub(crate) head: Response<()>,
    pub(crate) source: Source<D, F>,
    /// When the first event is to be there.
    pub(crate) begins_by: Time,
}

/// What gives the body of an answer.
pub(crate) enum Source<D: Dialect, F: 'static> {
    /// An endpoint.
    Endpoint(Box<EndpointAnswer<D, F>>),
    /// Another VM.
    Vm(mpsc::Receiver<RelayEvent>),
}

/// An answer of an endpoint.
pub(crate) struct EndpointAnswer<D: Dialect, F: 'static> {
    pub(crate) running: Running<D, F>,
    pub(crate) exchange: Exchange,
    pub(crate) body: Incoming,
    pub(crate) head: ResponseHead,
}

/// What came next.
#[derive(Debug)]
pub(crate) enum Part {
    /// A part of the body.
    Chunk(Bytes),
    /// Its end.
    End,
    /// It broke off.
    Broken,
}

impl<D: Dialect, F: 'static> Opened<D, F> {
    /// The length of the body; `None` if it is not known.
    pub(crate) fn len(&self) -> Option<u64> {
        if let Source::Endpoint(answer) = &self.source {
            return answer.body.size_hint().exact();
        }
        let len = self.head.headers().get(CONTENT_LENGTH)?;
        len.to_str().ok()?.parse().ok()
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptOutcome::Broken`] or [`AttemptOutcome::Timeout`], after which the attempt has ended.
    pub(crate) async fn whole(mut self, left: Duration) -> Result<Response<Bytes>, AttemptOutcome> {
        let failed = self.head.status().is_server_error();
        match tokio::time::timeout(left, self.source.collect()).await {
            Ok(Some(body)) => {
                self.source.finish(if failed {
                    AttemptOutcome::Failed
                } else {
                    AttemptOutcome::Complete
                });
                Ok(self.head.map(|()| body))
            }
            Ok(None) => {
                self.source.finish(AttemptOutcome::Broken);
                Err(AttemptOutcome::Broken)
            }
            Err(_elapsed) => {
                self.source.finish(AttemptOutcome::Timeout);
                Err(AttemptOutcome::Timeout)
            }
        }
    }
}

impl<D: Dialect, F: 'static> Source<D, F> {
    /// The next part of the body.
    pub(crate) async fn next(&mut self) -> Part {
        match self {
            Self::Endpoint(answer) => match answer.body.frame().await {
                Some(Ok(frame)) => Part::Chunk(frame.into_data().unwrap_or_default()),
                Some(Err(_broken)) => Part::Broken,
                None => Part::End,
            },
            Self::Vm(events) => match events.recv().await {
                Some(RelayEvent::Chunk(data)) => Part::Chunk(data),
                Some(RelayEvent::End(Ok(()))) => Part::End,
                Some(_) | None => Part::Broken,
            },
        }
    }

    /// Records that the first event came.
    pub(crate) fn began(&self) {
        if let Self::Endpoint(answer) = self {
            answer.running.began();
        }
    }

    /// The attempt at an endpoint, to record what is seen of it.
    pub(crate) fn attempt_mut(&mut self) -> Option<&mut Attempt> {
        match self {
            Self::Endpoint(answer) => answer.running.attempt_mut(),
            Self::Vm(_) => None,
        }
    }

    /// Ends the attempt; the connection to an endpoint is kept after a whole answer.
    pub(crate) fn finish(self, outcome: AttemptOutcome) {
        let Self::Endpoint(answer) = self else {
            return;
        };
        if matches!(outcome, AttemptOutcome::Complete | AttemptOutcome::Failed) {
            keep(answer.exchange, &answer.head);
        }
        answer.running.finish(outcome);
    }

    /// The whole body; `None` if it breaks off.
    async fn collect(&mut self) -> Option<Bytes> {
        let mut buf = BytesMut::new();
        loop {
            match self.next().await {
                Part::Chunk(data) => buf.extend_from_slice(&data),
                Part::End => return Some(buf.freeze()),
                Part::Broken => return None,
            }
        }
    }
}

/// Keeps a connection after a whole answer, if the endpoint does.
fn keep(exchange: Exchange, marks: &ResponseHead) {
    if marks.closes_connection {
        return;
    }
    let keep_alive = marks
        .keep_alive
        .map(|keep| Millis((keep.0 as f64 * KEEP_ALIVE_SHARE) as u64));
    let limit = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).min(MAX_KEEP_ALIVE);
    exchange.give_back_for(Duration::from_millis(limit.0));
}
