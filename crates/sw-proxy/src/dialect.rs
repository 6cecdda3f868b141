//! Names and formats of a platform.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::header::HeaderName;
use hyper::http::request::Parts;
use hyper::{HeaderMap, StatusCode, Uri};
use sw_member::VmRow;
use sw_relay::{
    CallerIdentity, EndpointReport, EnginePriority, RateLimitStatement, RejectionLimitStatement, RequestHead,
    StoreRecord,
};
use sw_store::ItemRules;
use sw_unit::{DomainId, EndpointId, Millis, RegionId};

/// Error for request headers that are missing or malformed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadError {
    /// Description of the fault.
    pub reason: &'static str,
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.reason)
    }
}

impl std::error::Error for HeadError {}

/// Values for the headers that the gateway sets on an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptHeaders<'a> {
    /// Endpoint that the attempt is addressed to.
    pub endpoint: &'a EndpointId,
    /// Time until the response is due.
    pub remaining: Millis,
    /// Id of the last event that the caller received, if a stream is resumed.
    pub last_event_id: Option<&'a str>,
    /// Address of the engine from whose cache shared parts of the prompt may be transferred.
    pub cache_source: Option<SocketAddr>,
    /// As whose the request is sent.
    pub identity: CallerIdentity<'a>,
    /// The priority of the request at an engine; `None` if the engine is told none.
    pub priority: Option<EnginePriority>,
}

/// An endpoint's statement that it did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Rejection {
    /// No rejection: the request ran or may have run.
    #[default]
    None,
    /// The endpoint did not run the request.
    NotRun,
    /// The request was addressed to another endpoint.
    WrongEndpoint,
}

/// Decoded head of an endpoint's response.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ResponseHead {
    /// Id of the request that the response belongs to.
    pub request_id: Option<Arc<str>>,
    /// Whether the response has an endpoint's signature header; the signature is not verified.
    pub has_signature_header: bool,
    /// Statement that the endpoint did not run the request.
    pub rejection: Rejection,
    /// The endpoint's report about itself.
    pub report: EndpointReport,
    /// The endpoint's statement about its rate limit.
    pub rate_limit: RateLimitStatement,
    /// The endpoint's statement about the rejections that it can bear.
    pub rejection_limit: RejectionLimitStatement,
    /// Time for which the endpoint keeps an idle connection open.
    pub keep_alive: Option<Millis>,
    /// Whether the endpoint closes the connection.
    pub closes_connection: bool,
}

impl ResponseHead {
    /// Returns whether the response carries the id of a request other than `id`.
    pub fn is_for_other_request(&self, id: &str) -> bool {
        self.request_id.as_ref().is_some_and(|request_id| **request_id != *id)
    }
}

/// Answer of an endpoint to a health request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthAnswer {
    /// The endpoint that answered.
    pub endpoint: EndpointId,
    /// Time until it is warm.
    pub cold_for: Millis,
}

/// Query of a caller for the VMs to connect to.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DirectoryQuery {
    /// Host name of the service that the caller wants to reach.
    pub host: Option<String>,
    /// Region of the caller.
    pub region: Option<RegionId>,
    /// Failure domain of the caller.
    pub domain: Option<DomainId>,
}

/// Translates between the names and formats of a platform and the types of the gateway.
///
/// Implementations only translate; they make no routing decisions.
pub trait Dialect: ItemRules + Clone + 'static {
    /// Decodes an item of the store; `value` is `None` if the key was removed.
    fn decode_record(&self, key: &str, value: Option<&[u8]>) -> StoreRecord;

    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns [`HeadError`] if a required header is missing or malformed.
    fn request_head(&self, parts: &Parts) -> Result<RequestHead, HeadError>;

    /// Returns the header in which a caller presents its key.
    fn credential_header(&self) -> HeaderName;

    /// Returns the headers that distinguish requests with the same target and body, because they name the caller or are part of
    /// what is requested; they are equal in all attempts of a caller.
    fn identity_headers(&self) -> impl Iterator<Item = HeaderName>;

    /// Removes the headers that only the gateway may set, and sets those of this attempt.
    fn set_attempt_headers(&self, headers: &mut HeaderMap, attempt: &AttemptHeaders<'_>);

    /// Decodes the head of an endpoint's response.
    fn response_head(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Decodes the headers of a response to a health request; `None` if they do not tell which endpoint sent it.
    fn health_answer(&self, headers: &HeaderMap) -> Option<HealthAnswer>;

    /// Sets the header for the time after which the caller may retry.
    fn set_retry_after(&self, headers: &mut HeaderMap, after: Millis);

    /// Returns whether `uri` is that of the readiness probe.
    fn is_readiness_probe(&self, uri: &Uri) -> bool;

    /// Decodes a directory query; `None` if `uri` is not that of the directory.
    fn directory_query(&self, uri: &Uri) -> Option<DirectoryQuery>;

    /// Encodes the response to a directory query as JSON.
    fn directory_response(&self, entries: &[VmRow], ttl: Millis) -> Bytes;
}
