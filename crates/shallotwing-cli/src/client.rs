//! Requests to a VM's address for callers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderMap};
use hyper::{Method, Request};
use serde_json::Value;
use sw_http::{Connector, Reuse, read_body};

use crate::failure::Failure;

const TIMEOUT: Duration = Duration::from_secs(15);
const MAX_RESPONSE_BYTES: u64 = 1 << 20;

/// A complete response.
#[derive(Debug)]
pub(crate) struct Response {
    /// HTTP status.
    pub(crate) status: u16,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// Body.
    pub(crate) body: Bytes,
}

impl Response {
    /// Returns the body as JSON; null if it is not valid JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Sends a request with a workspace's bearer key.
///
/// # Errors
///
/// Returns [`Failure::Unreachable`] if no complete response arrives, and [`Failure::InvalidInput`] if `key` or `path`
/// cannot be sent.
pub(crate) async fn call(
    vm: SocketAddr,
    key: &str,
    method: Method,
    path: &str,
    headers: &[(&str, String)],
    body: &'static str,
) -> Result<Response, Failure> {
    let mut builder = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, vm.to_string())
        .header(CONTENT_TYPE, "application/json")
        .header(AUTHORIZATION, format!("Bearer {key}"));
    for (name, value) in headers {
        builder = builder.header(*name, value);
    }
    let request = builder.body(Full::new(Bytes::from_static(body.as_bytes())));
    let request = request.map_err(|error| Failure::InvalidInput(error.to_string()))?;
    let unreachable = |error| Failure::unreachable(&vm.to_string(), error);
    let mut exchange = Connector::new(TIMEOUT)
        .connect(vm, Reuse::Never)
        .await
        .map_err(unreachable)?;
    let response = exchange.send(request, TIMEOUT).await.map_err(unreachable)?;
    let (parts, body) = response.into_parts();
    let body = read_body(body, MAX_RESPONSE_BYTES, TIMEOUT).await;
    let body = body.map_err(|_error| Failure::unreachable(&vm.to_string(), "the response is incomplete"))?;
    Ok(Response {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body,
    })
}
