//! Connections to endpoints.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// An idle connection older than this may have been forgotten by something between the two ends.
const MAX_IDLE: Duration = Duration::from_secs(2);
/// Idle connections that are kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// A connection on which nothing comes is probed after this time,
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// this often,
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// and breaks after this many probes without an answer.
const KEEPALIVE_RETRIES: u32 = 2;

type Sender = SendRequest<Full<Bytes>>;

/// How a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No connection was made, so nothing was sent.
    Connect,
    /// It was sent, or may have been, and the connection broke before the answer's headers.
    Broken,
    /// It was sent, or may have been, and the answer's headers did not come in time.
    Timeout,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connect => "no connection could be made",
            Self::Broken => "the connection broke",
            Self::Timeout => "there was no answer in time",
        })
    }
}

impl std::error::Error for CallError {}

/// Whether a connection may be used that was used before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// A new connection is made.
    Never,
    /// An idle one is taken if there is one.
    Allowed,
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
}

/// Opens connections and keeps idle ones.
#[derive(Debug, Clone)]
pub struct Connector {
    connect_timeout: Duration,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
}

/// A connection that is in use; it is closed when dropped, unless it is given back.
#[derive(Debug)]
pub struct Exchange {
    sender: Sender,
    address: SocketAddr,
    connector: Connector,
}

impl Connector {
    /// A connector that gives up a connection attempt after `connect_timeout`.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            idle: Arc::default(),
        }
    }

    /// A connection to `address`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Connect`] if none can be made in time.
    pub async fn connect(&self, address: SocketAddr, reuse: Reuse) -> Result<Exchange, CallError> {
        if reuse == Reuse::Allowed
            && let Some(sender) = self.take_idle(address)
        {
            return Ok(Exchange {
                sender,
                address,
                connector: self.clone(),
            });
        }
        let connect = tokio::time::timeout(self.connect_timeout, open(address));
        let sender = connect.await.unwrap_or(Err(CallError::Connect))?;
        Ok(Exchange {
            sender,
            address,
            connector: self.clone(),
        })
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        connections.retain(|idle| idle.since.elapsed() < MAX_IDLE && idle.sender.is_ready());
        connections.pop().map(|idle| idle.sender)
    }
}

async fn open(address: SocketAddr) -> Result<Sender, CallError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|_refused| CallError::Connect)?;
    stream.set_nodelay(true).map_err(|_closed| CallError::Connect)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    SockRef::from(&stream)
        .set_tcp_keepalive(&keepalive)
        .map_err(|_closed| CallError::Connect)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_closed| CallError::Connect)?;
    tokio::spawn(connection);
    Ok(sender)
}

impl Exchange {
    /// Sends a request and waits for the headers of its answer.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Broken`] or [`CallError::Timeout`]; the request may have been run in both cases.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        let response = tokio::time::timeout(timeout, self.sender.send_request(req));
        match response.await {
            Ok(response) => response.map_err(|_closed| CallError::Broken),
            Err(_elapsed) => Err(CallError::Timeout),
        }
    }

    /// Keeps the connection for another request; only to be called after the whole answer was read.
    pub fn give_back(self) {
        let Self {
            sender,
            address,
            connector,
        } = self;
        let mut idle = connector.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(Idle {
                sender,
                since: Instant::now(),
            });
        }
    }
}
