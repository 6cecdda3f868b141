//! Calls from other VMs.

use std::net::IpAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock, Weak};

use futures::StreamExt as _;
use http_body_util::BodyStream;
use sw_error::{Kind, Refusal};
use sw_gate::{ConfigOffer, ForwardPurpose, Heartbeat};
use sw_load::prefix_hashes;
use sw_once::{SavedResponse, Ticket, TicketStatus};
use sw_peer::{ForwardEvent, ForwardedRequest, Handler};
use sw_time::Clock as _;
use sw_unit::{Digest, WorkspaceId};
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use super::buffered::{BufferedRequest, EndpointCall, Reply};
use super::head;
use super::{once, run};
use crate::process::{GateHandle, Gateway, count_end};

/// Serves requests that other VMs forward to this VM, and counts those in progress.
#[derive(Debug, Clone, Default)]
pub(crate) struct ForwardServer {
    active: Arc<AtomicUsize>,
    gateway: Arc<OnceLock<Weak<Gateway>>>,
}

/// Counts a forwarded request as active until dropped.
struct ActiveGuard {
    count: Arc<AtomicUsize>,
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }
}

impl ForwardServer {
    /// Returns the number of forwarded requests in progress.
    pub(crate) fn active(&self) -> usize {
        self.active.load(Ordering::Acquire)
    }

    /// Sets the gateway, which is created after the handler.
    pub(crate) fn attach(&self, gateway: &Arc<Gateway>) {
        // A second call would set the same gateway.
        let _attached = self.gateway.set(Arc::downgrade(gateway));
    }

    /// Returns the handler of calls from other VMs, for the peer thread.
    pub(crate) fn handler(&self, gate: GateHandle) -> PeerHandler {
        PeerHandler {
            gate,
            forward_server: self.clone(),
            runtime: Handle::current(),
        }
    }

    fn gateway(&self) -> Option<Arc<Gateway>> {
        self.gateway.get().and_then(Weak::upgrade)
    }

    fn begin(&self) -> ActiveGuard {
        self.active.fetch_add(1, Ordering::AcqRel);
        ActiveGuard {
            count: Arc::clone(&self.active),
        }
    }
}

/// Handles calls from other VMs.
#[derive(Debug, Clone)]
pub(crate) struct PeerHandler {
    gate: GateHandle,
    forward_server: ForwardServer,
    runtime: Handle,
}

impl Handler for PeerHandler {
    async fn on_heartbeat(&self, heartbeat: Heartbeat) -> Option<Heartbeat> {
        let gateway = self.forward_server.gateway()?;
        gateway.on_store_observation(heartbeat.store);
        let step = |gate: &mut sw_gate::Gate, now| {
            let from = gate.on_heartbeat(heartbeat, now);
            gate.heartbeat(from.as_ref(), now)
        };
        let reply = self.gate.run(step).await.ok()?;
        Some(Heartbeat {
            store: gateway.store_observation(),
            ..reply
        })
    }

    async fn configuration(&self, known: Option<Digest>) -> Option<ConfigOffer> {
        let source = self.gate.run(|gate, _| gate.offer_source()).await.ok()??;
        Some(source.offer(known))
    }

    async fn on_forwarded_request(
        &self,
        from: IpAddr,
        forwarded: ForwardedRequest,
        events: mpsc::Sender<ForwardEvent>,
    ) {
        let active = self.forward_server.begin();
        let gateway = self.forward_server.gateway();
        self.runtime.spawn(async move {
            let reply = match gateway {
                Some(gateway) => serve(&gateway, from, forwarded).await,
                None => Reply::Refused(Kind::Stopping.into()),
            };
            // Fails only if the other VM no longer receives the reply.
            let _gone = send_reply(reply, &events).await;
            sw_peer::wait_until_delivered(&events).await;
            drop(active);
        });
    }

    async fn ticket_status(&self, workspace: WorkspaceId, ticket: Ticket) -> Option<TicketStatus> {
        let step = move |gate: &mut sw_gate::Gate, _| match gate.ticket_owner(&ticket) {
            sw_gate::TicketOwner::Local => Some(gate.ticket_status(&workspace, &ticket)),
            _ => None,
        };
        self.gate.run(step).await.ok()?
    }
}

async fn serve(gateway: &Arc<Gateway>, from: IpAddr, forwarded: ForwardedRequest) -> Reply {
    let id = forwarded.envelope.request_id.clone();
    let route = forwarded.envelope.route.clone();
    let reply = match admit(gateway, from, forwarded).await {
        Ok((request, None)) => run::run(gateway, &request, None).await,
        Ok((request, Some(ticket))) => once::run_owned(gateway, request, ticket).await,
        Err(refusal) => Reply::Refused(refusal),
    };
    count_end(&id, route.as_str(), reply.end());
    reply
}

/// Admits a forwarded request; returns its ticket if it was forwarded because this VM owns the ticket.
async fn admit(
    gateway: &Gateway,
    from: IpAddr,
    mut forwarded: ForwardedRequest,
) -> Result<(Arc<BufferedRequest>, Option<Ticket>), Refusal> {
    let (len, now) = (forwarded.body.len() as u64, gateway.timers.clock().now());
    let held = gateway.callers.payer(from).hold_body(len, now);
    forwarded.body = held.map_err(|_limit| Kind::Overloaded)?.attach(forwarded.body);
    let envelope = forwarded.envelope.clone();
    let admitted = gateway
        .gate
        .run(move |gate, now| gate.admit_forwarded(&envelope, now))
        .await??;
    let ticket = match forwarded.envelope.purpose {
        ForwardPurpose::Run => None,
        ForwardPurpose::Owned => Some(forwarded.envelope.ticket.ok_or(Kind::TicketInvalid)?),
    };
    let is_engine = !admitted.route().models.is_empty();
    let model = if is_engine {
        head::model(&forwarded.body, &admitted)?
    } else {
        None
    };
    let prefixes = if is_engine {
        prefix_hashes(&forwarded.body)
    } else {
        Vec::new()
    };
    let call = EndpointCall {
        id: forwarded.envelope.request_id,
        method: forwarded.method,
        path: forwarded.path,
        content_type: forwarded.content_type,
        body: forwarded.body,
        model,
        prefixes,
    };
    Ok((Arc::new(BufferedRequest { admitted, call }), ticket))
}

/// Sends a reply to the VM that forwarded the request.
async fn send_reply(
    reply: Reply,
    events: &mpsc::Sender<ForwardEvent>,
) -> Result<(), mpsc::error::SendError<ForwardEvent>> {
    match reply {
        Reply::Refused(refusal) => events.send(ForwardEvent::End(Err(refusal))).await,
        Reply::Complete(SavedResponse {
            status,
            content_type,
            body,
        }) => {
            events.send(ForwardEvent::Head { status, content_type }).await?;
            events.send(ForwardEvent::Chunk(body)).await?;
            events.send(ForwardEvent::End(Ok(()))).await
        }
        Reply::Stream {
            status,
            content_type,
            body,
        } => {
            events.send(ForwardEvent::Head { status, content_type }).await?;
            let mut frames = BodyStream::new(body);
            while let Some(frame) = frames.next().await {
                let Ok(frame) = frame else {
                    return events.send(ForwardEvent::End(Err(Kind::AnswerIncomplete.into()))).await;
                };
                if let Ok(data) = frame.into_data() {
                    events.send(ForwardEvent::Chunk(data)).await?;
                }
            }
            events.send(ForwardEvent::End(Ok(()))).await
        }
    }
}
