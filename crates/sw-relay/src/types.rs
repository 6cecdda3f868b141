//! What requests and endpoints say about themselves.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use sw_unit::{DomainId, EndpointId, Incarnation, Millis, Tokens};

use crate::RouteTable;

/// Longest name of a service in bytes.
const MAX_SERVICE_LEN: usize = 200;

/// The name of a service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceId(Arc<str>);

/// A text that is not a service name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseServiceIdError;

impl fmt::Display for ParseServiceIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a service name of 1 to {MAX_SERVICE_LEN} bytes is expected")
    }
}

impl std::error::Error for ParseServiceIdError {}

impl ServiceId {
    /// The name as text.
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

/// A part of a prompt that several requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part's text.
    pub id: u64,
    /// Its length.
    pub len: Tokens,
}

/// What a caller declares of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub input: Tokens,
    /// Most tokens of the answer.
    pub output_max: Tokens,
    /// The caller's estimate of the tokens of the answer.
    pub output_hint: Option<Tokens>,
    /// The parts in order; the last belongs to this request alone.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Tokens of the answer, as far as they are known.
    pub fn expected_output(&self) -> Tokens {
        self.output_hint.unwrap_or(self.output_max)
    }

    /// Tokens in parts that other requests may share.
    pub fn shared_tokens(&self) -> Tokens {
        let shared = self.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        Tokens(shared.iter().map(|part| part.len.0).sum())
    }
}

/// What is known of a request before its body is read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The id that the caller gave this attempt.
    pub id: Arc<str>,
    /// The host that it asks for, in lower case and without a port.
    pub host: String,
    /// The path without the query.
    pub path: String,
    /// How long the caller waits.
    pub remaining: Option<Millis>,
    /// The prompt, for requests to model engines.
    pub prompt: Option<Prompt>,
}

/// What an endpoint's registration says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub id: EndpointId,
    /// Its life; a restart has a higher number.
    pub incarnation: Incarnation,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// How much longer it is cold.
    pub cold_for: Millis,
    /// How much longer it runs, if it is taken away at short notice.
    pub terminates_in: Option<Millis>,
}

/// What an endpoint reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can run at a time.
    pub slots: u32,
}

/// What the head of an endpoint's answer says about the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EndpointReport {
    /// Its load.
    pub load: Option<LoadReport>,
    /// How much longer it is cold.
    pub cold_for: Option<Millis>,
    /// Whether it is leaving and takes no new work.
    pub leaving: bool,
    /// How long it wants nothing more from this VM, if it turned the request away.
    pub retry_after: Option<Millis>,
}

/// What a key of the platform's store says.
#[derive(Debug, Clone, PartialEq)]
pub enum StoreRecord {
    /// The configuration.
    Table(Arc<RouteTable>),
    /// An endpoint is registered; `None` if the registration is not usable or gone.
    Endpoint(EndpointId, Option<EndpointEntry>),
    /// Nothing may be sent to the endpoints of a failure domain, or it may again.
    Evacuated(DomainId, bool),
    /// The value cannot be understood; a registration with such a value names no endpoint to use.
    Malformed {
        /// The endpoint, if the key is a registration.
        endpoint: Option<EndpointId>,
        /// What is wrong.
        reason: String,
    },
    /// Nothing that concerns this process.
    Other,
}
