//! Incoming calls from other VMs.

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use bytes::Bytes;
use capnp::capability::Rc;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::io::{BufReader, BufWriter};
use futures::stream::{FuturesUnordered, StreamExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::compat::{TokioAsyncReadCompatExt as _, TokioAsyncWriteCompatExt as _};

use crate::observed::ObservedReader;
use crate::peer_capnp::{peer, sink};
use crate::{ForwardEvent, Handler, convert};

type Result<T> = std::result::Result<T, capnp::Error>;

/// Maximum number of unacknowledged chunks of a response.
pub(crate) const CHUNK_WINDOW: usize = 32;
/// Number of events of a response to buffer while the window is full.
pub(crate) const EVENT_BUFFER: usize = 16;

/// Delay after a failed `accept`.
pub(crate) const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Accepts and serves connections. After a failure, for example when file descriptors run out, it goes on.
pub(crate) async fn serve<H: Handler>(listener: TcpListener, handler: H) {
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        if stream.set_nodelay(true).is_ok() && sw_http::enable_keepalive(&stream).is_ok() {
            let server: peer::Client = capnp_rpc::new_client(Server {
                handler: handler.clone(),
                from: address.ip(),
            });
            tokio::task::spawn_local(serve_connection(stream, server.client));
        }
    }
}

/// Binds a listener; not async, so that `start` can return the error.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Serves a connection with `main` as the bootstrap interface.
pub(crate) async fn serve_connection(stream: TcpStream, main: capnp::capability::Client) {
    let network = network(stream, Side::Server, Rc::new(Cell::new(Instant::now())));
    // An error ends only this connection; the peer opens a new one.
    let _closed = RpcSystem::new(Box::new(network), Some(main)).await;
}

/// The reading half of a connection.
type Reader = BufReader<ObservedReader<tokio_util::compat::Compat<tokio::net::tcp::OwnedReadHalf>>>;

/// Returns the RPC network of a connection; `last_read_at` is set whenever bytes are received.
pub(crate) fn network(stream: TcpStream, side: Side, last_read_at: Rc<Cell<Instant>>) -> twoparty::VatNetwork<Reader> {
    let (reader, writer) = stream.into_split();
    let reader = ObservedReader::new(reader.compat(), last_read_at);
    let (reader, writer) = (BufReader::new(reader), BufWriter::new(writer.compat_write()));
    twoparty::VatNetwork::new(reader, writer, side, capnp::message::ReaderOptions::default())
}

struct Server<H> {
    handler: H,
    /// Address of the peer.
    from: IpAddr,
}

impl<H: Handler> peer::Server for Server<H> {
    async fn greet(self: Rc<Self>, params: peer::GreetParams, mut results: peer::GreetResults) -> Result<()> {
        let heartbeat = convert::heartbeat(params.get()?.get_heartbeat()?)?;
        let reply = self.handler.on_heartbeat(heartbeat).await.ok_or_else(stopping)?;
        convert::set_heartbeat(results.get().init_heartbeat(), &reply);
        Ok(())
    }

    async fn configuration(
        self: Rc<Self>,
        params: peer::ConfigurationParams,
        mut results: peer::ConfigurationResults,
    ) -> Result<()> {
        let known = params.get()?.get_known()?;
        let known = if known.is_empty() {
            None
        } else {
            Some(convert::digest(known)?)
        };
        if let Some(offer) = self.handler.configuration(known).await {
            convert::set_config_offer(results.get().init_configuration(), &offer);
        }
        Ok(())
    }

    async fn forward(self: Rc<Self>, params: peer::ForwardParams, mut results: peer::ForwardResults) -> Result<()> {
        let (forwarded, sink) = {
            let params = params.get()?;
            let mut forwarded = convert::forwarded_request(params.get_envelope()?)?;
            forwarded.body = Bytes::copy_from_slice(params.get_body()?);
            (forwarded, params.get_sink()?)
        };
        // The message has the body once more.
        drop(params);
        let (tx, rx) = mpsc::channel(EVENT_BUFFER);
        self.handler.on_forwarded_request(self.from, forwarded, tx).await;
        let (length, end) = relay_response(rx, &sink).await?;
        let mut results = results.get();
        results.set_length(length);
        if let Err(refusal) = end {
            results.set_refused(true);
            convert::set_refusal(results.init_refusal(), refusal);
        }
        Ok(())
    }

    async fn look_up(self: Rc<Self>, params: peer::LookUpParams, mut results: peer::LookUpResults) -> Result<()> {
        let params = params.get()?;
        let workspace = convert::parse(params.get_workspace())?;
        let ticket = convert::parse(params.get_ticket())?;
        if let Some(status) = self.handler.ticket_status(workspace, ticket).await {
            let mut results = results.get();
            results.set_known(true);
            results.set_begin(status.to_string().as_str());
        }
        Ok(())
    }
}

fn stopping() -> capnp::Error {
    capnp::Error::failed("the process is stopping".to_owned())
}

/// Relays the parts of a response to the peer; returns the length of the body and how the response ended.
async fn relay_response(
    mut rx: mpsc::Receiver<ForwardEvent>,
    sink: &sink::Client,
) -> Result<(u64, std::result::Result<(), sw_error::Refusal>)> {
    let mut in_flight = FuturesUnordered::new();
    let mut length = 0;
    while let Some(event) = rx.recv().await {
        match event {
            ForwardEvent::Head { status, content_type } => {
                let mut request = sink.head_request();
                request.get().set_status(status);
                request.get().set_content_type(content_type.as_str());
                request.send().promise.await?;
            }
            ForwardEvent::Chunk(data) => {
                length += data.len() as u64;
                let mut request = sink.chunk_request();
                request.get().set_data(&data);
                in_flight.push(request.send().promise);
            }
            ForwardEvent::End(end) => {
                while let Some(result) = in_flight.next().await {
                    result?;
                }
                return Ok((length, end));
            }
        }
        while in_flight.len() >= CHUNK_WINDOW {
            if let Some(result) = in_flight.next().await {
                result?;
            }
        }
    }
    Err(capnp::Error::failed("the answer broke off".to_owned()))
}
