//! Answering other VMs.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{Method, Request, Uri};
use sw_error::{Kind, Refusal};
use sw_peer::relay::{RelayCall, RelayEvent, RelayHandler, Watched};
use sw_relay::{Grant, Heartbeat, QueueEstimate, Reservation, ReservationUpdate};
use sw_store::Snapshot;
use sw_unit::EndpointId;
use tokio::sync::mpsc;

use crate::attempt::Call;
use crate::core::{Active, Core};
use crate::forward::{FIRST_HOP, header_list, header_map};
use crate::request::{Answer, answer};
use crate::{Dialect, exchange, store, telemetry};

/// Answers calls from other VMs with the state of this one.
pub(crate) struct PeerHandler<D, F>(pub(crate) Rc<Core<D, F>>);

impl<D, F> Clone for PeerHandler<D, F> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

impl<D: Dialect, F: 'static> RelayHandler for PeerHandler<D, F> {
    fn exchange(&self, beat: Heartbeat) -> Heartbeat {
        let from = beat.from.clone();
        exchange::heard(&self.0, beat);
        self.0.relay.borrow().heartbeat(Some(&from), self.0.now())
    }

    fn snapshot(&self) -> Snapshot {
        let mirror = self.0.mirror.borrow();
        Snapshot {
            revision: mirror.revision(),
            items: mirror.items().cloned().collect(),
        }
    }

    async fn watch(&self, after: u64, wait: Duration) -> Watched {
        store::watch(&self.0, after, wait).await
    }

    fn reserve(&self, reservation: &Reservation) -> Result<Grant, QueueEstimate> {
        let mut relay = self.0.relay.borrow_mut();
        relay.reserve(reservation, self.0.now())
    }

    fn release(&self, endpoint: &EndpointId, ticket: u64, release: ReservationUpdate) {
        let now = self.0.now();
        let paused = self
            .0
            .relay
            .borrow_mut()
            .on_reservation_update(endpoint, ticket, release, now);
        if let Some(until) = paused {
            telemetry::paused(endpoint.as_str(), until.since(now));
        }
    }

    async fn relay(&self, call: RelayCall, events: mpsc::Sender<RelayEvent>) {
        let active = Active::new(&self.0);
        let received = self.0.now();
        let mut id = Arc::from("");
        let end = match run(&self.0, call, &mut id).await {
            Ok(answer) => pass_on(answer, &events).await,
            Err(refusal) => {
                telemetry::refused(&id, "", refusal, self.0.now().since(received));
                Some(RelayEvent::End(Err(refusal)))
            }
        };
        if let Some(end) = end {
            // Fails only if the other VM has given the request up.
            let _closed = events.send(end).await;
        }
        tokio::task::spawn_local(async move {
            sw_peer::delivered(&events).await;
            drop(active);
        });
    }
}

/// Runs a forwarded request; `id` is set as soon as it is known.
async fn run<D: Dialect, F: 'static>(
    core: &Rc<Core<D, F>>,
    call: RelayCall,
    id: &mut Arc<str>,
) -> Result<Answer, Refusal> {
    if call.hops > FIRST_HOP {
        return Err(Kind::ForwardLoop.into());
    }
    let method = Method::from_bytes(call.method.as_bytes()).map_err(|_malformed| Kind::BadRequest)?;
    let target: Uri = call.target.parse().map_err(|_malformed| Kind::BadRequest)?;
    let mut request = Request::new(());
    *request.method_mut() = method;
    *request.uri_mut() = target;
    *request.headers_mut() = header_map(call.headers);
    let (parts, ()) = request.into_parts();
    let mut head = core
        .dialect
        .request_head(&parts)
        .map_err(|_malformed| Kind::BadRequest)?;
    *id = Arc::clone(&head.id);
    if core.leaving_for().is_some() {
        return Err(Kind::Stopping.into());
    }
    head.remaining = Some(call.left);
    let mut admitted = core.relay.borrow_mut().admit(head, core.now(), true)?;
    // The VM that forwarded it sends it elsewhere.
    admitted.max_attempts = 1;
    admitted.resumed = call.resume_after.is_some();
    let call = Call {
        admitted,
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        body: call.body,
        resume_after: call.resume_after,
        elsewhere: call.elsewhere,
    };
    answer(core, call).await
}

/// Passes an answer on, and returns its end; `None` if it broke off.
async fn pass_on(answer: Answer, events: &mpsc::Sender<RelayEvent>) -> Option<RelayEvent> {
    let (head, mut body) = answer.into_parts();
    let headers = header_list(&head.headers);
    let status = head.status.as_u16();
    events.send(RelayEvent::Head { status, headers }).await.ok()?;
    while let Some(frame) = body.frame().await {
        let data: Bytes = frame.ok()?.into_data().unwrap_or_default();
        events.send(RelayEvent::Chunk(data)).await.ok()?;
    }
    Some(RelayEvent::End(Ok(())))
}
