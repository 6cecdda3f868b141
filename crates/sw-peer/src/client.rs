//! Outgoing calls.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use capnp::capability::Rc;
use sw_gate::{ConfigOffer, Heartbeat};
use sw_once::{Ticket, TicketStatus};
use sw_unit::{Digest, WorkspaceId};
use tokio::sync::mpsc;

use crate::links::{self, Links};
use crate::peer_capnp::{peer, sink};
use crate::{ForwardEvent, ForwardedRequest, PeerError, convert};

/// Time for a short call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

struct Link {
    client: peer::Client,
    answered: Cell<Instant>,
}

impl links::Link for Link {
    async fn connect(address: SocketAddr) -> Result<Self, PeerError> {
        let (client, _system) = links::connect(address).await?;
        Ok(Self {
            client,
            answered: Cell::new(Instant::now()),
        })
    }

    fn answered(&self) -> &Cell<Instant> {
        &self.answered
    }
}

/// Calls to other VMs.
#[derive(Clone, Default)]
pub(crate) struct Client {
    links: Links<Link>,
}

impl Client {
    /// Sends a heartbeat and returns the other VM's.
    pub(crate) async fn send_heartbeat(
        &self,
        address: SocketAddr,
        heartbeat: Heartbeat,
    ) -> Result<Heartbeat, PeerError> {
        let call = async |link: &Link| {
            let mut request = link.client.greet_request();
            convert::set_heartbeat(request.get().init_heartbeat(), &heartbeat);
            let response = request.send().promise.await?;
            convert::heartbeat(response.get()?.get_heartbeat()?)
        };
        self.links.call(address, CALL_TIMEOUT, call).await
    }

    /// The configuration in force at another VM, for one that runs the one with the digest `known`.
    pub(crate) async fn configuration(
        &self,
        address: SocketAddr,
        known: Option<Digest>,
    ) -> Result<Option<ConfigOffer>, PeerError> {
        let call = async |link: &Link| {
            let mut request = link.client.configuration_request();
            if let Some(known) = known {
                request.get().set_known(&known.0);
            }
            let response = request.send().promise.await?;
            convert::offer(response.get()?.get_configuration()?)
        };
        self.links.call(address, CALL_TIMEOUT, call).await
    }

    /// What another VM knows of a request.
    pub(crate) async fn ticket_status(
        &self,
        address: SocketAddr,
        workspace: WorkspaceId,
        ticket: Ticket,
    ) -> Result<Option<TicketStatus>, PeerError> {
        let call = async |link: &Link| {
            let mut request = link.client.look_up_request();
            request.get().set_workspace(workspace.as_str());
            request.get().set_ticket(ticket.to_string().as_str());
            let response = request.send().promise.await?;
            let results = response.get()?;
            if results.get_known() {
                convert::parse(results.get_begin()).map(Some)
            } else {
                Ok(None)
            }
        };
        self.links.call(address, CALL_TIMEOUT, call).await
    }

    /// Forwards a request; its answer goes to `events`, and it is given up when they are closed.
    ///
    /// A connection is reused only if it answered lately; `fresh` asks for a new one in any case.
    pub(crate) async fn forward(
        &self,
        address: SocketAddr,
        forward: ForwardedRequest,
        fresh: bool,
        events: mpsc::Sender<ForwardEvent>,
    ) {
        let proven = self.links.proven(address).filter(|_| !fresh);
        let link = match proven {
            Some(link) => Ok(link),
            None => <Link as links::Link>::connect(address).await.map(Rc::new),
        };
        let Ok(link) = link else {
            self.links.remove(address);
            let _closed = events.send(ForwardEvent::NotSent).await;
            return;
        };
        let received = Rc::new(Cell::new(0));
        let sink = Sink {
            events: events.clone(),
            received: Rc::clone(&received),
        };
        let mut request = link.client.forward_request();
        convert::set_envelope(request.get().init_envelope(), &forward);
        request.get().set_body(&forward.body);
        request.get().set_sink(capnp_rpc::new_client(sink));
        let response = tokio::select! {
            response = request.send().promise => response,
            () = events.closed() => return,
        };
        let end = response.and_then(|response| {
            let results = response.get()?;
            if results.get_refused() {
                return Ok(Err(convert::refusal(results.get_refusal()?)?));
            }
            if results.get_length() != received.get() {
                return Err(capnp::Error::failed("parts of the answer are missing".to_owned()));
            }
            Ok(Ok(()))
        });
        match end {
            Ok(end) => {
                link.answered.set(Instant::now());
                let _closed = events.send(ForwardEvent::End(end)).await;
            }
            Err(_broken) => self.links.forget(address, &link),
        }
    }
}

/// Receives the parts of an answer.
struct Sink {
    events: mpsc::Sender<ForwardEvent>,
    received: Rc<Cell<u64>>,
}

impl sink::Server for Sink {
    async fn head(self: Rc<Self>, params: sink::HeadParams, _: sink::HeadResults) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let content_type = convert::parse(params.get_content_type())?;
        self.pass(ForwardEvent::Head {
            status: params.get_status(),
            content_type,
        })
        .await
    }

    async fn chunk(self: Rc<Self>, params: sink::ChunkParams, _: sink::ChunkResults) -> Result<(), capnp::Error> {
        let data = Bytes::copy_from_slice(params.get()?.get_data()?);
        self.received.set(self.received.get() + data.len() as u64);
        self.pass(ForwardEvent::Chunk(data)).await
    }
}

impl Sink {
    async fn pass(&self, event: ForwardEvent) -> Result<(), capnp::Error> {
        let sent = self.events.send(event).await;
        sent.map_err(|_closed| capnp::Error::failed("the request was given up".to_owned()))
    }
}
