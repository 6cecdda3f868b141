//! Outgoing calls to other VMs.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use capnp::capability::Rc;
use sw_gate::{ConfigOffer, Heartbeat};
use sw_once::{Ticket, TicketStatus};
use sw_unit::{Digest, WorkspaceId};
use tokio::sync::mpsc;

use crate::peer_capnp::{peer, sink};
use crate::pool::{self, ConnectionPool};
use crate::{ForwardEvent, ForwardedRequest, PeerError, convert};

/// Timeout of a short call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

pub(crate) struct PeerConnection {
    client: peer::Client,
    last_response_at: Cell<Instant>,
    last_read_at: Rc<Cell<Instant>>,
}

impl pool::PooledConnection for PeerConnection {
    async fn connect(address: SocketAddr) -> Result<Self, PeerError> {
        let opened = pool::connect(address).await?;
        Ok(Self {
            client: opened.client,
            last_response_at: Cell::new(Instant::now()),
            last_read_at: opened.last_read_at,
        })
    }

    fn last_response_at(&self) -> &Cell<Instant> {
        &self.last_response_at
    }

    fn last_read_at(&self) -> Instant {
        self.last_read_at.get()
    }
}

/// Makes calls to other VMs.
#[derive(Clone, Default)]
pub(crate) struct Client {
    pool: ConnectionPool<PeerConnection>,
}

impl Client {
    /// Sends a heartbeat and returns the peer's heartbeat.
    pub(crate) async fn send_heartbeat(
        &self,
        address: SocketAddr,
        heartbeat: Heartbeat,
    ) -> Result<Heartbeat, PeerError> {
        let call = async |connection: &PeerConnection| {
            let mut request = connection.client.greet_request();
            convert::set_heartbeat(request.get().init_heartbeat(), &heartbeat);
            let response = request.send().promise.await?;
            convert::heartbeat(response.get()?.get_heartbeat()?)
        };
        self.pool.call(address, CALL_TIMEOUT, call).await
    }

    /// Returns the current configuration of a peer; `known` is the digest of the local one.
    pub(crate) async fn configuration(
        &self,
        address: SocketAddr,
        known: Option<Digest>,
    ) -> Result<Option<ConfigOffer>, PeerError> {
        let call = async |connection: &PeerConnection| {
            let mut request = connection.client.configuration_request();
            if let Some(known) = known {
                request.get().set_known(&known.0);
            }
            let response = request.send().promise.await?;
            convert::config_offer(response.get()?.get_configuration()?)
        };
        self.pool.call(address, CALL_TIMEOUT, call).await
    }

    /// Returns the status of a ticket at a peer.
    pub(crate) async fn ticket_status(
        &self,
        address: SocketAddr,
        workspace: WorkspaceId,
        ticket: Ticket,
    ) -> Result<Option<TicketStatus>, PeerError> {
        let call = async |connection: &PeerConnection| {
            let mut request = connection.client.look_up_request();
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
        self.pool.call(address, CALL_TIMEOUT, call).await
    }

    /// Returns a connection for one forwarded request.
    ///
    /// One of the pool is reused only if it had a response recently; `force_new` always opens a new one.
    pub(crate) async fn connect(&self, address: SocketAddr, force_new: bool) -> Result<Rc<PeerConnection>, PeerError> {
        if let Some(connection) = self.pool.recently_active(address).filter(|_| !force_new) {
            return Ok(connection);
        }
        let opened = <PeerConnection as pool::PooledConnection>::connect(address).await;
        if opened.is_err() {
            self.pool.remove(address);
        }
        opened.map(Rc::new)
    }

    /// Forwards a request and sends the response to `events`; closing the channel cancels the request.
    pub(crate) async fn forward(
        &self,
        address: SocketAddr,
        connection: Rc<PeerConnection>,
        forwarded: ForwardedRequest,
        events: mpsc::Sender<ForwardEvent>,
    ) {
        let received = Rc::new(Cell::new(0));
        let sink = ResponseSink {
            events: events.clone(),
            received: Rc::clone(&received),
        };
        let mut request = connection.client.forward_request();
        convert::set_envelope(request.get().init_envelope(), &forwarded);
        request.get().set_body(&forwarded.body);
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
                connection.last_response_at.set(Instant::now());
                let _closed = events.send(ForwardEvent::End(end)).await;
            }
            Err(_broken) => self.pool.discard(address, &connection),
        }
    }
}

/// Receives the parts of a response.
struct ResponseSink {
    events: mpsc::Sender<ForwardEvent>,
    received: Rc<Cell<u64>>,
}

impl sink::Server for ResponseSink {
    async fn head(self: Rc<Self>, params: sink::HeadParams, _: sink::HeadResults) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let content_type = convert::parse(params.get_content_type())?;
        self.send_event(ForwardEvent::Head {
            status: params.get_status(),
            content_type,
        })
        .await
    }

    async fn chunk(self: Rc<Self>, params: sink::ChunkParams, _: sink::ChunkResults) -> Result<(), capnp::Error> {
        let data = Bytes::copy_from_slice(params.get()?.get_data()?);
        self.received.set(self.received.get() + data.len() as u64);
        self.send_event(ForwardEvent::Chunk(data)).await
    }
}

impl ResponseSink {
    async fn send_event(&self, event: ForwardEvent) -> Result<(), capnp::Error> {
        let sent = self.events.send(event).await;
        sent.map_err(|_closed| capnp::Error::failed("the request was given up".to_owned()))
    }
}
