//! Short JSON calls to the platform and to endpoints' control interfaces.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{CallError, Connector, Exchange, Reuse, read_body};

/// Maximum size of a response in bytes.
const MAX_RESPONSE_LEN: u64 = 8 << 20;

/// Error of a JSON call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JsonError {
    /// There was no response.
    Call(CallError),
    /// The response has this error status.
    Status(u16),
    /// The request could not be encoded, or the response is incomplete or not of the expected form.
    Malformed,
}

impl JsonError {
    /// Returns whether the call may have taken effect.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::Call(CallError::Connect | CallError::Unsent))
    }
}

impl fmt::Display for JsonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(error) => write!(f, "{error}"),
            Self::Status(status) => write!(f, "the response has status {status}"),
            Self::Malformed => f.write_str("the response is malformed or incomplete"),
        }
    }
}

impl std::error::Error for JsonError {}

/// A client for JSON calls with a timeout.
#[derive(Debug, Clone)]
pub struct JsonClient {
    connector: Connector,
    timeout: Duration,
}

impl JsonClient {
    /// Creates a client that waits up to `timeout` for each call.
    pub fn new(timeout: Duration) -> Self {
        Self {
            connector: Connector::new(timeout),
            timeout,
        }
    }

    /// Posts `body` and reads the response.
    ///
    /// # Errors
    ///
    /// Returns [`JsonError`]; use [`JsonError::may_have_run`] to find out whether the call may have taken effect.
    pub async fn post<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, JsonError> {
        let body = serde_json::to_vec(body).map_err(|_not_json| JsonError::Malformed)?;
        self.call(address, Method::POST, path, Bytes::from(body)).await
    }

    /// Gets a document.
    ///
    /// # Errors
    ///
    /// Returns [`JsonError`].
    pub async fn get<T: DeserializeOwned>(&self, address: SocketAddr, path: &str) -> Result<T, JsonError> {
        self.call(address, Method::GET, path, Bytes::new()).await
    }

    /// Makes a call with any method.
    ///
    /// # Errors
    ///
    /// Returns [`JsonError`].
    pub async fn call<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, JsonError> {
        let timeout = JsonError::Call(CallError::Timeout);
        let call = tokio::time::timeout(self.timeout, self.call_without_timeout(address, method, path, body));
        let bytes = call.await.unwrap_or(Err(timeout))?;
        serde_json::from_slice(&bytes).map_err(|_not_json| JsonError::Malformed)
    }

    /// Posts `body` and returns the lines of an endless response.
    ///
    /// # Errors
    ///
    /// Returns [`JsonError`] if there is no successful response head.
    pub async fn stream(&self, address: SocketAddr, path: &str, body: &impl Serialize) -> Result<JsonLines, JsonError> {
        let body = serde_json::to_vec(body).map_err(|_not_json| JsonError::Malformed)?;
        let mut exchange = self
            .connector
            .connect(address, Reuse::Never)
            .await
            .map_err(JsonError::Call)?;
        let response = self
            .send(&mut exchange, address, Method::POST, path, Bytes::from(body))
            .await?;
        Ok(JsonLines {
            body: response.into_body(),
            buf: BytesMut::new(),
            searched: 0,
            _exchange: exchange,
        })
    }

    async fn call_without_timeout(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, JsonError> {
        let mut exchange = self
            .connector
            .connect(address, Reuse::Never)
            .await
            .map_err(JsonError::Call)?;
        let response = self.send(&mut exchange, address, method, path, body).await?;
        let body = read_body(response.into_body(), MAX_RESPONSE_LEN, self.timeout).await;
        body.map_err(|_broken| JsonError::Malformed)
    }

    async fn send(
        &self,
        exchange: &mut Exchange,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, JsonError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body));
        let request = request.map_err(|_bad_path| JsonError::Malformed)?;
        let response = exchange.send(request, self.timeout).await.map_err(JsonError::Call)?;
        if !response.status().is_success() {
            return Err(JsonError::Status(response.status().as_u16()));
        }
        Ok(response)
    }
}

/// Maximum length of a line in bytes; one has the changes of the store since the line before.
const MAX_LINE: usize = 8 << 20;

/// The lines of an endless JSON response.
#[derive(Debug)]
pub struct JsonLines {
    body: Incoming,
    buf: BytesMut,
    /// Number of bytes of the buffer that have no end of a line.
    searched: usize,
    _exchange: Exchange,
}

impl JsonLines {
    /// Returns the next line; `None` if the response ended, the connection broke, or the line is malformed or too long.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Option<T> {
        loop {
            let unsearched = &self.buf[self.searched..];
            if let Some(end) = unsearched.iter().position(|byte| *byte == b'\n') {
                let line = self.buf.split_to(self.searched + end + 1);
                self.searched = 0;
                return serde_json::from_slice(&line).ok();
            }
            self.searched = self.buf.len();
            if self.searched > MAX_LINE {
                return None;
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                self.buf.extend_from_slice(&data);
            }
        }
    }
}
