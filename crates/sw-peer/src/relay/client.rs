//! Outgoing calls.

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Weak;
use std::time::{Duration, Instant};

use bytes::Bytes;
use capnp::capability::Rc;
use sw_relay::{Grant, Heartbeat, QueueEstimate, Reservation, ReservationUpdate};
use sw_store::Snapshot;
use sw_unit::EndpointId;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::{RelayCall, RelayEvent, WatchOutcome, convert};
use crate::PeerError;
use crate::links::{self, Links};
use crate::relay_capnp::{answer_sink, relay_peer};

/// Time for a short call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for the answer to a call that waits for changes, beside the wait.
const WATCH_MARGIN: Duration = Duration::from_millis(400);
/// A connection on which a call was lost is closed if nothing comes on it for this long.
const SILENCE: Duration = Duration::from_secs(3);
/// Events of an answer that wait for a slow reader.
const EVENT_BUFFER: usize = 16;

struct Link {
    client: relay_peer::Client,
    system: AbortHandle,
    answered: Cell<Instant>,
}

impl links::Link for Link {
    async fn connect(address: SocketAddr) -> Result<Self, PeerError> {
        let (client, system) = links::connect(address).await?;
        Ok(Self {
            client,
            system,
            answered: Cell::new(Instant::now()),
        })
    }

    fn answered(&self) -> &Cell<Instant> {
        &self.answered
    }

    /// Closes it if it stays silent, which ends all calls on it.
    fn forgotten(link: &Rc<Self>) {
        let link = Rc::downgrade(link);
        let forgotten = Instant::now();
        tokio::task::spawn_local(async move {
            tokio::time::sleep(SILENCE).await;
            if let Some(link) = link.upgrade().filter(|link| link.answered.get() < forgotten) {
                link.system.abort();
            }
        });
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.system.abort();
    }
}

/// Calls to other VMs.
#[derive(Clone, Default)]
pub struct RelayClient {
    links: Links<Link>,
}

impl fmt::Debug for RelayClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RelayClient")
    }
}

impl RelayClient {
    /// Sends a heartbeat and returns the other VM's.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no answer in time.
    pub async fn send_heartbeat(&self, address: SocketAddr, beat: &Heartbeat) -> Result<Heartbeat, PeerError> {
        let call = async |link: &Link| {
            let mut request = link.client.exchange_request();
            convert::set_beat(request.get().init_beat(), beat);
            let response = request.send().promise.await?;
            convert::beat(response.get()?.get_beat()?)
        };
        self.links.call(address, CALL_TIMEOUT, call).await
    }

    /// What another VM knows of the platform's store.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no answer in time.
    pub async fn snapshot(&self, address: SocketAddr) -> Result<Snapshot, PeerError> {
        let call = async |link: &Link| {
            let response = link.client.snapshot_request().send().promise.await?;
            let results = response.get()?;
            convert::snapshot(results.get_revision(), results.get_items()?)
        };
        self.links.call(address, CALL_TIMEOUT, call).await
    }

    /// Waits up to `wait` until the store changes after the revision `after`, as another VM sees it.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no answer in time.
    pub async fn watch(&self, address: SocketAddr, after: u64, wait: Duration) -> Result<WatchOutcome, PeerError> {
        let call = async |link: &Link| {
            let mut request = link.client.watch_request();
            let mut params = request.get();
            params.set_after(after);
            params.set_wait_ms(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX));
            let response = request.send().promise.await?;
            convert::watched(response.get()?)
        };
        self.links.call(address, wait + WATCH_MARGIN, call).await
    }

    /// Asks for a place in the queue of an engine.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no answer within `patience`; a place that was granted all the same is dropped
    /// after a while.
    pub async fn reserve(
        &self,
        address: SocketAddr,
        reservation: &Reservation,
        patience: Duration,
    ) -> Result<Result<Grant, QueueEstimate>, PeerError> {
        let call = async |link: &Link| {
            let mut request = link.client.reserve_request();
            convert::set_reservation(request.get().init_reservation(), reservation);
            let response = request.send().promise.await?;
            convert::granted(response.get()?)
        };
        let answer = tokio::time::timeout(patience, self.links.call(address, CALL_TIMEOUT, call)).await;
        answer.unwrap_or(Err(PeerError))
    }

    /// Tells how far a request came for which a place in the queue of an engine was granted.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no answer in time.
    pub async fn send_reservation_update(
        &self,
        address: SocketAddr,
        endpoint: &EndpointId,
        ticket: u64,
        release: ReservationUpdate,
    ) -> Result<(), PeerError> {
        let call = async |link: &Link| {
            let mut request = link.client.release_request();
            let mut params = request.get();
            params.set_endpoint(endpoint.as_str());
            params.set_ticket(ticket);
            params.set_absent(release == ReservationUpdate::EndpointUnreachable);
            params.set_runs(release == ReservationUpdate::Running);
            request.send().promise.await.map(|_empty| ())
        };
        self.links.call(address, CALL_TIMEOUT, call).await
    }

    /// Forwards a request; dropping the returned receiver gives it up.
    ///
    /// The receiver ends without [`RelayEvent::End`] if the connection broke.
    pub fn forward(&self, address: SocketAddr, call: RelayCall) -> mpsc::Receiver<RelayEvent> {
        let (events, rx) = mpsc::channel(EVENT_BUFFER);
        tokio::task::spawn_local(self.clone().run(address, call, events));
        rx
    }

    async fn run(self, address: SocketAddr, call: RelayCall, events: mpsc::Sender<RelayEvent>) {
        let link = match self.links.proven(address) {
            Some(link) => Ok(link),
            None => self.links.open(address).await,
        };
        let Ok(link) = link else {
            let _closed = events.send(RelayEvent::NotSent).await;
            return;
        };
        let received = Rc::new(Cell::new(0));
        let sink = Sink {
            link: Rc::downgrade(&link),
            events: events.clone(),
            received: Rc::clone(&received),
        };
        let mut request = link.client.relay_request();
        convert::set_call(request.get().init_call(), &call);
        request.get().set_sink(capnp_rpc::new_client(sink));
        let response = tokio::select! {
            response = request.send().promise => response,
            () = events.closed() => return,
        };
        let end = response.and_then(|response| {
            let results = response.get()?;
            if results.get_refused() {
                return Ok(Err(crate::convert::refusal(results.get_refusal()?)?));
            }
            if results.get_length() != received.get() {
                return Err(capnp::Error::failed("parts of the answer are missing".to_owned()));
            }
            Ok(Ok(()))
        });
        match end {
            Ok(end) => {
                link.answered.set(Instant::now());
                let _closed = events.send(RelayEvent::End(end)).await;
            }
            // The receiver ends without an end of the answer.
            Err(error) if error.kind == capnp::ErrorKind::Failed => {}
            Err(_broken) => self.links.forget(address, &link),
        }
    }
}

/// Receives the parts of an answer.
struct Sink {
    link: Weak<Link>,
    events: mpsc::Sender<RelayEvent>,
    received: Rc<Cell<u64>>,
}

impl answer_sink::Server for Sink {
    async fn head(
        self: Rc<Self>,
        params: answer_sink::HeadParams,
        _: answer_sink::HeadResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let headers = convert::headers(params.get_headers()?)?;
        let status = params.get_status();
        self.pass(RelayEvent::Head { status, headers }).await
    }

    async fn chunk(
        self: Rc<Self>,
        params: answer_sink::ChunkParams,
        _: answer_sink::ChunkResults,
    ) -> Result<(), capnp::Error> {
        let data = Bytes::copy_from_slice(params.get()?.get_data()?);
        self.received.set(self.received.get() + data.len() as u64);
        self.pass(RelayEvent::Chunk(data)).await
    }
}

impl Sink {
    async fn pass(&self, event: RelayEvent) -> Result<(), capnp::Error> {
        if let Some(link) = self.link.upgrade() {
            link.answered.set(Instant::now());
        }
        let sent = self.events.send(event).await;
        sent.map_err(|_closed| capnp::Error::failed("the request was given up".to_owned()))
    }
}
