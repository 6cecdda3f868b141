//! Incoming calls about discovered services.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use capnp::capability::Rc;
use sw_error::Kind;
use sw_unit::Version;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::in_flight::InFlight;
use super::upload::Upload;
use super::{
    CallEnd, CallRefusal, RelayCall, RelayEvent, RelayHandler, WatchQuery, calls, convert, quotas, reservations, store,
};
use crate::convert::{len as list_len, parse, text};
use crate::relay_capnp::{answer_sink, relay_peer};
use crate::server::{ACCEPT_BACKOFF, EVENT_BUFFER, serve_connection};

/// Maximum number of unacknowledged bytes of a response to a peer that does not state it.
const RESPONSE_WINDOW: u32 = 128 << 10;

type Result<T> = std::result::Result<T, capnp::Error>;

/// Listens for calls from other VMs.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Accepts connections; each is served by a task of the current `LocalSet`. After a failure, for example when file descriptors
/// run out, it goes on.
pub async fn serve<H: RelayHandler>(listener: TcpListener, handler: H) {
    loop {
        let (stream, address) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                handler.on_accept_failed(&error);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        if stream.set_nodelay(true).is_ok() && sw_http::enable_keepalive(&stream).is_ok() {
            let server: relay_peer::Client = capnp_rpc::new_client(Server {
                handler: handler.clone(),
                from: address.ip(),
            });
            tokio::task::spawn_local(serve_connection(stream, server.client));
        }
    }
}

struct Server<H> {
    handler: H,
    /// Address of the peer.
    from: IpAddr,
}

impl<H: RelayHandler> relay_peer::Server for Server<H> {
    async fn exchange(
        self: Rc<Self>,
        params: relay_peer::ExchangeParams,
        mut results: relay_peer::ExchangeResults,
    ) -> Result<()> {
        let heartbeat = convert::heartbeat(params.get()?.get_beat()?)?;
        let reply = self.handler.on_heartbeat(heartbeat);
        convert::set_heartbeat(results.get().init_beat(), &reply);
        Ok(())
    }

    async fn snapshot(
        self: Rc<Self>,
        params: relay_peer::SnapshotParams,
        mut results: relay_peer::SnapshotResults,
    ) -> Result<()> {
        let copy = self.handler.store_copy(params.get()?.get_takes_chunks());
        let copy = copy.ok_or_else(|| capnp::Error::failed("the copy lacks a large value".to_owned()))?;
        store::set_store_copy(results.get(), &copy)
    }

    async fn chunks(
        self: Rc<Self>,
        params: relay_peer::ChunksParams,
        mut results: relay_peer::ChunksResults,
    ) -> Result<()> {
        let digests = params.get()?.get_digests()?.iter().map(|digest| store::digest(digest?));
        let chunks = self.handler.chunks(&digests.collect::<Result<Vec<_>>>()?);
        let mut packed = results.get().init_packed(list_len(&chunks));
        for (i, chunk) in (0..).zip(&chunks) {
            packed.set(i, chunk);
        }
        Ok(())
    }

    async fn watch(
        self: Rc<Self>,
        params: relay_peer::WatchParams,
        mut results: relay_peer::WatchResults,
    ) -> Result<()> {
        let params = params.get()?;
        let query = WatchQuery {
            era: store::era(params.get_era()),
            after: params.get_after(),
            wait: Duration::from_millis(u64::from(params.get_wait_ms())),
            takes_chunks: params.get_takes_chunks(),
        };
        let outcome = self.handler.watch(query).await;
        store::set_watch_outcome(results.get(), &outcome);
        Ok(())
    }

    async fn reserve(
        self: Rc<Self>,
        params: relay_peer::ReserveParams,
        mut results: relay_peer::ReserveResults,
    ) -> Result<()> {
        let reservation = reservations::reservation(params.get()?.get_reservation()?)?;
        reservations::set_reserve_outcome(results.get(), self.handler.reserve(&reservation));
        Ok(())
    }

    async fn release(self: Rc<Self>, params: relay_peer::ReleaseParams, _: relay_peer::ReleaseResults) -> Result<()> {
        let params = params.get()?;
        let endpoint = parse(params.get_endpoint())?;
        let update = reservations::reservation_update(params);
        if params.get_slowdown() > 0 {
            self.handler.on_slowdown(&endpoint, u32::from(params.get_slowdown()));
        }
        self.handler
            .on_reservation_update(&endpoint, params.get_ticket(), update);
        Ok(())
    }

    async fn take_quota(
        self: Rc<Self>,
        params: relay_peer::TakeQuotaParams,
        mut results: relay_peer::TakeQuotaResults,
    ) -> Result<()> {
        let take = quotas::take(params.get()?.get_take()?)?;
        quotas::set_reply(results.get(), self.handler.take_quota(&take));
        Ok(())
    }

    async fn lend_quota(
        self: Rc<Self>,
        params: relay_peer::LendQuotaParams,
        mut results: relay_peer::LendQuotaResults,
    ) -> Result<()> {
        let params = params.get()?;
        let borrower = quotas::borrower(params)?;
        let asked = quotas::loans(params.get_asked()?)?;
        quotas::set_loan_reply(results.get(), &self.handler.lend_quota(&borrower, &asked));
        Ok(())
    }

    async fn note_origins(
        self: Rc<Self>,
        params: relay_peer::NoteOriginsParams,
        _: relay_peer::NoteOriginsResults,
    ) -> Result<()> {
        let origins = params.get()?.get_origins()?.iter().map(convert::origin);
        self.handler.on_origins(origins.collect::<Result<_>>()?);
        Ok(())
    }

    async fn find_origin(
        self: Rc<Self>,
        params: relay_peer::FindOriginParams,
        mut results: relay_peer::FindOriginResults,
    ) -> Result<()> {
        let stream = text(params.get()?.get_stream())?;
        if let Some(origin) = self.handler.find_origin(&stream) {
            convert::set_origin(results.get().init_origin(), &origin);
        }
        Ok(())
    }

    async fn relay(
        self: Rc<Self>,
        params: relay_peer::RelayParams,
        mut results: relay_peer::RelayResults,
    ) -> Result<()> {
        let (mut call, sink) = {
            let params = params.get()?;
            (calls::call(params.get_call()?)?, params.get_sink()?)
        };
        // The message has the body once more.
        drop(params);
        let end = match self.handler.hold_body(self.from, call.body.len() as u64) {
            Ok(held) => {
                call.body = held.attach(call.body);
                run_call(&self.handler, self.from, call, &sink).await?
            }
            Err(refusal) => CallEnd::refused(refusal),
        };
        calls::set_relay_results(results.get(), end);
        Ok(())
    }

    async fn open_body(
        self: Rc<Self>,
        params: relay_peer::OpenBodyParams,
        mut results: relay_peer::OpenBodyResults,
    ) -> Result<()> {
        let len = params.get()?.get_length();
        match self.handler.hold_body(self.from, len) {
            Ok(held) => {
                let upload = Upload::new(self.handler.clone(), self.from, len as usize, held)?;
                results.get().set_upload(capnp_rpc::new_client(upload));
            }
            Err(refusal) => calls::set_call_end(results.get().init_end(), CallEnd::refused(refusal)),
        }
        Ok(())
    }
}

/// Runs a forwarded request whose body is complete, and relays the response.
pub(super) async fn run_call<H: RelayHandler>(
    handler: &H,
    from: IpAddr,
    call: RelayCall,
    sink: &answer_sink::Client,
) -> Result<CallEnd> {
    let window = call.response_window.unwrap_or(RESPONSE_WINDOW) as usize;
    let (tx, rx) = mpsc::channel(EVENT_BUFFER);
    let ((), relayed) = futures::join!(
        handler.on_forwarded_request(from, call, tx),
        relay_response(rx, sink, window)
    );
    relayed
}

/// Relays the parts of a response to the peer, at most `window` bytes of which are unacknowledged unless a single part is
/// longer; returns how it ended.
async fn relay_response(
    mut rx: mpsc::Receiver<RelayEvent>,
    sink: &answer_sink::Client,
    window: usize,
) -> Result<CallEnd> {
    let mut in_flight = InFlight::default();
    let mut len = 0;
    while let Some(event) = rx.recv().await {
        match event {
            RelayEvent::Head {
                status,
                headers,
                software,
            } => {
                let mut request = sink.head_request();
                request.get().set_status(status);
                if let Some(software) = software {
                    request.get().set_software(software.as_str());
                }
                calls::set_headers(request.get().init_headers(list_len(&headers)), &headers);
                in_flight.push(Bytes::new(), request.send().promise);
            }
            RelayEvent::Chunk(data) => {
                in_flight.wait_for_room(data.len(), window).await?;
                len += data.len() as u64;
                let mut request = sink.chunk_request();
                request.get().set_data(&data);
                in_flight.push(data, request.send().promise);
            }
            RelayEvent::End(end) => {
                // The reply to the call follows the chunks at once. Dropping the calls in flight would cancel them.
                tokio::task::spawn_local(async move {
                    let _broken = in_flight.finish().await;
                    // The handler waits until the peer has all chunks.
                    drop(rx);
                });
                return Ok(CallEnd { len, outcome: end });
            }
            // The peer must have all chunks before the call fails, as it drops those that are still in flight.
            RelayEvent::Broken => {
                in_flight.finish().await?;
                break;
            }
            // Only events of a response are relayed.
            RelayEvent::Silent(_) => {}
            RelayEvent::NotSent(_) => {
                let refusal = CallRefusal {
                    refusal: Kind::EndpointUnreachable.into(),
                    version: Version(0),
                };
                return Ok(CallEnd {
                    len,
                    outcome: Err(refusal),
                });
            }
        }
    }
    Err(capnp::Error::failed("the answer broke off".to_owned()))
}
