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

/// Longest answer of the platform.
const MAX_ANSWER_LEN: u64 = 8 << 20;

/// How a JSON call failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JsonError {
    /// The call failed.
    Call(CallError),
    /// The other end answered with this status.
    Status(u16),
    /// The answer is not what was expected, or broke off.
    Malformed,
}

impl JsonError {
    /// Whether the call may have taken effect.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::Call(CallError::Connect | CallError::Unsent))
    }
}

impl fmt::Display for JsonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(error) => write!(f, "{error}"),
            Self::Status(status) => write!(f, "the answer had status {status}"),
            Self::Malformed => f.write_str("the answer was not understood"),
        }
    }
}

impl std::error::Error for JsonError {}

/// Makes JSON calls, each within one time-out.
#[derive(Debug, Clone)]
pub struct JsonClient {
    connector: Connector,
    timeout: Duration,
}

impl JsonClient {
    /// A caller that gives up a call after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            connector: Connector::new(timeout),
            timeout,
        }
    }

    /// Posts `body` and reads the answer.
    ///
    /// # Errors
    ///
    /// Returns [`JsonError`]; [`JsonError::may_have_run`] tells whether the call may have taken effect.
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

    /// Makes a call.
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
        let call = tokio::time::timeout(self.timeout, self.call_untimed(address, method, path, body));
        let bytes = call.await.unwrap_or(Err(timeout))?;
        serde_json::from_slice(&bytes).map_err(|_not_json| JsonError::Malformed)
    }

    /// Posts `body` and returns the lines of an answer that does not end.
    ///
    /// # Errors
    ///
    /// Returns [`JsonError`] if the answer does not begin.
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
            _exchange: exchange,
        })
    }

    async fn call_untimed(
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
        let body = read_body(response.into_body(), MAX_ANSWER_LEN, self.timeout).await;
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

/// The lines of an answer that does not end.
#[derive(Debug)]
pub struct JsonLines {
    body: Incoming,
    buf: BytesMut,
    _exchange: Exchange,
}

impl JsonLines {
    /// The next line; `None` if the answer ended or broke.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Option<T> {
        loop {
            if let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
                let line = self.buf.split_to(end + 1);
                return serde_json::from_slice(&line).ok();
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                self.buf.extend_from_slice(&data);
            }
        }
    }
}
