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

use crate::attempt::AttemptGuard;
use crate::{Dialect, ResponseHead};

/// Share of an idle time that a connection is kept.
const KEEP_ALIVE_SHARE: f64 = 0.6;
/// Longest time that an idle connection to an endpoint is kept.
const MAX_KEEP_ALIVE: Millis = Millis(4_000);
/// Time that an idle connection is kept if the endpoint does not say how long it keeps it.
const DEFAULT_KEEP_ALIVE: Millis = Millis(300);

/// An answer whose head has come.
pub(crate) struct IncomingResponse<D: Dialect, F: 'static> {
    pub(crate) head: Response<()>,
    pub(crate) source: BodySource<D, F>,
    /// When the first event is to be there.
    pub(crate) first_event_deadline: Time,
}

/// What gives the body of an answer.
pub(crate) enum BodySource<D: Dialect, F: 'static> {
    /// An endpoint.
    Endpoint(Box<EndpointResponse<D, F>>),
    /// Another VM.
    Vm(mpsc::Receiver<RelayEvent>),
}

/// An answer of an endpoint.
pub(crate) struct EndpointResponse<D: Dialect, F: 'static> {
    pub(crate) guard: AttemptGuard<D, F>,
    pub(crate) exchange: Exchange,
    pub(crate) body: Incoming,
    pub(crate) head: ResponseHead,
}

/// What came next.
#[derive(Debug)]
pub(crate) enum BodyPart {
    /// A part of the body.
    Chunk(Bytes),
    /// Its end.
    End,
    /// It broke off.
    Broken,
}

impl<D: Dialect, F: 'static> IncomingResponse<D, F> {
    /// The length of the body; `None` if it is not known.
    pub(crate) fn body_len(&self) -> Option<u64> {
        if let BodySource::Endpoint(response) = &self.source {
            return response.body.size_hint().exact();
        }
        let len = self.head.headers().get(CONTENT_LENGTH)?;
        len.to_str().ok()?.parse().ok()
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptOutcome::Broken`] or [`AttemptOutcome::Timeout`], after which the attempt has ended.
    pub(crate) async fn read_body(mut self, remaining: Duration) -> Result<Response<Bytes>, AttemptOutcome> {
        let failed = self.head.status().is_server_error();
        match tokio::time::timeout(remaining, self.source.collect()).await {
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

impl<D: Dialect, F: 'static> BodySource<D, F> {
    /// The next part of the body.
    pub(crate) async fn next(&mut self) -> BodyPart {
        match self {
            Self::Endpoint(response) => match response.body.frame().await {
                Some(Ok(frame)) => BodyPart::Chunk(frame.into_data().unwrap_or_default()),
                Some(Err(_broken)) => BodyPart::Broken,
                None => BodyPart::End,
            },
            Self::Vm(events) => match events.recv().await {
                Some(RelayEvent::Chunk(data)) => BodyPart::Chunk(data),
                Some(RelayEvent::End(Ok(()))) => BodyPart::End,
                Some(_) | None => BodyPart::Broken,
            },
        }
    }

    /// Records that the first event came.
    pub(crate) fn on_first_event(&self) {
        if let Self::Endpoint(response) = self {
            response.guard.on_first_event();
        }
    }

    /// The attempt at an endpoint, to record what is seen of it.
    pub(crate) fn attempt_mut(&mut self) -> Option<&mut Attempt> {
        match self {
            Self::Endpoint(response) => response.guard.attempt_mut(),
            Self::Vm(_) => None,
        }
    }

    /// Ends the attempt; the connection to an endpoint is kept after a whole answer.
    pub(crate) fn finish(self, outcome: AttemptOutcome) {
        let Self::Endpoint(response) = self else {
            return;
        };
        if matches!(outcome, AttemptOutcome::Complete | AttemptOutcome::Failed) {
            keep_connection(response.exchange, &response.head);
        }
        response.guard.finish(outcome);
    }

    /// The whole body; `None` if it breaks off.
    async fn collect(&mut self) -> Option<Bytes> {
        let mut buf = BytesMut::new();
        loop {
            match self.next().await {
                BodyPart::Chunk(data) => buf.extend_from_slice(&data),
                BodyPart::End => return Some(buf.freeze()),
                BodyPart::Broken => return None,
            }
        }
    }
}

/// Keeps a connection after a whole answer, if the endpoint does.
fn keep_connection(exchange: Exchange, head: &ResponseHead) {
    if head.closes_connection {
        return;
    }
    let keep_alive = head
        .keep_alive
        .map(|keep| Millis((keep.0 as f64 * KEEP_ALIVE_SHARE) as u64));
    let limit = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).min(MAX_KEEP_ALIVE);
    exchange.give_back_for(Duration::from_millis(limit.0));
}
