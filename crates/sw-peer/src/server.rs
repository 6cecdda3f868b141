//! Incoming calls.

use std::net::SocketAddr;

use bytes::Bytes;
use capnp::capability::Rc;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::io::{BufReader, BufWriter};
use futures::stream::{FuturesUnordered, StreamExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::compat::{TokioAsyncReadCompatExt as _, TokioAsyncWriteCompatExt as _};

use crate::peer_capnp::{peer, sink};
use crate::{ForwardEvent, Handler, convert};

type Result<T> = std::result::Result<T, capnp::Error>;

/// Chunks of an answer that are under way to the other VM at a time.
pub(crate) const CHUNK_WINDOW: usize = 32;
/// Events of an answer that wait for the window.
pub(crate) const EVENT_BUFFER: usize = 16;

/// Serves connections until the listener fails.
pub(crate) async fn serve<H: Handler>(listener: TcpListener, handler: H) {
    while let Ok((stream, _)) = listener.accept().await {
        if stream.set_nodelay(true).is_ok() {
            let server: peer::Client = capnp_rpc::new_client(Server {
                handler: handler.clone(),
            });
            tokio::task::spawn_local(serve_connection(stream, server.client));
        }
    }
}

/// The local address of a listener that is not bound yet; bound here so that `start` can report a failure.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Serves a connection with the interface `main`.
pub(crate) async fn serve_connection(stream: TcpStream, main: capnp::capability::Client) {
    let network = network(stream, Side::Server);
    // An error ends this connection only; the other VM makes a new one.
    let _ended = RpcSystem::new(Box::new(network), Some(main)).await;
}

/// The RPC network on a connection.
pub(crate) fn network(
    stream: TcpStream,
    side: Side,
) -> twoparty::VatNetwork<BufReader<tokio_util::compat::Compat<tokio::net::tcp::OwnedReadHalf>>> {
    let (reader, writer) = stream.into_split();
    let (reader, writer) = (BufReader::new(reader.compat()), BufWriter::new(writer.compat_write()));
    twoparty::VatNetwork::new(reader, writer, side, capnp::message::ReaderOptions::default())
}

struct Server<H> {
    handler: H,
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
            convert::set_offer(results.get().init_configuration(), &offer);
        }
        Ok(())
    }

    async fn forward(self: Rc<Self>, params: peer::ForwardParams, mut results: peer::ForwardResults) -> Result<()> {
        let params = params.get()?;
        let mut forward = convert::forward(params.get_envelope()?)?;
        forward.body = Bytes::copy_from_slice(params.get_body()?);
        let sink = params.get_sink()?;
        let (tx, rx) = mpsc::channel(EVENT_BUFFER);
        self.handler.on_forwarded_request(forward, tx).await;
        let (length, end) = relay(rx, &sink).await?;
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
        if let Some(standing) = self.handler.ticket_status(workspace, ticket).await {
            let mut results = results.get();
            results.set_known(true);
            results.set_begin(standing.to_string().as_str());
        }
        Ok(())
    }
}

fn stopping() -> capnp::Error {
    capnp::Error::failed("the process is stopping".to_owned())
}

/// Passes the parts of an answer on to the other VM, and returns their length and how the answer ended.
async fn relay(
    mut rx: mpsc::Receiver<ForwardEvent>,
    sink: &sink::Client,
) -> Result<(u64, std::result::Result<(), sw_error::Refusal>)> {
    let mut under_way = FuturesUnordered::new();
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
                under_way.push(request.send().promise);
            }
            ForwardEvent::End(end) => {
                while let Some(done) = under_way.next().await {
                    done?;
                }
                return Ok((length, end));
            }
            ForwardEvent::NotSent => break,
        }
        while under_way.len() >= CHUNK_WINDOW {
            if let Some(done) = under_way.next().await {
                done?;
            }
        }
    }
    Err(capnp::Error::failed("the answer broke off".to_owned()))
}
