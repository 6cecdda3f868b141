//! Callers' connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Version};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use spdlog::prelude::*;
use sw_conf::Limits;
use sw_error::Kind;
use sw_http::{CallerStream, HeldResponse};
use sw_limit::{Connection, Limit, LimitOptions, RequestGuard};
use sw_time::Clock as _;
use sw_unit::{Millis, Time};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::process::Gateway;
use crate::request;

/// Delay after a failed `accept`, for example when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Period in milliseconds of the check of callers; a limit is logged at most once in it.
const LIMIT_PERIOD: Millis = Millis(500);
/// Maximum number of concurrent requests on an HTTP/2 connection.
const MAX_STREAMS: u32 = 64;
/// Bytes of a request or of a response that an HTTP/2 stream buffers.
const STREAM_WINDOW_BYTES: u32 = 64 << 10;
/// Bytes of all requests that an HTTP/2 connection buffers.
const CONNECTION_WINDOW_BYTES: u32 = 256 << 10;

/// The callers' listener.
#[derive(Debug)]
pub(crate) struct Listener {
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl Listener {
    /// Stops accepting connections and waits until the open ones have completed their requests.
    pub(crate) async fn shutdown(self) {
        // Fails only if the task has already ended.
        let _stopped = self.stop.send(());
        let _ended = self.task.await;
    }
}

/// Serves callers' connections until [`Listener::shutdown`].
pub(crate) fn listen(listener: TcpListener, gateway: Arc<Gateway>) -> Listener {
    let (stop, stopped) = oneshot::channel();
    let task = tokio::spawn(async move {
        let graceful = GracefulShutdown::new();
        tokio::select! {
            () = accept(&listener, gateway, &graceful) => {}
            _ = stopped => {}
        }
        drop(listener);
        graceful.shutdown().await;
    });
    Listener { stop, task }
}

async fn accept(listener: &TcpListener, gateway: Arc<Gateway>, graceful: &GracefulShutdown) {
    loop {
        match listener.accept().await {
            // A connection that a limit does not permit is closed without an answer.
            Ok((stream, address)) => {
                if let Ok(opened) = gateway.callers.open(address.ip(), gateway.timers.clock().now()) {
                    tokio::spawn(serve(stream, Arc::clone(&gateway), graceful.watcher(), opened));
                }
            }
            Err(error) => {
                let reason = error.to_string();
                warn!("accept_failed", kv: { reason = reason.as_str() });
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve(
    stream: TcpStream,
    gateway: Arc<Gateway>,
    watcher: Watcher,
    (connection, ended): (Connection, oneshot::Receiver<Limit>),
) {
    if stream.set_nodelay(true).is_err() || sw_http::enable_caller_keepalive(&stream).is_err() {
        return;
    }
    let limits = gateway.settings.limits;
    let clock = *gateway.timers.clock();
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout.0))
        .max_buf_size(limits.max_headers.0 as usize);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(limits.max_headers.0 as u32)
        .max_concurrent_streams(MAX_STREAMS)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_send_buf_size(STREAM_WINDOW_BYTES as usize);
    let stream = CallerStream::new(stream, connection.clone(), clock);
    let opened = connection.clone();
    let service = service_fn(move |mut req: Request<Incoming>| {
        let gateway = Arc::clone(&gateway);
        let version = req.version();
        let request = begin_request(&opened, version, clock.now());
        req.extensions_mut().insert(opened.clone());
        async move {
            let Ok(request) = request else {
                let refused = request::refuse(&gateway, Kind::Overloaded.into());
                return Ok(refused.map(|body| HeldResponse::refusal(body, clock)));
            };
            let response = request::serve(gateway, req).await;
            Ok::<_, Infallible>(response.map(|body| HeldResponse::new(body, request, version, clock)))
        }
    });
    let served = builder.serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // A broken connection ends only its own requests.
        _ended = watcher.watch(served) => {}
        Ok(_limit) = ended => connection.on_ended(),
    }
}

/// Begins a request. Requests over HTTP/2 have a limit of their own, because one connection carries several.
fn begin_request(connection: &Connection, version: Version, now: Time) -> Result<RequestGuard, Limit> {
    if version < Version::HTTP_2 {
        Ok(connection.begin_request(now))
    } else {
        connection.begin_stream(now)
    }
}

/// Ends callers that make no progress, and reports which limits have acted.
pub(crate) async fn watch_limits(gateway: Arc<Gateway>) {
    let limits = gateway.settings.limits;
    let mut ticks = gateway.timers.subscribe(LIMIT_PERIOD);
    loop {
        let now = ticks.tick().await;
        gateway
            .callers
            .end_overdue(limits.header_timeout, limits.body_idle, now);
        for report in gateway.callers.take_reports() {
            let (limit, address): (&str, String) = (report.limit.into(), report.address.to_string());
            let (count, address) = (report.count, address.as_str());
            warn!("caller_limit", kv: { limit, count, address });
        }
    }
}

/// Returns the limits that the settings state, and the others by default.
pub(crate) fn limit_options(limits: &Limits) -> LimitOptions {
    let memory = limits.caller_memory.unwrap_or(LimitOptions::for_vm(None, None).memory);
    let options = LimitOptions::new(memory, u64::from(limits.max_connections));
    LimitOptions {
        memory_per_address: limits.memory_per_address.unwrap_or(options.memory_per_address),
        connections_per_address: limits
            .connections_per_address
            .unwrap_or(options.connections_per_address),
        requests: limits.requests.unwrap_or(options.requests),
        requests_per_address: limits
            .requests
            .map_or(options.requests_per_address, LimitOptions::address_share),
        ..options
    }
}
