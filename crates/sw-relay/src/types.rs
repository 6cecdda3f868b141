//! Request heads, endpoint registrations and records of the platform's store.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use sw_unit::{DomainId, EndpointId, Incarnation, Millis, PartId, Tokens};

use crate::{Credential, RouteTable, ServicePlacements, ServiceSoftware, StreamOrigin};

/// Maximum length of a service name in bytes.
const MAX_SERVICE_LEN: usize = 200;

/// The name of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceId(Arc<str>);

/// The error returned when parsing a [`ServiceId`] fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseServiceIdError;

impl fmt::Display for ParseServiceIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "service name must have 1 to {MAX_SERVICE_LEN} bytes")
    }
}

impl std::error::Error for ParseServiceIdError {}

impl ServiceId {
    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ServiceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for ServiceId {
    type Err = ParseServiceIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() || text.len() > MAX_SERVICE_LEN {
            return Err(ParseServiceIdError);
        }
        Ok(Self(Arc::from(text)))
    }
}

/// Maximum length of a software version in bytes.
const MAX_SOFTWARE_VERSION_LEN: usize = 100;

/// The version of an endpoint's software; versions of one service can be compared for equality only.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SoftwareVersion(Arc<str>);

/// The error returned when parsing a [`SoftwareVersion`] fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseSoftwareVersionError;

impl fmt::Display for ParseSoftwareVersionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "software version must have 1 to {MAX_SOFTWARE_VERSION_LEN} bytes")
    }
}

impl std::error::Error for ParseSoftwareVersionError {}

impl SoftwareVersion {
    /// Returns the version as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl FromStr for SoftwareVersion {
    type Err = ParseSoftwareVersionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() || text.len() > MAX_SOFTWARE_VERSION_LEN {
            return Err(ParseSoftwareVersionError);
        }
        Ok(Self(Arc::from(text)))
    }
}

/// A part of a prompt that several requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of its text.
    pub id: PartId,
    /// Its length in tokens.
    pub len: Tokens,
}

/// Size and parts of a prompt, as the caller declares them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// Length in tokens.
    pub input: Tokens,
    /// Maximum length of the response in tokens.
    pub output_max: Tokens,
    /// The caller's estimate of the length of the response in tokens.
    pub output_hint: Option<Tokens>,
    /// The parts in order; the last one is not shared with other requests.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns the expected length of the response: the caller's estimate, or else the maximum.
    pub fn expected_output(&self) -> Tokens {
        self.output_hint.unwrap_or(self.output_max)
    }

    /// Returns the parts that other requests may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the total length of the parts that other requests may share.
    pub fn shared_tokens(&self) -> Tokens {
        let lens = self.shared_parts().iter().map(|part| part.len);
        lens.fold(Tokens(0), |total, len| total + len)
    }
}

/// The parts of a request that are known before its body is read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The id that the caller assigned to this request; all attempts of the gateway use it.
    pub id: Arc<str>,
    /// The requested host, in lower case and without a port.
    pub host: String,
    /// The path without the query.
    pub path: String,
    /// Time until the caller stops waiting; `None` if it gave no deadline.
    pub remaining: Option<Millis>,
    /// The prompt, for requests to model engines.
    pub prompt: Option<Prompt>,
    /// The stream that the request resumes, if it is not a new one.
    pub resumption: Option<Resumption>,
    /// What it presents to name its workspace.
    pub credential: Credential,
}

/// A stream that broke off, and that its caller resumes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resumption {
    /// Id of the request that brought the caller the first event of the stream; `None` if the caller does not name it.
    pub stream: Option<Arc<str>>,
}

/// Registration of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub id: EndpointId,
    /// Its incarnation; higher after a restart.
    pub incarnation: Incarnation,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The version of its software; `None` if it does not state one.
    pub software: Option<SoftwareVersion>,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
    /// Time until it is warm.
    pub cold_for: Millis,
    /// Time until it is terminated, if it is being preempted.
    pub terminates_in: Option<Millis>,
}

/// Load that an endpoint reports with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// How long work takes at this moment, in percent of the usual time; `None` if it does not state it.
    pub slowdown: Option<u32>,
}

/// State of an endpoint, as reported in the head of its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EndpointReport {
    /// Its load.
    pub load: Option<LoadReport>,
    /// Time until it is warm.
    pub cold_for: Option<Millis>,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
    /// Time for which it rejects further requests of this VM, if it rejected this one.
    pub retry_after: Option<Millis>,
}

/// A decoded record of the platform's store.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRecord {
    /// The configuration.
    Table(Arc<RouteTable>),
    /// The registration of an endpoint; `None` if it was removed or is not usable.
    Endpoint(EndpointId, Option<EndpointEntry>),
    /// Whether a failure domain is evacuated, so that its endpoints get no requests.
    Evacuated(DomainId, bool),
    /// The software versions that VMs of this gateway have recorded.
    Software(Vec<ServiceSoftware>),
    /// At which software versions new streams begin, as recorded by a VM of this gateway.
    Placements(Vec<ServicePlacements>),
    /// Origins of streams that VMs of this gateway have recorded.
    Origins(Vec<StreamOrigin>),
    /// The value cannot be decoded; a malformed registration counts as removed.
    Malformed {
        /// The endpoint, if the key is a registration.
        endpoint: Option<EndpointId>,
        /// What is wrong.
        reason: String,
    },
    /// A record that this process does not use.
    Other,
}
