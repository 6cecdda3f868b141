//! HTTP connections and their reuse.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt as _, Collected, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::head_limit::{Allowance, LimitedStream};
use crate::upload::{Upload, UploadState};

/// Maximum idle time; middleboxes such as NAT may drop the state of a connection that is idle for longer.
const MAX_IDLE: Duration = Duration::from_secs(2);
/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 32;
/// Maximum size of a response head in bytes.
const MAX_HEAD: usize = 64 << 10;
/// Maximum number of bytes up to the end of a response head, with the interim heads before it and what is read with it.
const MAX_BEFORE_BODY: usize = 2 * MAX_HEAD;

/// Status codes of final responses; a caller cannot use another one.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;
/// Time within which a probe's connection is reset if it does not lead to the endpoint.
const RESET_TIME: Duration = Duration::from_millis(30);

type Sender = SendRequest<Upload>;

/// Error of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No connection was established, so nothing was sent.
    Connect,
    /// The connection was closed before any byte of the request was sent.
    Unsent,
    /// The connection broke before the response headers arrived; the request may have been sent.
    Broken,
    /// The response headers did not arrive in time; the request may have been sent.
    Timeout,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Connect => "no connection could be made",
            Self::Unsent => "the connection was closed before the request was sent",
            Self::Broken => "the connection broke before the response",
            Self::Timeout => "no response in time",
        })
    }
}

impl std::error::Error for CallError {}

/// Whether an idle connection may be reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Always open a new connection.
    Never,
    /// Reuse an idle connection if there is one.
    Allowed,
    /// Reuse a connection that has been idle for less than this.
    IdleFor(Duration),
}

#[derive(Debug)]
struct OpenConnection {
    sender: Sender,
    allowance: Allowance,
    upload: UploadState,
    task: AbortHandle,
}

#[derive(Debug)]
struct IdleConnection {
    open: OpenConnection,
    idle_since: Instant,
    expires_at: Instant,
}

/// Opens connections and keeps idle ones for reuse.
#[derive(Debug, Clone)]
pub struct Connector {
    connect_timeout: Duration,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

/// An HTTP exchange on a connection, which is closed on drop unless [`give_back`](Self::give_back) keeps it for reuse.
#[derive(Debug)]
pub struct Exchange {
    open: Option<OpenConnection>,
    address: SocketAddr,
    connector: Connector,
    reused: bool,
}

impl Connector {
    /// Creates a connector that waits up to `connect_timeout` for a connection.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            idle: Arc::default(),
        }
    }

    /// Returns a connection to `address`, either an idle one or a new one.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Connect`] if no connection can be established in time.
    pub async fn connect(&self, address: SocketAddr, reuse: Reuse) -> Result<Exchange, CallError> {
        match self.take(address, reuse) {
            Some(exchange) => Ok(exchange),
            None => self.open(address).await,
        }
    }

    /// Takes an idle connection to `address` if there is one that may be reused.
    pub fn take(&self, address: SocketAddr, reuse: Reuse) -> Option<Exchange> {
        let idle = match reuse {
            Reuse::Never => None,
            Reuse::Allowed => self.take_idle(address, MAX_IDLE),
            Reuse::IdleFor(max_idle) => self.take_idle(address, max_idle),
        };
        idle.map(|open| self.exchange(open, address, true))
    }

    /// Opens a new connection to `address`.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Connect`] if no connection can be established in time.
    pub async fn open(&self, address: SocketAddr) -> Result<Exchange, CallError> {
        let connect = tokio::time::timeout(self.connect_timeout, open(address));
        let open = connect.await.unwrap_or(Err(CallError::Connect))?;
        Ok(self.exchange(open, address, false))
    }

    fn exchange(&self, open: OpenConnection, address: SocketAddr, reused: bool) -> Exchange {
        Exchange {
            open: Some(open),
            address,
            connector: self.clone(),
            reused,
        }
    }

    /// Takes the most recently used idle connection if it has been idle for less than `max_idle`.
    fn take_idle(&self, address: SocketAddr, max_idle: Duration) -> Option<OpenConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        connections.retain(|idle| now < idle.expires_at && idle.open.sender.is_ready());
        let newest = connections.pop_if(|idle| now.duration_since(idle.idle_since) < max_idle);
        newest.map(|idle| idle.open)
    }

    /// Returns the number of idle connections to an address.
    pub fn idle_count(&self, address: SocketAddr) -> usize {
        let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get(&address).map_or(0, Vec::len)
    }

    /// Closes the connections to an address that have been idle for longest until at most `max` are left.
    pub fn truncate_idle(&self, address: SocketAddr, max: usize) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(connections) = idle.get_mut(&address) {
            let excess = connections.len().saturating_sub(max);
            connections.drain(..excess);
        }
    }

    /// Closes the idle connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&address);
    }

    /// Closes idle connections that have expired.
    pub fn prune(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        for connections in idle.values_mut() {
            connections.retain(|idle| now < idle.expires_at && idle.open.sender.is_ready());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }
}

/// Returns whether `address` refuses connections; one that does not answer within `timeout` does not refuse.
pub async fn is_refused(address: SocketAddr, timeout: Duration) -> bool {
    match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Why a probe's connection failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeError {
    /// It was refused.
    Refused,
    /// It was closed or reset at once.
    Reset,
    /// It was not established in time.
    Timeout,
}

/// Makes a connection to `address` within `timeout` and closes it again, without sending anything.
///
/// # Errors
///
/// Returns why no connection was made, or that it did not stay open.
pub async fn probe(address: SocketAddr, timeout: Duration) -> Result<(), ProbeError> {
    let stream = match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_refused)) => return Err(ProbeError::Refused),
        Err(_elapsed) => return Err(ProbeError::Timeout),
    };
    // A connection that is reset at once is readable; one that stays open is not, because nothing was sent.
    let mut byte = [0];
    match tokio::time::timeout(RESET_TIME, stream.readable()).await {
        Ok(Ok(())) if stream.try_read(&mut byte).is_ok_and(|len| len > 0) => Ok(()),
        Ok(_closed) => Err(ProbeError::Reset),
        Err(_open) => Ok(()),
    }
}

async fn open(address: SocketAddr) -> Result<OpenConnection, CallError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|_refused| CallError::Connect)?;
    stream.set_nodelay(true).map_err(|_closed| CallError::Connect)?;
    crate::enable_keepalive(&stream).map_err(|_closed| CallError::Connect)?;
    let upload = UploadState::new();
    let (stream, allowance) = LimitedStream::new(stream, upload.clone());
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_HEAD)
        .handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(|_closed| CallError::Connect)?;
    let task = tokio::spawn(connection).abort_handle();
    Ok(OpenConnection {
        sender,
        allowance,
        upload,
        task,
    })
}

impl Exchange {
    /// Sends a request and waits for the response headers.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Unsent`] if nothing was sent. After [`CallError::Broken`] and [`CallError::Timeout`] the
    /// request may have run. A response whose status is no final one of HTTP is [`CallError::Broken`].
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, CallError> {
        let open = self.open.as_mut().ok_or(CallError::Unsent)?;
        open.allowance.limit(MAX_BEFORE_BODY);
        let (parts, body) = req.into_parts();
        let body = body
            .collect()
            .await
            .map_or_else(|never| match never {}, Collected::to_bytes);
        let req = Request::from_parts(parts, Upload::new(body, open.upload.clone()));
        let response = tokio::time::timeout(timeout, open.sender.try_send_request(req));
        match response.await {
            Ok(Ok(response)) if !FINAL_STATUSES.contains(&response.status().as_u16()) => Err(CallError::Broken),
            Ok(Ok(response)) => {
                open.allowance.lift();
                Ok(response)
            }
            // hyper returns the request if it has written none of it.
            Ok(Err(error)) if error.message().is_some() => Err(CallError::Unsent),
            Ok(Err(_broken)) => Err(CallError::Broken),
            Err(_elapsed) => Err(CallError::Timeout),
        }
    }

    /// Returns whether the connection has been used for an earlier request.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Keeps the connection for reuse; must only be called after the complete response has been read.
    pub fn give_back(self) {
        self.give_back_for(MAX_IDLE);
    }

    /// Keeps the connection for reuse within `max_idle`; must only be called after the complete response has been read.
    pub fn give_back_for(mut self, max_idle: Duration) {
        let Some(open) = self.open.take() else {
            return;
        };
        let mut idle = self.connector.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(self.address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            let idle_since = Instant::now();
            connections.push(IdleConnection {
                open,
                idle_since,
                expires_at: idle_since + max_idle,
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
