//! Handlers of calls from other VMs.

use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::{Method, Request, Uri};
use spdlog::prelude::*;
use sw_error::{Kind, Refusal};
use sw_http::ResponseWindow;
use sw_limit::HeldMemory;
use sw_peer::relay::{CallRefusal, RelayCall, RelayEvent, RelayHandler, StoreCopy, WatchOutcome, WatchQuery};
use sw_relay::{
    Borrower, Grant, Heartbeat, LoanReply, QueueEstimate, QuotaLoan, QuotaReply, QuotaTake, Replication, Reservation,
    ReservationUpdate, SoftwareVersion, StreamOrigin,
};
use sw_store::Feed;
use sw_unit::{Digest, EndpointId, Millis};
use tokio::sync::mpsc;

use crate::active::{ActiveRequest, ActiveStage};
use crate::attempt::BufferedRequest;
use crate::forward::{MAX_HOPS, header_list, header_map};
use crate::peer_calls::{self, Direction};
use crate::request::{HttpResponse, send_with_retries};
use crate::state::ProxyState;
use crate::{Dialect, heartbeat, quota, resumption, store, telemetry, transfer};

/// Time after which to send a request again for whose body there is no memory; those that hold it have then had a moment to end.
const BODY_RETRY: Millis = Millis(1_000);

/// Handles calls from other VMs.
pub(crate) struct PeerHandler<D, F>(pub(crate) Rc<ProxyState<D, F>>);

impl<D, F> Clone for PeerHandler<D, F> {
    fn clone(&self) -> Self {
        Self(Rc::clone(&self.0))
    }
}

impl<D: Dialect, F: Feed> RelayHandler for PeerHandler<D, F> {
    fn on_heartbeat(&self, heartbeat: Heartbeat) -> Heartbeat {
        let from = heartbeat.from.clone();
        heartbeat::on_heartbeat(&self.0, heartbeat);
        let reply = self.0.relay.borrow_mut().reply(&from, self.0.now());
        peer_calls::count_heartbeat(&reply, Direction::Sent);
        reply
    }

    fn store_copy(&self, takes_chunks: bool) -> Option<StoreCopy> {
        let mut snapshot = self.0.mirror.borrow().snapshot(self.0.now());
        let announced: Vec<_> = self.0.mirror.borrow().announced().cloned().collect();
        if !takes_chunks && !announced.is_empty() {
            return None;
        }
        let large = if takes_chunks {
            transfer::take_large_of_snapshot(&self.0, &mut snapshot)
        } else {
            Vec::new()
        };
        Some(StoreCopy {
            snapshot,
            large,
            announced,
            leaving: self.0.relay.borrow().registry().leaving().collect(),
        })
    }

    async fn watch(&self, query: WatchQuery) -> WatchOutcome {
        store::serve_watch(&self.0, query).await
    }

    fn chunks(&self, digests: &[Digest]) -> Vec<Bytes> {
        transfer::send_chunks(&self.0, digests)
    }

    fn reserve(&self, reservation: &Reservation) -> Result<Grant, QueueEstimate> {
        let outcome = self.0.relay.borrow_mut().reserve(reservation, self.0.now());
        telemetry::log_rate_limit_changes(&self.0, "");
        telemetry::log_rejection_limit_changes(&self.0, "");
        if let Err(estimate) = &outcome
            && estimate.late_streams > 0.0
        {
            telemetry::log_declined_for_pauses(reservation, *estimate);
        }
        outcome
    }

    fn on_reservation_update(&self, endpoint: &EndpointId, entry_id: u64, update: ReservationUpdate) {
        let mut relay = self.0.relay.borrow_mut();
        relay.on_reservation_update(endpoint, entry_id, update, self.0.now());
    }

    fn take_quota(&self, take: &QuotaTake) -> QuotaReply {
        quota::grant(&self.0, take)
    }

    fn lend_quota(&self, borrower: &Borrower, asked: &[QuotaLoan]) -> LoanReply {
        self.0.relay.borrow_mut().lend_quota(borrower, asked, self.0.now())
    }

    fn on_slowdown(&self, endpoint: &EndpointId, percent: u32) {
        let now = self.0.now();
        self.0.relay.borrow_mut().on_peer_slowdown(endpoint, percent, now);
    }

    fn on_origins(&self, origins: Vec<StreamOrigin>) {
        let mut relay = self.0.relay.borrow_mut();
        for origin in origins {
            relay.record_origin(origin, Replication::Replicated, self.0.now());
        }
    }

    fn find_origin(&self, stream: &str) -> Option<StreamOrigin> {
        self.0.relay.borrow().stream_origin(stream)
    }

    fn on_accept_failed(&self, error: &std::io::Error) {
        let reason = error.to_string();
        warn!("peer_accept_failed", kv: { reason = reason.as_str() });
    }

    fn hold_body(&self, from: IpAddr, len: u64) -> Result<HeldMemory, CallRefusal> {
        let held = self.0.callers.payer(from).hold_body(len, self.0.now());
        held.map_err(|_limit| CallRefusal {
            refusal: Refusal::with_retry_after(Kind::Overloaded, BODY_RETRY),
            version: self.0.relay.borrow().version(),
        })
    }

    async fn on_forwarded_request(&self, from: IpAddr, call: RelayCall, events: mpsc::Sender<RelayEvent>) {
        let received = self.0.now();
        let active = self.0.active.begin(received);
        let mut id = Arc::from("");
        let end = match serve_forwarded(&self.0, &active, from, call, &mut id).await {
            Ok(response) => relay_response(response, &events).await.unwrap_or(RelayEvent::Broken),
            Err(refusal) => {
                telemetry::log_refusal(&self.0, &id, "", refusal, self.0.now().since(received));
                let version = self.0.relay.borrow().version();
                RelayEvent::End(Err(CallRefusal { refusal, version }))
            }
        };
        active.set_stage(ActiveStage::Delivery);
        // Fails only if the other VM has cancelled the request.
        let _closed = events.send(end).await;
        tokio::task::spawn_local(async move {
            sw_peer::wait_until_delivered(&events).await;
            drop(active);
        });
    }
}

/// Serves a forwarded request; `id` is set as soon as the request id is known.
async fn serve_forwarded<D: Dialect, F: Feed>(
    state: &Rc<ProxyState<D, F>>,
    active: &ActiveRequest,
    from: IpAddr,
    call: RelayCall,
    id: &mut Arc<str>,
) -> Result<HttpResponse, Refusal> {
    if call.hops > MAX_HOPS {
        return Err(Kind::ForwardLoop.into());
    }
    let method = Method::from_bytes(call.method.as_bytes()).map_err(|_malformed| Kind::BadRequest)?;
    let target: Uri = call.target.parse().map_err(|_malformed| Kind::BadRequest)?;
    let mut request = Request::new(());
    *request.method_mut() = method;
    *request.uri_mut() = target;
    *request.headers_mut() = header_map(call.headers);
    let (parts, ()) = request.into_parts();
    let mut head = state
        .dialect
        .request_head(&parts)
        .map_err(|_malformed| Kind::BadRequest)?;
    *id = Arc::clone(&head.id);
    heartbeat::on_version_heard(state, "", call.version);
    if state.draining_for().is_some() {
        return Err(Kind::Stopping.into());
    }
    if !state.startup.is_over() {
        return Err(Kind::NoConfiguration.into());
    }
    head.remaining = Some(call.remaining);
    let credential = head.credential;
    let admission = state.relay.borrow_mut().admit(head, state.now(), true);
    let mut admitted = admission.map_err(|refusal| {
        telemetry::count_key_refusal(credential, refusal);
        // The sender's newer version may have added the key.
        let is_older = state.relay.borrow().version() < call.version;
        if is_older && matches!(refusal.kind, Kind::UnknownKey | Kind::KeyUnverified) {
            Kind::OlderConfiguration.into()
        } else {
            refusal
        }
    })?;
    active.on_admitted(&admitted);
    // Retries are made by the VM that forwarded the request.
    admitted.max_attempts = 1;
    admitted.resumed |= call.resume_after.is_some();
    resumption::pin_forwarded(state, &mut admitted, call.software)?;
    let mut request = BufferedRequest {
        admitted,
        active: active.clone(),
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        body: call.body,
        window: ResponseWindow::new(&state.callers.payer(from), state.clock),
        last_event_id: call.resume_after,
        forwarder_can_retry: call.can_retry_elsewhere,
    };
    request.record_content(&state.dialect);
    send_with_retries(state, request).await
}

/// Relays a response, and returns its end event; `None` if it broke off.
async fn relay_response(response: HttpResponse, events: &mpsc::Sender<RelayEvent>) -> Option<RelayEvent> {
    let (head, mut body) = response.into_parts();
    let headers = header_list(&head.headers);
    let status = head.status.as_u16();
    let software = head.extensions.get::<SoftwareVersion>().cloned();
    let head = RelayEvent::Head {
        status,
        headers,
        software,
    };
    events.send(head).await.ok()?;
    while let Some(frame) = body.frame().await {
        let data: Bytes = frame.ok()?.into_data().unwrap_or_default();
        events.send(RelayEvent::Chunk(data)).await.ok()?;
    }
    Some(RelayEvent::End(Ok(())))
}
