//! Outgoing calls about discovered services.

use std::cell::Cell;
use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Weak;
use std::time::{Duration, Instant};

use bytes::Bytes;
use capnp::capability::Rc;
use sw_chunk::ChunkId;
use sw_http::ResponseWindow;
use sw_relay::{
    Grant, Heartbeat, LoanReply, LoanRequest, QueueEstimate, QuotaReply, QuotaTake, Reservation, ReservationUpdate,
    StreamOrigin,
};
use sw_time::Clock;
use sw_unit::{EndpointId, Millis, StoreEra, StorePosition};
use tokio::sync::{Mutex, mpsc};
use tokio::task::AbortHandle;

use super::types::SILENCE_PERIOD;
use super::upload::{self, LONG_BODY_BYTES, Sent};
use super::{
    CallEnd, NotSent, RelayCall, RelayEvent, Silence, StoreCopy, WatchOutcome, calls, convert, quotas, reservations,
    store,
};
use crate::PeerError;
use crate::convert::len;
use crate::pool::{self, ConnectionPool};
use crate::relay_capnp::{answer_sink, relay_peer};
use crate::silence::SilenceDetector;

/// Timeout of a short call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Idle timeout of a large response: time without a received byte.
const TRANSFER_IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The same for chunks, which several VMs have; short, as several of them may stand still at once.
const CHUNKS_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a call that waits for changes, in addition to the wait.
const WATCH_MARGIN: Duration = Duration::from_millis(400);
/// Number of events of a response to buffer for a slow reader.
const EVENT_BUFFER: usize = 16;

struct RelayConnection {
    client: relay_peer::Client,
    rpc_task: AbortHandle,
    last_response_at: Cell<Instant>,
    silence: SilenceDetector,
}

impl pool::PooledConnection for RelayConnection {
    async fn connect(address: SocketAddr) -> Result<Self, PeerError> {
        let opened = pool::connect(address).await?;
        Ok(Self {
            client: opened.client,
            rpc_task: opened.rpc_task,
            last_response_at: Cell::new(Instant::now()),
            silence: SilenceDetector::new(opened.last_read_at),
        })
    }

    fn last_response_at(&self) -> &Cell<Instant> {
        &self.last_response_at
    }

    fn last_read_at(&self) -> Instant {
        self.silence.last_read_at()
    }
}

impl RelayConnection {
    /// Tells the reader of a response while the connection, which is of `pool`, is silent, until it is dropped.
    async fn report_silence(&self, pool: &ConnectionPool<Self>, events: &mpsc::Sender<RelayEvent>) -> Infallible {
        let mut reported_read_at = None;
        let has_witness = |since| pool.has_answer_since(since);
        loop {
            let silent_for = self.silence.wait_silent(|| self.ask(), has_witness).await;
            let read_at = self.silence.last_read_at();
            // A reader with unread events has no use for it.
            if events.capacity() == events.max_capacity() {
                let silence = Silence {
                    duration: Millis(silent_for.as_millis() as u64),
                    found_at: Instant::now(),
                    is_first: reported_read_at.replace(read_at) != Some(read_at),
                };
                let _closed = events.try_send(RelayEvent::Silent(silence));
            }
            tokio::time::sleep(SILENCE_PERIOD).await;
        }
    }

    /// Sends a request, a long body before its call, and waits until the call ends.
    ///
    /// # Errors
    ///
    /// Returns why the peer does not run the request.
    async fn send_call(
        &self,
        call: &RelayCall,
        sink: &answer_sink::Client,
        may_send: impl Fn() -> bool,
    ) -> Result<Result<CallEnd, capnp::Error>, NotSent> {
        if call.body.len() > LONG_BODY_BYTES {
            match upload::send(&self.client, call, sink, &may_send).await {
                Sent::Ended(end) => return Ok(end),
                Sent::NotRun(reason) => return Err(reason),
                Sent::Unsupported if !may_send() => return Err(NotSent::NotPermitted),
                Sent::Unsupported => {}
            }
        }
        let mut request = self.client.relay_request();
        calls::set_call(request.get().init_call(), call);
        request.get().set_sink(sink.clone());
        let response = request.send().promise.await;
        Ok(response.and_then(|response| calls::relay_results(response.get()?)))
    }

    /// Makes a call that every peer replies to at once.
    async fn ask(&self) {
        let _failed = self.client.find_origin_request().send().promise.await;
    }
}

impl Drop for RelayConnection {
    /// Closes the connection; each call holds it until the call ends.
    fn drop(&mut self) {
        self.rpc_task.abort();
    }
}

/// Makes calls to other VMs.
#[derive(Clone, Default)]
pub struct RelayClient {
    pool: ConnectionPool<RelayConnection>,
    /// Connections for large responses, behind which no other call waits.
    transfers: ConnectionPool<RelayConnection>,
}

impl fmt::Debug for RelayClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("RelayClient")
    }
}

impl RelayClient {
    /// Sends a heartbeat and returns the peer's heartbeat.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no response in time.
    pub async fn send_heartbeat(&self, address: SocketAddr, heartbeat: &Heartbeat) -> Result<Heartbeat, PeerError> {
        let call = async |connection: &RelayConnection| {
            let mut request = connection.client.exchange_request();
            convert::set_heartbeat(request.get().init_beat(), heartbeat);
            let response = request.send().promise.await?;
            convert::heartbeat(response.get()?.get_beat()?)
        };
        self.pool.call(address, CALL_TIMEOUT, call).await
    }

    /// Returns a peer's copy of the platform's store; a peer that knows no eras is in the era `assumed`.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if nothing is received for a while, or if the response is malformed.
    pub async fn store_copy(&self, address: SocketAddr, assumed: StoreEra) -> Result<StoreCopy, PeerError> {
        let call = async |connection: &RelayConnection| {
            let mut request = connection.client.snapshot_request();
            request.get().set_takes_chunks(true);
            let response = request.send().promise.await?;
            store::store_copy(response.get()?, assumed)
        };
        self.transfers.transfer(address, TRANSFER_IDLE_TIMEOUT, call).await
    }

    /// Returns packed chunks from a peer: of the first of `ids`, as many as it sends at once; a chunk that the peer does
    /// not have is empty. The chunks are not checked.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if nothing is received for a while. A peer of an earlier build knows no chunks and fails.
    pub async fn chunks(&self, address: SocketAddr, ids: &[ChunkId]) -> Result<Vec<Bytes>, PeerError> {
        let call = async |connection: &RelayConnection| {
            let mut request = connection.client.chunks_request();
            let mut digests = request.get().init_digests(len(ids));
            for (i, id) in (0..).zip(ids) {
                digests.set(i, &id.digest.0);
            }
            let response = request.send().promise.await?;
            let packed = response.get()?.get_packed()?.iter();
            packed.map(|chunk| Ok(Bytes::copy_from_slice(chunk?))).collect()
        };
        self.transfers.transfer(address, CHUNKS_IDLE_TIMEOUT, call).await
    }

    /// Waits up to `wait` until a watcher has changes of the store after the position `after`; a watcher that knows no
    /// eras is in that of `after`.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no response in time.
    pub async fn watch(
        &self,
        address: SocketAddr,
        after: StorePosition,
        wait: Duration,
    ) -> Result<WatchOutcome, PeerError> {
        let call = async |connection: &RelayConnection| {
            let mut request = connection.client.watch_request();
            let mut params = request.get();
            params.set_after(after.revision);
            params.set_era(store::era_code(after.era));
            params.set_takes_chunks(true);
            params.set_wait_ms(u32::try_from(wait.as_millis()).unwrap_or(u32::MAX));
            let response = request.send().promise.await?;
            store::watch_outcome(response.get()?, after.era)
        };
        self.pool.call(address, wait + WATCH_MARGIN, call).await
    }

    /// Requests a slot in an engine's queue from its coordinator.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no response within `timeout`. If the slot was granted nevertheless, the
    /// coordinator drops it after a while.
    pub async fn reserve(
        &self,
        address: SocketAddr,
        reservation: &Reservation,
        timeout: Duration,
    ) -> Result<Result<Grant, QueueEstimate>, PeerError> {
        let call = async |connection: &RelayConnection| {
            let mut request = connection.client.reserve_request();
            reservations::set_reservation(request.get().init_reservation(), reservation);
            let response = request.send().promise.await?;
            reservations::reserve_outcome(response.get()?)
        };
        let response = tokio::time::timeout(timeout, self.pool.call(address, CALL_TIMEOUT, call)).await;
        response.unwrap_or(Err(PeerError))
    }

    /// Reports the progress of a request with a granted reservation to the coordinator, and how long work takes at the endpoint
    /// at this moment in percent, if it reported that lately.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no response in time.
    pub async fn send_reservation_update(
        &self,
        address: SocketAddr,
        endpoint: &EndpointId,
        entry_id: u64,
        update: ReservationUpdate,
        slowdown: Option<u32>,
    ) -> Result<(), PeerError> {
        let call = async |connection: &RelayConnection| {
            let mut request = connection.client.release_request();
            let mut params = request.get();
            params.set_endpoint(endpoint.as_str());
            params.set_ticket(entry_id);
            params.set_absent(update == ReservationUpdate::EndpointUnreachable);
            params.set_runs(update == ReservationUpdate::Running);
            params.set_rejected(update == ReservationUpdate::Rejected);
            params.set_given_up(update == ReservationUpdate::GivenUp);
            params.set_slowdown(u16::try_from(slowdown.unwrap_or_default()).unwrap_or(u16::MAX));
            request.send().promise.await.map(|_empty| ())
        };
        self.pool.call(address, CALL_TIMEOUT, call).await
    }

    /// Asks the keeper of a quota for tokens.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no response in time. Tokens that were granted nevertheless are lost.
    pub async fn take_quota(&self, address: SocketAddr, take: &QuotaTake) -> Result<QuotaReply, PeerError> {
        let call = async |connection: &RelayConnection| {
            let mut request = connection.client.take_quota_request();
            quotas::set_take(request.get().init_take(), take);
            let response = request.send().promise.await?;
            Ok(quotas::reply(response.get()?))
        };
        self.pool.call(address, CALL_TIMEOUT, call).await
    }

    /// Asks the keeper of quotas in another region for loans.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no response in time. What was lent nevertheless comes back when the loan ends.
    pub async fn lend_quota(&self, loans: &LoanRequest) -> Result<LoanReply, PeerError> {
        let call = async |connection: &RelayConnection| {
            let mut request = connection.client.lend_quota_request();
            let mut params = request.get();
            quotas::set_borrower(&mut params, &loans.borrower);
            quotas::set_loans(params.init_asked(len(&loans.asked)), &loans.asked);
            let response = request.send().promise.await?;
            quotas::loan_reply(response.get()?)
        };
        self.pool.call(loans.keeper.address, CALL_TIMEOUT, call).await
    }

    /// Tells a peer which software versions started streams.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no response in time.
    pub async fn note_origins(&self, address: SocketAddr, origins: &[StreamOrigin]) -> Result<(), PeerError> {
        let call = async |connection: &RelayConnection| {
            let mut request = connection.client.note_origins_request();
            let mut list = request.get().init_origins(len(origins));
            for (i, origin) in (0..).zip(origins) {
                convert::set_origin(list.reborrow().get(i), origin);
            }
            request.send().promise.await.map(|_empty| ())
        };
        self.pool.call(address, CALL_TIMEOUT, call).await
    }

    /// Asks a peer which software version started a stream; `None` if it does not know.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if there is no response within `timeout`.
    pub async fn find_origin(
        &self,
        address: SocketAddr,
        stream: &str,
        timeout: Duration,
    ) -> Result<Option<StreamOrigin>, PeerError> {
        let call = async |connection: &RelayConnection| {
            let mut request = connection.client.find_origin_request();
            request.get().set_stream(stream);
            let response = request.send().promise.await?;
            let results = response.get()?;
            let origin = results.has_origin().then(|| convert::origin(results.get_origin()?));
            origin.transpose()
        };
        let response = tokio::time::timeout(timeout, self.pool.call(address, CALL_TIMEOUT, call)).await;
        response.unwrap_or(Err(PeerError))
    }

    /// Forwards a request if `may_send` still holds when there is a connection, and when a long body was sent; dropping the returned receiver cancels it.
    ///
    /// The receiver ends without [`RelayEvent::End`] if the connection broke. While the connection is silent, it receives
    /// [`RelayEvent::Silent`] from time to time. The chunks that it receives are held by `window`.
    pub fn forward<C: Clock + 'static>(
        &self,
        address: SocketAddr,
        call: RelayCall,
        window: ResponseWindow<C>,
        may_send: impl Fn() -> bool + 'static,
    ) -> mpsc::Receiver<RelayEvent> {
        let (events, rx) = mpsc::channel(EVENT_BUFFER);
        tokio::task::spawn_local(self.clone().run_call(address, call, window, may_send, events));
        rx
    }

    async fn run_call<C: Clock + 'static>(
        self,
        address: SocketAddr,
        call: RelayCall,
        window: ResponseWindow<C>,
        may_send: impl Fn() -> bool,
        events: mpsc::Sender<RelayEvent>,
    ) {
        let connection = match self.pool.recently_active(address) {
            Some(connection) => Ok(connection),
            None => self.pool.open(address).await,
        };
        let Ok(connection) = connection else {
            let _closed = events.send(RelayEvent::NotSent(NotSent::NoConnection)).await;
            return;
        };
        if events.is_closed() {
            return;
        }
        if !may_send() {
            let _closed = events.send(RelayEvent::NotSent(NotSent::NotPermitted)).await;
            return;
        }
        let received = Rc::new(Cell::new(0));
        let turn = Rc::new(Mutex::new(()));
        let sink = ResponseSink {
            connection: Rc::downgrade(&connection),
            events: events.clone(),
            received: Rc::clone(&received),
            window,
            turn: Rc::clone(&turn),
        };
        let sink = capnp_rpc::new_client(sink);
        let sent = tokio::select! {
            sent = connection.send_call(&call, &sink, &may_send) => sent,
            () = events.closed() => return,
            never = connection.report_silence(&self.pool, &events) => match never {},
        };
        let end = match sent {
            Ok(end) => end,
            Err(not_run) => {
                if not_run == NotSent::NoConnection {
                    self.pool.discard(address, &connection);
                }
                let _closed = events.send(RelayEvent::NotSent(not_run)).await;
                return;
            }
        };
        let end = end.and_then(|end| {
            // The reply comes after all chunks, which are counted before they wait for a slow reader.
            if end.outcome.is_ok() && end.len != received.get() {
                return Err(capnp::Error::failed("parts of the answer are missing".to_owned()));
            }
            Ok(end.outcome)
        });
        match end {
            Ok(end) => {
                connection.last_response_at.set(Instant::now());
                let _turn = turn.lock().await;
                let _closed = events.send(RelayEvent::End(end)).await;
            }
            // The receiver ends without `RelayEvent::End`.
            Err(error) if error.kind == capnp::ErrorKind::Failed => {}
            Err(_broken) => self.pool.discard(address, &connection),
        }
    }
}

/// Receives the parts of a response.
struct ResponseSink<C> {
    connection: Weak<RelayConnection>,
    events: mpsc::Sender<RelayEvent>,
    received: Rc<Cell<u64>>,
    window: ResponseWindow<C>,
    /// Held by the part that waits for room, so that the parts stay in their order.
    turn: Rc<Mutex<()>>,
}

impl<C: Clock + 'static> answer_sink::Server for ResponseSink<C> {
    async fn head(
        self: Rc<Self>,
        params: answer_sink::HeadParams,
        _: answer_sink::HeadResults,
    ) -> Result<(), capnp::Error> {
        self.on_received();
        let params = params.get()?;
        let head = RelayEvent::Head {
            status: params.get_status(),
            headers: calls::headers(params.get_headers()?)?,
            software: convert::software(params.get_software()?)?,
        };
        let _turn = self.turn.lock().await;
        self.send_event(head).await
    }

    async fn chunk(
        self: Rc<Self>,
        params: answer_sink::ChunkParams,
        _: answer_sink::ChunkResults,
    ) -> Result<(), capnp::Error> {
        self.on_received();
        let len = params.get()?.get_data()?.len();
        self.received.set(self.received.get() + len as u64);
        let _turn = self.turn.lock().await;
        let data = Bytes::copy_from_slice(params.get()?.get_data()?);
        // The message has the data once more.
        drop(params);
        let data = self.window.hold(data).await;
        self.send_event(RelayEvent::Chunk(data)).await
    }
}

impl<C> ResponseSink<C> {
    fn on_received(&self) {
        if let Some(connection) = self.connection.upgrade() {
            connection.last_response_at.set(Instant::now());
        }
    }

    async fn send_event(&self, event: RelayEvent) -> Result<(), capnp::Error> {
        let sent = self.events.send(event).await;
        sent.map_err(|_closed| capnp::Error::failed("the request was given up".to_owned()))
    }
}
