//! Responses from an endpoint, or from another VM that relays one.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::Response;
use hyper::body::{Body as _, Incoming};
use hyper::header::CONTENT_LENGTH;
use sw_http::Exchange;
use sw_peer::relay::{RelayEvent, Silence};
use sw_relay::{Attempt, AttemptOutcome, EndpointEntry, SoftwareVersion};
use sw_unit::Time;
use tokio::sync::mpsc;

use crate::attempt::AttemptGuard;
use crate::{Dialect, ResponseHead, connections};

/// A response whose head was received.
pub(crate) struct IncomingResponse<D: Dialect, F: 'static> {
    pub(crate) head: Response<()>,
    pub(crate) source: BodySource<D, F>,
    /// The software version of the endpoint; `None` if it does not state one.
    pub(crate) software: Option<SoftwareVersion>,
    /// Time by which the first event is expected.
    pub(crate) first_event_deadline: Time,
}

/// Source of a response body.
pub(crate) enum BodySource<D: Dialect, F: 'static> {
    /// An endpoint.
    Endpoint(Box<EndpointResponse<D, F>>),
    /// Another VM.
    Vm(mpsc::Receiver<RelayEvent>),
}

/// Response of an endpoint.
pub(crate) struct EndpointResponse<D: Dialect, F: 'static> {
    pub(crate) guard: AttemptGuard<D, F>,
    pub(crate) exchange: Exchange,
    pub(crate) body: Incoming,
    /// First bytes of the body, if they were received and not relayed yet.
    pub(crate) first_chunk: Option<Bytes>,
    pub(crate) head: ResponseHead,
}

/// Next part of a response body.
#[derive(Debug)]
pub(crate) enum BodyPart {
    /// Bytes of the body.
    Chunk(Bytes),
    /// The VM that relays the body is silent, although it was asked for a reply.
    Silent(Silence),
    /// End of the body.
    End,
    /// The body broke off.
    Broken,
}

impl<D: Dialect, F: 'static> IncomingResponse<D, F> {
    /// Returns the length of the body if it is known.
    pub(crate) fn body_len(&self) -> Option<u64> {
        if let BodySource::Endpoint(response) = &self.source {
            return response.body.size_hint().exact();
        }
        let len = self.head.headers().get(CONTENT_LENGTH)?;
        len.to_str().ok()?.parse().ok()
    }

    /// Waits for the first bytes of a successful response that ends with its connection; without any, the endpoint may
    /// have broken off after the head.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptOutcome::Broken`] or [`AttemptOutcome::Timeout`].
    pub(crate) async fn wait_for_body(mut self, remaining: Duration) -> Result<Self, AttemptOutcome> {
        if self.source.is_framed() || !self.head.status().is_success() {
            return Ok(self);
        }
        let outcome = match tokio::time::timeout(remaining, self.source.next()).await {
            Ok(BodyPart::Chunk(data)) => {
                self.source.put_back(data);
                return Ok(self);
            }
            // The body of another VM is framed.
            Ok(BodyPart::End | BodyPart::Broken | BodyPart::Silent(_)) => AttemptOutcome::Broken,
            Err(_elapsed) => AttemptOutcome::Timeout,
        };
        self.source.finish(outcome);
        Err(outcome)
    }

    /// Reads the complete body and ends the attempt.
    ///
    /// # Errors
    ///
    /// Returns [`AttemptOutcome::Broken`] or [`AttemptOutcome::Timeout`].
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

impl<D: Dialect, F: 'static> EndpointResponse<D, F> {
    async fn next(&mut self) -> BodyPart {
        if let Some(data) = self.first_chunk.take() {
            return BodyPart::Chunk(data);
        }
        match self.body.frame().await {
            Some(Ok(frame)) => {
                self.guard.on_chunk();
                BodyPart::Chunk(frame.into_data().unwrap_or_default())
            }
            Some(Err(_broken)) => BodyPart::Broken,
            None => BodyPart::End,
        }
    }
}

impl<D: Dialect, F: 'static> BodySource<D, F> {
    /// Receives the next part of the body.
    pub(crate) async fn next(&mut self) -> BodyPart {
        match self {
            Self::Endpoint(response) => response.next().await,
            Self::Vm(events) => match events.recv().await {
                Some(RelayEvent::Chunk(data)) => BodyPart::Chunk(data),
                Some(RelayEvent::End(Ok(()))) => BodyPart::End,
                Some(RelayEvent::Silent(silence)) => BodyPart::Silent(silence),
                Some(_) | None => BodyPart::Broken,
            },
        }
    }

    /// Receives the next part of the body that is not a silence.
    pub(crate) async fn next_unless_silent(&mut self) -> BodyPart {
        loop {
            let part = self.next().await;
            if !matches!(part, BodyPart::Silent(_)) {
                return part;
            }
        }
    }

    /// Puts back the first part of the body.
    fn put_back(&mut self, data: Bytes) {
        if let Self::Endpoint(response) = self {
            response.first_chunk = Some(data);
        }
    }

    /// Records the first event.
    pub(crate) fn on_first_event(&self) {
        if let Self::Endpoint(response) = self {
            response.guard.on_first_event();
        }
    }

    /// Returns whether the end of the body can be told from a broken connection.
    pub(crate) fn is_framed(&self) -> bool {
        match self {
            Self::Endpoint(response) => response.guard.is_framed(),
            Self::Vm(_) => true,
        }
    }

    /// Returns the endpoint that sends the body; `None` if another VM relays it.
    pub(crate) fn endpoint(&self) -> Option<&EndpointEntry> {
        match self {
            Self::Endpoint(response) => response.guard.endpoint(),
            Self::Vm(_) => None,
        }
    }

    /// Returns the attempt, to record its progress; `None` if another VM makes it.
    pub(crate) fn attempt_mut(&mut self) -> Option<&mut Attempt> {
        match self {
            Self::Endpoint(response) => response.guard.attempt_mut(),
            Self::Vm(_) => None,
        }
    }

    /// Ends the attempt; the connection to an endpoint is kept if the response is complete.
    pub(crate) fn finish(self, outcome: AttemptOutcome) {
        let Self::Endpoint(response) = self else {
            return;
        };
        let EndpointResponse {
            guard, exchange, head, ..
        } = *response;
        let (state, endpoint) = (Rc::clone(guard.state()), guard.endpoint().cloned());
        // The request must have ended before the connection counts as idle.
        guard.finish(outcome);
        let is_complete = matches!(outcome, AttemptOutcome::Complete | AttemptOutcome::Failed);
        if let Some(endpoint) = endpoint.filter(|_| is_complete) {
            connections::keep(&state, &endpoint, exchange, &head);
        }
    }

    /// Reads the complete body; `None` if it breaks off.
    async fn collect(&mut self) -> Option<Bytes> {
        let mut buf = BytesMut::new();
        loop {
            match self.next_unless_silent().await {
                BodyPart::Chunk(data) => buf.extend_from_slice(&data),
                BodyPart::End => return Some(buf.freeze()),
                BodyPart::Broken | BodyPart::Silent(_) => return None,
            }
        }
    }
}
