//! Callers' connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::task::JoinHandle;

use crate::process::Gateway;
use crate::request;

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
    let permits = Arc::new(Semaphore::new(gateway.settings.limits.max_connections as usize));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        if let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, Arc::clone(&gateway), graceful.watcher(), permit));
        }
    }
}

async fn serve(stream: TcpStream, gateway: Arc<Gateway>, watcher: Watcher, _permit: OwnedSemaphorePermit) {
    if stream.set_nodelay(true).is_err() || sw_http::enable_caller_keepalive(&stream).is_err() {
        return;
    }
    let limits = gateway.settings.limits;
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout.0))
        .max_buf_size(limits.max_headers.0 as usize);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(limits.max_headers.0 as u32);
    let service = service_fn(|req| {
        let gateway = Arc::clone(&gateway);
        async move { Ok::<_, Infallible>(request::serve(gateway, req).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    // A broken connection ends only its own requests.
    let _ended = watcher.watch(connection).await;
}
