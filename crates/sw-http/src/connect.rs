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
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// An idle connection older than this may have been forgotten by something between the two ends.
const MAX_IDLE: Duration = Duration::from_secs(2);
/// Idle connections that are kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 32;
/// Longest head of an answer, in bytes.
const MAX_HEAD: usize = 64 << 10;

type Sender = SendRequest<Full<Bytes>>;

/// How a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No connection was made, so nothing was sent.
    Connect,
    /// The connection was closed before any of the request was sent.
    Unsent,
    /// It was sent, or may have been, and the connection broke before the answer's headers.
    Broken,
    /// It was sent, or may have been, and the answer's headers did not come in time.
    Timeout,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connect => "no connection could be made",
            Self::Unsent => "the connection was closed before it was used",
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
    /// One is taken that has been idle for less than this.
    IdleFor(Duration),
}

#[derive(Debug)]
struct Open {
    sender: Sender,
    task: AbortHandle,
}

#[derive(Debug)]
struct Idle {
    open: Open,
    since: Instant,
    until: Instant,
}

/// Opens connections and keeps idle ones.
#[derive(Debug, Clone)]
pub struct Connector {
    connect_timeout: Duration,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
}

/// A connection that is in use; it is closed at once when dropped, unless it is given back.
#[derive(Debug)]
pub struct Exchange {
    open: Option<Open>,
    address: SocketAddr,
    connector: Connector,
    reused: bool,
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
        let idle = match reuse {
            Reuse::Never => None,
            Reuse::Allowed => self.take_idle(address, MAX_IDLE),
            Reuse::IdleFor(limit) => self.take_idle(address, limit),
        };
        if let Some(open) = idle {
            return Ok(self.exchange(open, address, true));
        }
        let connect = tokio::time::timeout(self.connect_timeout, open(address));
        let open = connect.await.unwrap_or(Err(CallError::Connect))?;
        Ok(self.exchange(open, address, false))
    }

    fn exchange(&self, open: Open, address: SocketAddr, reused: bool) -> Exchange {
        Exchange {
            open: Some(open),
            address,
            connector: self.clone(),
            reused,
        }
    }

    /// Takes the connection that was used last, if it has been idle for less than `limit`.
    fn take_idle(&self, address: SocketAddr, limit: Duration) -> Option<Open> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections.retain(|idle| now < idle.until && idle.open.sender.is_ready());
        let newest = connections.pop_if(|idle| now.duration_since(idle.since) < limit);
        newest.map(|idle| idle.open)
    }

    /// Closes idle connections whose time is over.
    pub fn prune(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        for connections in idle.values_mut() {
            connections.retain(|idle| now < idle.until && idle.open.sender.is_ready());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

async fn open(address: SocketAddr) -> Result<Open, CallError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|_refused| CallError::Connect)?;
    stream.set_nodelay(true).map_err(|_closed| CallError::Connect)?;
    crate::enable_keepalive(&stream).map_err(|_closed| CallError::Connect)?;
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_HEAD)
        .handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(|_closed| CallError::Connect)?;
    let task = tokio::spawn(connection).abort_handle();
    Ok(Open { sender, task })
}

impl Exchange {
    /// Sends a request and waits for the headers of its answer.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Unsent`], or [`CallError::Broken`] or [`CallError::Timeout`]; the request may have been run
    /// in the last two cases.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        let open = self.open.as_mut().ok_or(CallError::Unsent)?;
        let response = tokio::time::timeout(timeout, open.sender.try_send_request(req));
        match response.await {
            Ok(Ok(response)) => Ok(response),
            // The library hands the request back if it wrote none of it.
            Ok(Err(error)) if error.message().is_some() => Err(CallError::Unsent),
            Ok(Err(_broken)) => Err(CallError::Broken),
            Err(_elapsed) => Err(CallError::Timeout),
        }
    }

    /// Whether the connection carried another request before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Keeps the connection for another request; only to be called after the whole answer was read.
    pub fn give_back(self) {
        self.give_back_for(MAX_IDLE);
    }

    /// Keeps the connection for another request within `idle`; only to be called after the whole answer was read.
    pub fn give_back_for(mut self, limit: Duration) {
        let Some(open) = self.open.take() else {
            return;
        };
        let mut idle = self.connector.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(self.address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            let since = Instant::now();
            connections.push(Idle {
                open,
                since,
                until: since + limit,
            });
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if let Some(open) = &self.open {
            open.task.abort();
        }
    }
}
