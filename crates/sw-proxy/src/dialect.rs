//! The names and formats of a platform.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::http::request::Parts;
use hyper::{HeaderMap, StatusCode, Uri};
use sw_member::VmRow;
use sw_relay::{EndpointReport, RequestHead, StoreRecord};
use sw_unit::{DomainId, EndpointId, Millis, RegionId};

/// A request's headers cannot be understood.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadError {
    /// What is wrong.
    pub reason: &'static str,
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.reason)
    }
}

impl std::error::Error for HeadError {}

/// What the gateway adds to a request that it sends to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptHeaders<'a> {
    /// The endpoint that is expected to answer.
    pub endpoint: &'a EndpointId,
    /// How long the caller still waits.
    pub remaining: Millis,
    /// The last event that the caller has, if the stream is resumed.
    pub last_event_id: Option<&'a str>,
    /// The engine from which the shared parts of the prompt may be copied.
    pub cache_source: Option<SocketAddr>,
}

/// What an endpoint states about a request that it did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Rejection {
    /// Nothing: the request ran or may have run.
    #[default]
    None,
    /// It did not run the request.
    NotRun,
    /// It is not the endpoint that the request is for.
    WrongEndpoint,
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ResponseHead {
    /// The id of the request that it answers.
    pub request_id: Option<Arc<str>>,
    /// Whether it carries an endpoint's signature.
    pub signed: bool,
    /// What the endpoint states about a request that it did not run.
    pub rejection: Rejection,
    /// What the endpoint says about itself.
    pub report: EndpointReport,
    /// How long the endpoint keeps the connection when it is idle.
    pub keep_alive: Option<Millis>,
    /// Whether the endpoint closes the connection.
    pub closes_connection: bool,
}

impl ResponseHead {
    /// Whether it names another request than `id`.
    pub fn is_for_other_request(&self, id: &str) -> bool {
        self.request_id.as_ref().is_some_and(|answered| **answered != *id)
    }
}

/// A caller asks where to connect.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DirectoryQuery {
    /// The host that the caller wants to reach.
    pub host: Option<String>,
    /// The caller's region.
    pub region: Option<RegionId>,
    /// The caller's failure domain.
    pub domain: Option<DomainId>,
}

/// Translates between the names and formats of a platform and the product's types.
///
/// An implementation decides nothing.
pub trait Dialect: Clone + 'static {
    /// What a key of the store says; `value` is `None` if the key was removed.
    fn decode_record(&self, key: &str, value: Option<&[u8]>) -> StoreRecord;

    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns [`HeadError`] if a header that is needed is missing or malformed.
    fn request_head(&self, parts: &Parts) -> Result<RequestHead, HeadError>;

    /// Drops the headers that only the gateway may set, and sets those of this attempt.
    fn set_attempt_headers(&self, headers: &mut HeaderMap, attempt: &AttemptHeaders<'_>);

    /// Reads the head of an endpoint's answer.
    fn response_head(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Sets the time after which a caller may come back.
    fn set_retry_after(&self, headers: &mut HeaderMap, after: Millis);

    /// Whether a call asks if this VM is ready.
    fn is_readiness_probe(&self, uri: &Uri) -> bool;

    /// Reads a call that asks where to connect; `None` if it is another call.
    fn directory_query(&self, uri: &Uri) -> Option<DirectoryQuery>;

    /// The answer to a call that asks where to connect, as JSON.
    fn directory_response(&self, entries: &[VmRow], ttl: Millis) -> Bytes;
}
