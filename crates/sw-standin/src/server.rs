//! An HTTP server that stops when dropped.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use sw_http::{BodyError, ResponseBody};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What the server does with a request.
#[derive(Debug)]
pub enum Reply {
    /// Send a response.
    Response(Response<ResponseBody>),
    /// Close the connection without a response.
    Close,
}

/// The request handler of a server.
pub trait Handler: Send + Sync + 'static {
    /// Handles a request.
    fn handle(self: Arc<Self>, req: Request<Incoming>) -> impl Future<Output = Reply> + Send;
}

/// A server on loopback. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    _shutdown: watch::Sender<()>,
}

impl Server {
    /// Starts a server on `address`; port 0 takes any free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start<H: Handler>(address: SocketAddr, handler: Arc<H>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (shutdown, dropped) = watch::channel(());
        tokio::spawn(accept(listener, handler, dropped));
        Ok(Self {
            address,
            _shutdown: shutdown,
        })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept<H: Handler>(listener: TcpListener, handler: Arc<H>, mut dropped: watch::Receiver<()>) {
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                tokio::spawn(serve(stream, Arc::clone(&handler), dropped.clone()));
            }
            _ = dropped.changed() => return,
        }
    }
}

async fn serve<H: Handler>(stream: TcpStream, handler: Arc<H>, mut dropped: watch::Receiver<()>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(|req| {
        let handler = Arc::clone(&handler);
        async move {
            match handler.handle(req).await {
                Reply::Response(response) => Ok(response),
                Reply::Close => Err(BodyError),
            }
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ended = connection => {}
        _ = dropped.changed() => {}
    }
}
