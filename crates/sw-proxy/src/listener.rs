//! Listeners and connections of callers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use spdlog::prelude::*;
use sw_http::{CallerStream, HeldResponse};
use sw_limit::{CallerAccount, Connection, Limit};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch};

use crate::Dialect;
use crate::request::HttpResponse;
use crate::state::ProxyState;

/// Delay after a failed `accept`, for example when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;
/// Minimum and maximum size of the buffer for a request head.
const HEADER_BUFFER_BYTES: (usize, usize) = (8 << 10, 1 << 20);

/// Binds a listening socket to `address`.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub(crate) fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Accepts and serves connections until `stop` is set, then waits for their requests to finish.
pub(crate) async fn serve<D, F, S, A>(
    state: Rc<ProxyState<D, F>>,
    listener: TcpListener,
    account: CallerAccount,
    mut stop: watch::Receiver<bool>,
    service: S,
) where
    D: Dialect,
    F: 'static,
    S: Fn(Rc<ProxyState<D, F>>, Request<Incoming>) -> A + Copy + 'static,
    A: Future<Output = HttpResponse> + 'static,
{
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        match accepted {
            // A connection that a limit does not permit is closed without an answer.
            Ok((stream, address)) => {
                if let Ok(opened) = account.open(address.ip(), state.now()) {
                    serve_connection(&state, stream, opened, &graceful, service);
                }
            }
            Err(error) => {
                let reason = error.to_string();
                warn!("accept_failed", kv: { reason = reason.as_str() });
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve_connection<D, F, S, A>(
    state: &Rc<ProxyState<D, F>>,
    stream: TcpStream,
    (connection, ended): (Connection, oneshot::Receiver<Limit>),
    graceful: &GracefulShutdown,
    service: S,
) where
    D: Dialect,
    F: 'static,
    S: Fn(Rc<ProxyState<D, F>>, Request<Incoming>) -> A + Copy + 'static,
    A: Future<Output = HttpResponse> + 'static,
{
    if stream.set_nodelay(true).is_err() || sw_http::enable_caller_keepalive(&stream).is_err() {
        return;
    }
    let limits = state
        .relay
        .borrow()
        .table()
        .map(|table| table.limits)
        .unwrap_or_default();
    let (min, max) = HEADER_BUFFER_BYTES;
    let state = Rc::clone(state);
    let stream = CallerStream::new(stream, connection.clone(), state.clock);
    let opened = connection.clone();
    let handler = service_fn(move |mut req: Request<Incoming>| {
        let state = Rc::clone(&state);
        let request = opened.begin_request(state.now());
        req.extensions_mut().insert(opened.clone());
        let version = req.version();
        async move {
            let mut response = service(Rc::clone(&state), req).await;
            if state.draining_for().is_some() {
                response
                    .headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
            }
            let clock = state.clock;
            Ok::<_, Infallible>(response.map(|body| HeldResponse::new(body, request, version, clock)))
        }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout.0))
        .max_buf_size((limits.max_headers.0 as usize).clamp(min, max))
        .serve_connection(TokioIo::new(stream), handler);
    let served = graceful.watch(served);
    tokio::task::spawn_local(async move {
        tokio::select! {
            // An error affects only the requests of this connection.
            _ended = served => {}
            Ok(_limit) = ended => connection.on_ended(),
        }
    });
}
